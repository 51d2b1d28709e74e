package sched

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// initialConcurrency is the limit before the first sample, unless the upper bound of the limit is lower.
	initialConcurrency = 8
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.1
	// congestedRatio is the ratio of average latency to baseline above which the engine is considered to queue requests itself.
	congestedRatio = 2.0
	// latencySlack keeps scheduling noise in short requests from being taken for queueing.
	latencySlack = 5 * time.Millisecond
	// decreaseFactor is the factor by which congestion lowers the limit. At least as many samples as the new limit arrive before
	// the next decrease.
	decreaseFactor = 0.9
	// baselineDriftPerSecond is the relative increase of the baseline per second, with which it follows an engine that has become
	// slower. It applies per second, because drift per sample loses the baseline within seconds at a high request rate.
	baselineDriftPerSecond = 0.005
	// headroomFraction is the fraction of the limit by which the most urgent priority may exceed it, within its reserved share.
	headroomFraction = 0.1
	// engineBacklogFraction bounds the requests that wait inside the engine, as a fraction of its batch size, so that a request is
	// ready when a place in the batch becomes free. With 0.125, upstreams were busy for only 0.93 to 0.95 of the time. Requests
	// that wait in the engine are no longer subject to the queue's priorities.
	engineBacklogFraction = 0.25
	// costBuckets is the number of latency buckets. Requests are assigned to buckets by the bit length of their cost; the last
	// bucket also holds all greater costs.
	costBuckets = 32
	// upperDeviations is the number of mean deviations above the mean at which estimate.upperBound lies.
	upperDeviations = 3
	// outlierRatio is the ratio of a sample to the highest undisturbed one above which the sample is an outlier.
	outlierRatio = 4
	// warmupSamples is the number of samples at the start of a bucket whose average becomes its first baseline.
	warmupSamples = 5
)

// latencyBucket tracks the time to first byte, in seconds, of requests of similar cost, so that a change in the mix of costs is
// not taken for congestion.
type latencyBucket struct {
	average float64
	// baseline is the lowest average since the warm-up, raised over time by baselineDriftPerSecond. During the warm-up it equals
	// average.
	baseline float64
	samples  int
	updated  time.Time
	outliers outlierFilter
}

// limiter adapts the limit on requests in progress to the observed time to first byte.
type limiter struct {
	limit float64
	// maxLimit follows the engine's batch size if the engine reports one; configuredMax is its upper bound.
	maxLimit, configuredMax float64
	// slowStart grows the limit by one per sample until the first congestion.
	slowStart bool
	// decreaseCooldown is the number of samples until the next decrease is allowed.
	decreaseCooldown int
	// Streams have buckets of their own: the first byte of a whole (not streamed) response follows the generation, that of a
	// stream precedes it. In shared buckets, a change in their mix would be taken for congestion.
	wholeResponses, streamResponses [costBuckets]latencyBucket
}

func newLimiter(configuredMax int) *limiter {
	return &limiter{
		limit: float64(min(initialConcurrency, configuredMax)), maxLimit: float64(configuredMax),
		configuredMax: float64(configuredMax), slowStart: true,
	}
}

// setBatchSize bounds the limit by the number of requests that the engine runs at once; 0 means unknown.
func (l *limiter) setBatchSize(batchSize int) {
	l.maxLimit = l.configuredMax
	if batchSize > 0 {
		l.maxLimit = min(l.configuredMax, float64(batchSize)+max(1, math.Floor(float64(batchSize)*engineBacklogFraction)))
	}
	l.limit = min(l.limit, l.maxLimit)
}

// maxInFlight returns the number of requests that may be in progress, with or without the headroom.
func (l *limiter) maxInFlight(withHeadroom bool) int {
	limit := int(l.limit)
	if withHeadroom {
		limit += max(1, int(l.limit*headroomFraction))
	}
	return min(limit, int(l.maxLimit))
}

// sample records the time to first byte of an item and adjusts the limit. The limit grows only if inFlight, the number of
// requests in progress, is close to it.
func (l *limiter) sample(now time.Time, it *Item, inFlight int) {
	buckets := &l.wholeResponses
	if it.Stream {
		buckets = &l.streamResponses
	}
	b := &buckets[min(bits.Len(uint(it.Cost)), costBuckets-1)]
	congested := b.update(it.started, now)
	if l.decreaseCooldown > 0 {
		l.decreaseCooldown--
	}
	switch {
	case congested && l.decreaseCooldown == 0:
		l.limit = max(1, l.limit*decreaseFactor)
		l.decreaseCooldown = int(l.limit) + 1
		l.slowStart = false
	case congested:
	case float64(inFlight) >= l.limit-1:
		l.grow()
	}
}

// grow raises the limit by one during slow start, and by 1/limit after it, up to maxLimit.
func (l *limiter) grow() {
	step := 1 / l.limit
	if l.slowStart {
		step = 1
	}
	l.limit = min(l.maxLimit, l.limit+step)
}

// update adds the time from started to now as a sample and reports whether the average indicates congestion.
func (b *latencyBucket) update(started, now time.Time) bool {
	elapsed := now.Sub(b.updated).Seconds()
	b.updated = now
	b.samples++
	if b.samples <= warmupSamples {
		b.average += (now.Sub(started).Seconds() - b.average) / float64(b.samples)
		b.baseline = b.average
		return false
	}
	if seconds, ok := b.outliers.filter(started, now, b.congestionBound()); ok {
		b.average += smoothing * (seconds - b.average)
	}
	b.baseline = min(b.baseline*(1+baselineDriftPerSecond*elapsed), b.average)
	return b.average > b.congestionBound().Seconds()
}

// congestionBound returns the average above which the engine is considered congested.
func (b *latencyBucket) congestionBound() time.Duration {
	return time.Duration(congestedRatio*b.baseline*float64(time.Second)) + latencySlack
}

// outlierFilter limits the effect of a pause of the upstream on a moving average. A pause holds up all requests in progress, but says
// little about those that start after it. It therefore counts as one outlier, which is limited. If the upstream stays slow, requests
// that start later give further outliers.
type outlierFilter struct {
	// last is when the last outlier was added.
	last time.Time
}

// filter returns the time from started to now as a sample, in seconds, for an average that samples up to bound do not disturb. It returns
// false if the sample must not be added.
func (f *outlierFilter) filter(started, now time.Time, bound time.Duration) (seconds float64, ok bool) {
	sample := now.Sub(started)
	if sample > bound && started.Before(f.last) {
		return 0, false // The cause of the last outlier held up this request too.
	}
	if limit := outlierRatio * (bound + latencySlack); sample > limit {
		sample, f.last = limit, now
	}
	return sample.Seconds(), true
}

// estimate is a moving average of durations, in seconds, with its mean deviation.
type estimate struct {
	mean, deviation float64
	hasSamples      bool
	outliers        outlierFilter
}

// add adds the time from started to now.
func (e *estimate) add(started, now time.Time) {
	if !e.hasSamples {
		e.mean, e.hasSamples = now.Sub(started).Seconds(), true
		return
	}
	seconds, ok := e.outliers.filter(started, now, e.upperBound())
	if !ok {
		return
	}
	diff := seconds - e.mean
	e.mean += smoothing * diff
	if diff < 0 {
		diff = -diff
	}
	e.deviation += smoothing * (diff - e.deviation)
}

// upperBound returns a duration that few samples exceed.
func (e *estimate) upperBound() time.Duration {
	return time.Duration((e.mean + upperDeviations*e.deviation) * float64(time.Second))
}
