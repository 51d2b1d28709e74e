package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// decayTimeConstant is the time in which the counts of a class decay to 1/e. Bursts last 3 to 7 s.
	decayTimeConstant = 6 * time.Second
	// starvedRatio bounds the ratio of the share of first attempts served of a class to that of all classes together: below it, the class
	// is starved. While a fault lasts, users expect of each class at least half of the share that it has in calm times, which is nearly
	// all; with a smaller ratio, the least urgent class has less as soon as the load exceeds the capacity by a third.
	starvedRatio = 0.75
	// protectedShare is the share of first attempts served below which a protected class is starved, unless all classes together have less.
	// Users expect half of the share of calm times for the callers beside requests that crash upstreams, so the mean of their class has to
	// be higher.
	protectedShare = 0.6
	// protectionTime is how long a class stays protected. Where entries are many, each of them gets such a request every few seconds only.
	protectionTime = 20 * time.Second
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
	// requests counts all requests, inTime those whose successful answer began within their target.
	requests, inTime float64
	// firstAttempts counts the requests of callers that do not come back after a refusal, firstServed those of them that got a successful
	// answer.
	firstAttempts, firstServed float64
	updated                    time.Time
	// protectedUntil is the end of the protection of the class, see Protect.
	protectedUntil time.Time
}

// NewPriorityLimiter returns a limiter without recorded requests. now is the clock; nil selects time.Now.
func NewPriorityLimiter(now func() time.Time) *PriorityLimiter {
	if now == nil {
		now = time.Now
	}
	return &PriorityLimiter{now: now, classes: map[string]*classStats{}}
}

// Finished describes a finished request.
type Finished struct {
	// Returning is set if its caller came back after a refusal, Served if it got a successful answer, and InTime if that began within
	// the target of the class.
	Returning, Served, InTime bool
}

// Protect protects a class for protectionTime: it yields to more urgent classes only as long as protectedShare of its first attempts are
// served. Callers of Protect have refused a request of the class that would crash its upstream; the sound requests beside it are not to
// suffer for the capacity that such requests cost.
func (l *PriorityLimiter) Protect(class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class(class).protectedUntil = l.now().Add(protectionTime)
}

// class returns the counts of a class, which are zero if it is new. The caller holds mu.
func (l *PriorityLimiter) class(name string) *classStats {
	c := l.classes[name]
	if c == nil {
		c = &classStats{updated: l.now()}
		l.classes[name] = c
	}
	return c
}

// Record counts a finished request of a class.
func (l *PriorityLimiter) Record(class string, r Finished) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.class(class)
	c.decay(l.now())
	c.requests++
	if r.InTime {
		c.inTime++
	}
	if r.Returning {
		return
	}
	c.firstAttempts++
	if r.Served {
		c.firstServed++
	}
}

// decay reduces the counts by the time since the last update.
func (c *classStats) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(c.updated)) / float64(decayTimeConstant))
	c.requests, c.inTime, c.updated = c.requests*factor, c.inTime*factor, now
	c.firstAttempts, c.firstServed = c.firstAttempts*factor, c.firstServed*factor
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

// starved reports whether the share of first attempts served of a class is below starvedRatio times that of all classes together or, for
// a protected class, below protectedShare. It returns false for fewer than minRequests of the class. Callers that come back do not
// count: they yield to new ones, see Query.Returning, and a class with many of them would seem starved.
func (l *PriorityLimiter) starved(class string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var attempts, served float64
	for _, c := range l.classes {
		c.decay(l.now())
		attempts += c.firstAttempts
		served += c.firstServed
	}
	c := l.classes[class]
	if c == nil || c.firstAttempts < minRequests {
		return false
	}
	all := served / attempts
	bound := starvedRatio * all
	if l.now().Before(c.protectedUntil) {
		bound = max(bound, min(all, protectedShare))
	}
	return c.firstServed/c.firstAttempts < bound
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
