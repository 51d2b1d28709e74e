package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// floorWindow is the time over which the served share of a kind is averaged. Bursts last 3 to 7 s.
	floorWindow = 6 * time.Second
	// floorShare is the part of the overall served share below which a kind counts as starved. Users reject a day on which a kind is
	// served less than a quarter as often as all.
	floorShare = 0.55
	// floorAsked is the number of requests in the window that make a share meaningful.
	floorAsked = 5
	// pressedShare is the share of requests in time below which other kinds count as pressed.
	pressedShare = 0.85
)

// roomShare is the part of the tightest target at a service that a request may have to wait, by the priority of its route. The
// less urgent a kind is, the more room it has to leave, so that urgent ones that arrive next still keep their target.
var roomShare = []float64{1, 0.75, 0.6}

// PriorityLimiter limits less urgent kinds while the upstreams are busy, and lifts the limit of a kind that would starve. Pattern: a burst
// of the least urgent kind, whose target is long, fills all slots, and urgent kinds with short targets are refused. It is safe for
// concurrent use.
type PriorityLimiter struct {
	now func() time.Time
	mu  sync.Mutex
	// kinds is guarded by mu.
	kinds map[string]*served
}

// served counts requests with weights that fade.
type served struct {
	asked, served, inTime float64
	at                    time.Time
}

// NewPriorityLimiter returns empty floors. now is the clock; nil selects time.Now.
func NewPriorityLimiter(now func() time.Time) *PriorityLimiter {
	if now == nil {
		now = time.Now
	}
	return &PriorityLimiter{now: now, kinds: map[string]*served{}}
}

// Record counts the final answer of a request of a kind, and whether it began within its target.
func (f *PriorityLimiter) Record(kind string, wasServed, inTime bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k == nil {
		k = &served{at: f.now()}
		f.kinds[kind] = k
	}
	k.fade(f.now())
	k.asked++
	if wasServed {
		k.served++
	}
	if inTime {
		k.inTime++
	}
}

func (k *served) fade(now time.Time) {
	rest := math.Exp(-float64(now.Sub(k.at)) / float64(floorWindow))
	k.asked, k.served, k.inTime, k.at = k.asked*rest, k.served*rest, k.inTime*rest, now
}

// MaxWait returns the longest wait with which a request of a kind is taken beside more urgent ones, 0 if there is no limit. There is one
// only while other kinds miss their targets. tightest is the shortest target at the service.
func (f *PriorityLimiter) MaxWait(kind string, priority int, tightest time.Duration) time.Duration {
	if priority <= 0 || tightest <= 0 || !f.pressed(kind) || f.starved(kind) {
		return 0
	}
	share := roomShare[min(priority, len(roomShare)-1)]
	return time.Duration(float64(tightest) * targetShare * share)
}

// starved tells whether a kind is served far less often than all requests together.
func (f *PriorityLimiter) starved(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var asked, got float64
	for _, k := range f.kinds {
		k.fade(f.now())
		asked += k.asked
		got += k.served
	}
	k := f.kinds[kind]
	return k != nil && k.asked >= floorAsked && asked > 0 && k.served/k.asked < floorShare*got/asked
}

// pressed tells whether other kinds miss their targets.
func (f *PriorityLimiter) pressed(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var asked, inTime float64
	for name, k := range f.kinds {
		if name != kind {
			k.fade(f.now())
			asked += k.asked
			inTime += k.inTime
		}
	}
	return asked >= floorAsked && inTime < pressedShare*asked
}
