package sched

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the adaptive limit.
const (
	initialConcurrency = 8
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.1
	// congestedRatio is the latency relative to the baseline above which the engine is taken to queue requests itself.
	congestedRatio = 2.0
	// latencySlack keeps scheduling noise of short calls from looking like queueing.
	latencySlack = 5 * time.Millisecond
	// decrease is the factor applied at congestion, at most once per limit samples.
	decrease = 0.9
	// baselineDriftPerSecond lets the baseline follow an engine that became slower. Drift per sample, tried first, forgot
	// the baseline within seconds at a high request rate.
	baselineDriftPerSecond = 0.005
	// headroomFraction of the limit is kept for the most urgent priority.
	headroomFraction = 0.1
	// batchHeadroom is the part of the engine's batch that may wait in the engine, so that a request is there when a place in
	// the batch becomes free: with 0.125 upstreams were busy for 0.93 to 0.95 of the time only. What waits there is out of reach
	// of the queue's priorities.
	batchHeadroom = 0.25
	costBuckets   = 32
	// upperDeviations is the number of mean deviations above the mean that an estimate allows for.
	upperDeviations = 3
	// warmSamples are averaged before a bucket has a baseline.
	warmSamples = 5
)

// latencyBucket tracks requests of similar cost, so that a change in the mix of costs is not taken for congestion.
type latencyBucket struct {
	average  float64
	baseline float64
	samples  int
	updated  time.Time
}

// limiter adapts the number of requests in progress to the time to first byte.
type limiter struct {
	limit float64
	// ceiling follows the engine's batch when the engine reports it; configured is its upper bound.
	ceiling, configured float64
	// slowStart grows the limit by one per sample until the first congestion.
	slowStart bool
	// hold counts samples until the next decrease is allowed.
	hold int
	// whole and streams are apart: the first byte of a whole answer follows the generation, that of a stream precedes it, so
	// that a change in their mix would look like congestion.
	whole, streams [costBuckets]latencyBucket
}

func newLimiter(ceiling int) *limiter {
	return &limiter{
		limit: float64(min(initialConcurrency, ceiling)), ceiling: float64(ceiling), configured: float64(ceiling), slowStart: true,
	}
}

// setBatch bounds the limit by the number of requests that the engine runs at once; 0 is unknown.
func (l *limiter) setBatch(batch int) {
	l.ceiling = l.configured
	if batch > 0 {
		l.ceiling = min(l.configured, float64(batch)+max(1, math.Floor(float64(batch)*batchHeadroom)))
	}
	l.limit = min(l.limit, l.ceiling)
}

// allowed returns the limit, with or without the headroom.
func (l *limiter) allowed(headroom bool) int {
	limit := int(l.limit)
	if headroom {
		limit += max(1, int(l.limit*headroomFraction))
	}
	return min(limit, int(l.ceiling))
}

// sample records a time to first byte with the number of requests that were in progress.
func (l *limiter) sample(now time.Time, it *Item, latency time.Duration, inFlight int) {
	buckets := &l.whole
	if it.Stream {
		buckets = &l.streams
	}
	b := &buckets[min(bits.Len(uint(it.Cost)), costBuckets-1)]
	congested := b.update(now, latency.Seconds())
	if l.hold > 0 {
		l.hold--
	}
	switch {
	case congested && l.hold == 0:
		l.limit = max(1, l.limit*decrease)
		l.hold = int(l.limit) + 1
		l.slowStart = false
	case congested:
	case float64(inFlight) >= l.limit-1:
		l.grow()
	}
}

func (l *limiter) grow() {
	step := 1 / l.limit
	if l.slowStart {
		step = 1
	}
	l.limit = min(l.ceiling, l.limit+step)
}

// update adds a sample and tells whether the average is far above the baseline.
func (b *latencyBucket) update(now time.Time, seconds float64) bool {
	elapsed := now.Sub(b.updated).Seconds()
	b.updated = now
	b.samples++
	if b.samples <= warmSamples {
		b.average += (seconds - b.average) / float64(b.samples)
		b.baseline = b.average
		return false
	}
	b.average += smoothing * (seconds - b.average)
	b.baseline = min(b.baseline*(1+baselineDriftPerSecond*elapsed), b.average)
	return b.average > congestedRatio*b.baseline+latencySlack.Seconds()
}

// estimate is a moving average with its mean deviation.
type estimate struct {
	mean, deviation float64
	known           bool
}

func (e *estimate) add(seconds float64) {
	if !e.known {
		e.mean, e.known = seconds, true
		return
	}
	diff := seconds - e.mean
	e.mean += smoothing * diff
	if diff < 0 {
		diff = -diff
	}
	e.deviation += smoothing * (diff - e.deviation)
}

// upper is a bound that few samples exceed.
func (e *estimate) upper() time.Duration {
	return time.Duration((e.mean + upperDeviations*e.deviation) * float64(time.Second))
}
