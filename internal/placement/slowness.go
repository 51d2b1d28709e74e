package placement

import (
	"math"
	"sync"
	"time"
)

// minSlowShare and calmSlowShare are the shares of slow upstreams at which Slowness.Uneven is set and reset. A single upstream of 40 that
// is slow for a while is avoided by its own report and does not set it.
const (
	minSlowShare  = 0.03
	calmSlowShare = 0.01
)

const (
	// slowFrom is the slowdown from which an upstream counts as slow. Reports of upstreams at normal speed vary by a few percent.
	slowFrom = 1.25
	// maxSlowness bounds a reported slowdown, so that one wrong figure does not dominate the mean.
	maxSlowness = 20
	// slownessTimeConstant is the time in which observations lose weight to 1/e. It covers several turns of each upstream.
	slownessTimeConstant = 20 * time.Second
	// slownessInterval is the shortest time between two observations of a service: reports arrive every 100 ms.
	slownessInterval = 50 * time.Millisecond
	// maxSlownessAge is the age up to which a load report counts as an observation.
	maxSlownessAge = 500 * time.Millisecond
	// slownessRetention is the time for which the estimate of a service without requests is kept.
	slownessRetention = 5 * time.Minute
	// turnTime is the time constant with which an upstream that was seen slow or at normal speed returns to the mean of its service.
	// Upstreams change about every 0.6 s.
	turnTime = 600 * time.Millisecond
)

// Slowness describes how often the upstreams of a service are slow, as recent load reports show it.
type Slowness struct {
	// Share is the mean share of upstreams that are slow, Factor their mean slowdown. Both are 0 if none was.
	Share, Factor float64
	// Uneven is set while enough upstreams are slow for placement to consider that any of them may turn slow.
	Uneven bool
}

// SlownessTable estimates the slowness of each service from load reports. Its state grows with the number of services. It is safe for
// concurrent use.
type SlownessTable struct {
	now     func() time.Time
	changed func(service string, s Slowness)
	mu      sync.Mutex
	// services is guarded by mu.
	services map[string]*slowStats
}

// slowStats holds decayed sums over the observed reports of one service.
type slowStats struct {
	// reports counts all reports, slow those of slow upstreams, slowdowns is the sum of the slowdowns of these.
	reports, slow, slowdowns float64
	observed                 time.Time
	// current is the estimate.
	current Slowness
}

// NewSlownessTable returns an empty table. now is the clock; nil selects time.Now. changed is called when Slowness.Uneven of a service
// changes; it may be nil and must not call the table.
func NewSlownessTable(now func() time.Time, changed func(service string, s Slowness)) *SlownessTable {
	if now == nil {
		now = time.Now
	}
	return &SlownessTable{now: now, changed: changed, services: map[string]*slowStats{}}
}

// Observe adds the reports of the candidates of a service, at most once in slownessInterval, and returns the estimate.
func (t *SlownessTable) Observe(service string, candidates []Candidate) Slowness {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.services[service]
	if s == nil {
		for name, other := range t.services {
			if now.Sub(other.observed) > slownessRetention {
				delete(t.services, name)
			}
		}
		s = &slowStats{}
		t.services[service] = s
	}
	if now.Sub(s.observed) >= slownessInterval {
		uneven := s.current.Uneven
		s.observe(now, candidates)
		if s.current.Uneven != uneven && t.changed != nil {
			t.changed(service, s.current)
		}
	}
	return s.current
}

// observe adds the reports of the candidates and reduces the weight of earlier ones.
func (s *slowStats) observe(now time.Time, candidates []Candidate) {
	weight := math.Exp(-float64(max(now.Sub(s.observed), 0)) / float64(slownessTimeConstant))
	s.reports, s.slow, s.slowdowns, s.observed = s.reports*weight, s.slow*weight, s.slowdowns*weight, now
	for i := range candidates {
		w := &candidates[i].Work
		if age, known := w.slowdownAge(); !known || age > maxSlownessAge || !(w.Slowdown >= 0) {
			continue
		}
		s.reports++
		if w.Slowdown >= slowFrom {
			s.slow++
			s.slowdowns += min(w.Slowdown, maxSlowness)
		}
	}
	s.current = s.estimate()
}

// estimate returns the estimate from the sums.
func (s *slowStats) estimate() Slowness {
	if s.slow == 0 {
		return Slowness{}
	}
	out := Slowness{Share: s.slow / s.reports, Factor: s.slowdowns / s.slow}
	limit := minSlowShare
	if s.current.Uneven {
		limit = calmSlowShare
	}
	out.Uneven = out.Share >= limit
	return out
}

// slowProbability returns the probability that an upstream is slow at a time after now, and the factor by which it is then.
// What is known of its slowdown says less the older it is.
func (s Slowness) slowProbability(w *Work, after time.Duration) (probability, factor float64) {
	age, known := w.slowdownAge()
	if !known {
		return s.Share, s.Factor
	}
	persistence := math.Exp(-float64(age+after) / float64(turnTime))
	if w.Slowdown >= slowFrom {
		return s.Share + (1-s.Share)*persistence, min(w.Slowdown, maxSlowness)
	}
	return s.Share * (1 - persistence), s.Factor
}

// slowdownAge returns the age of Slowdown: that of the response or report that it is based on, or else that of the load report. It returns false if
// nothing is known of the slowdown.
func (w *Work) slowdownAge() (age time.Duration, known bool) {
	if w.SlowdownSource != "" {
		return w.SlowdownAge, true
	}
	return w.ReportAge, w.HasReport
}
