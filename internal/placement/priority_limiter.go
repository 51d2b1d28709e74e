package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// decayTimeConstant is the time in which the counts of a class decay to 1/e. Bursts last 3 to 7 s.
	decayTimeConstant = 6 * time.Second
	// starvedRatio bounds the ratio of the served share of a class to that of all classes together: below it, the class is starved.
	// Users do not accept a day on which this ratio is below a quarter for any class.
	starvedRatio = 0.55
	// minRequests is the decayed number of requests below which a share is not meaningful.
	minRequests = 5
	// minInTimeShare is the share of requests in time below which the other classes together count as missing their targets.
	minInTimeShare = 0.85
)

// waitShares are the shares of the usable part of the tightest target, see maxTargetShare, for which a request may wait. They are
// indexed by the priority of the route; less urgent priorities use the last one. The less urgent a class is, the shorter the queue
// that it may join, so that urgent requests that arrive next still meet their target.
var waitShares = []float64{1, 0.75, 0.6}

// PriorityLimiter limits the predicted wait of less urgent traffic classes while the upstreams are busy, and lifts the limit for a
// class that would starve. Without the limit, a burst of the least urgent class, whose target is long, fills all slots, and urgent
// classes with short targets are refused. Names of classes are chosen by the calling package. It is safe for concurrent use.
type PriorityLimiter struct {
	now func() time.Time
	mu  sync.Mutex
	// classes is guarded by mu.
	classes map[string]*classStats
}

// classStats counts the requests of one class. The counts decay exponentially.
type classStats struct {
	// requests counts all requests, served those that got a successful answer, inTime those whose successful answer began within
	// their target.
	requests, served, inTime float64
	updated                  time.Time
}

// NewPriorityLimiter returns a limiter without recorded requests. now is the clock; nil selects time.Now.
func NewPriorityLimiter(now func() time.Time) *PriorityLimiter {
	if now == nil {
		now = time.Now
	}
	return &PriorityLimiter{now: now, classes: map[string]*classStats{}}
}

// Record counts a finished request of a class, whether it was served, and whether its answer began within its target.
func (l *PriorityLimiter) Record(class string, wasServed, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.classes[class]
	if c == nil {
		c = &classStats{updated: l.now()}
		l.classes[class] = c
	}
	c.decay(l.now())
	c.requests++
	if wasServed {
		c.served++
	}
	if inTime {
		c.inTime++
	}
}

// decay reduces the counts by the time since the last update.
func (c *classStats) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(c.updated)) / float64(decayTimeConstant))
	c.requests, c.served, c.inTime, c.updated = c.requests*factor, c.served*factor, c.inTime*factor, now
}

// MaxWait returns the longest predicted wait with which a request of a class is accepted, or 0 if there is no limit. There is a limit
// only while other classes miss their targets, and none for priority 0, the most urgent, or for a starved class. tightest is the
// shortest target at the service; 0 sets no limit.
func (l *PriorityLimiter) MaxWait(class string, priority int, tightest time.Duration) time.Duration {
	if priority <= 0 || tightest <= 0 || !l.othersMissTargets(class) || l.starved(class) {
		return 0
	}
	share := waitShares[min(priority, len(waitShares)-1)]
	return time.Duration(float64(tightest) * maxTargetShare * share)
}

// starved reports whether the served share of a class is below starvedRatio times that of all classes together. It returns false
// for fewer than minRequests of the class.
func (l *PriorityLimiter) starved(class string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests, served float64
	for _, c := range l.classes {
		c.decay(l.now())
		requests += c.requests
		served += c.served
	}
	c := l.classes[class]
	return c != nil && c.requests >= minRequests && requests > 0 && c.served/c.requests < starvedRatio*served/requests
}

// othersMissTargets reports whether less than minInTimeShare of the requests of all other classes together were in time. It returns
// false for fewer than minRequests of them.
func (l *PriorityLimiter) othersMissTargets(class string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests, inTime float64
	for name, c := range l.classes {
		if name != class {
			c.decay(l.now())
			requests += c.requests
			inTime += c.inTime
		}
	}
	return requests >= minRequests && inTime < minInTimeShare*requests
}
