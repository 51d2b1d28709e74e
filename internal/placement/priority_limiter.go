package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// averagingWindow is the time constant with which the counts of a kind decay. Bursts last 3 to 7 s.
	averagingWindow = 6 * time.Second
	// starvedShare is the ratio between the served share of a kind and that of all kinds below which the kind counts as starved.
	// Users do not accept a day on which the ratio of a kind is below a quarter.
	starvedShare = 0.55
	// minRequests is the number of requests in the window from which on a share is meaningful.
	minRequests = 5
	// minInTimeShare is the share of requests in time below which the other kinds count as missing their targets.
	minInTimeShare = 0.85
)

// waitShares is the share of the tightest target at a service that a request may wait, indexed by the priority of its route. The
// less urgent a kind is, the shorter the queue that it may join, so that urgent requests that arrive next still meet their target.
var waitShares = []float64{1, 0.75, 0.6}

// PriorityLimiter limits the predicted wait of less urgent kinds of requests while the upstreams are busy, and lifts the limit for a
// kind that would starve. Without it, a burst of the least urgent kind, whose target is long, fills all slots, and urgent kinds with
// short targets are refused. A kind is a name chosen by the caller. It is safe for concurrent use.
type PriorityLimiter struct {
	now func() time.Time
	mu  sync.Mutex
	// kinds is guarded by mu.
	kinds map[string]*kindStats
}

// kindStats counts the requests of one kind. The counts decay exponentially.
type kindStats struct {
	// requests counts all requests, served those that were not refused, inTime those that began within their target.
	requests, served, inTime float64
	updated                  time.Time
}

// NewPriorityLimiter returns a limiter without recorded requests. now is the clock; nil selects time.Now.
func NewPriorityLimiter(now func() time.Time) *PriorityLimiter {
	if now == nil {
		now = time.Now
	}
	return &PriorityLimiter{now: now, kinds: map[string]*kindStats{}}
}

// Record counts a finished request of a kind, whether it was served, and whether its answer began within its target.
func (l *PriorityLimiter) Record(kind string, wasServed, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil {
		k = &kindStats{updated: l.now()}
		l.kinds[kind] = k
	}
	k.decay(l.now())
	k.requests++
	if wasServed {
		k.served++
	}
	if inTime {
		k.inTime++
	}
}

// decay reduces the counts by the time since the last update.
func (k *kindStats) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(k.updated)) / float64(averagingWindow))
	k.requests, k.served, k.inTime, k.updated = k.requests*factor, k.served*factor, k.inTime*factor, now
}

// MaxWait returns the longest predicted wait with which a request of a kind is accepted, or 0 if there is no limit. There is a limit
// only while other kinds miss their targets. tightest is the shortest target at the service.
func (l *PriorityLimiter) MaxWait(kind string, priority int, tightest time.Duration) time.Duration {
	if priority <= 0 || tightest <= 0 || !l.othersMissTargets(kind) || l.starved(kind) {
		return 0
	}
	share := waitShares[min(priority, len(waitShares)-1)]
	return time.Duration(float64(tightest) * maxTargetShare * share)
}

// starved reports whether the served share of a kind is far below that of all kinds together.
func (l *PriorityLimiter) starved(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests, served float64
	for _, k := range l.kinds {
		k.decay(l.now())
		requests += k.requests
		served += k.served
	}
	k := l.kinds[kind]
	return k != nil && k.requests >= minRequests && requests > 0 && k.served/k.requests < starvedShare*served/requests
}

// othersMissTargets reports whether the other kinds miss their targets.
func (l *PriorityLimiter) othersMissTargets(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests, inTime float64
	for name, k := range l.kinds {
		if name != kind {
			k.decay(l.now())
			requests += k.requests
			inTime += k.inTime
		}
	}
	return requests >= minRequests && inTime < minInTimeShare*requests
}
