package routing

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/membership"
)

// Parameters of the ejection of outliers.
const (
	// ejectAfterConsecutive failures an upstream is ejected.
	ejectAfterConsecutive = 5
	// outlierWindow is the period over which failure rates are compared.
	outlierWindow = 10 * time.Second
	// An upstream is an outlier with minOutlierSamples results in the window when its failure rate is over minOutlierRate and
	// over outlierFactor times that of the others.
	minOutlierSamples = 10
	minOutlierRate    = 0.3
	outlierFactor     = 3
	// baseEjection doubles with each ejection up to maxEjection; forgiveAfter without one starts again at the base.
	baseEjection = time.Second
	maxEjection  = time.Minute
	forgiveAfter = 2 * time.Minute
)

// record is what is known about one upstream.
type record struct {
	consecutive     int
	total, failed   int
	windowStart     time.Time
	ejections       int
	ejectedUntil    time.Time
	lastResult      time.Time
	lastEjectionEnd time.Time
}

// OutlierDetector ejects upstreams that fail much more than the others of their pool. It is safe for concurrent use.
type OutlierDetector struct {
	now func() time.Time
	// onEject is called for each ejection. It must not block.
	onEject func(id string)
	// mu guards the fields below.
	mu      sync.Mutex
	records map[string]*record
}

// NewOutlierDetector returns an empty policy. now is the clock; nil selects time.Now.
func NewOutlierDetector(now func() time.Time) *OutlierDetector {
	if now == nil {
		now = time.Now
	}
	return &OutlierDetector{now: now, records: make(map[string]*record), onEject: func(string) {}}
}

// OnEject sets the function that is called for each ejection. It must be called before the first Report.
func (o *OutlierDetector) OnEject(f func(id string)) { o.onEject = f }

// Report records the result of an attempt that may have run. Rejections are no failures.
func (o *OutlierDetector) Report(id string, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	r := o.records[id]
	if r == nil {
		o.prune(now)
		r = &record{windowStart: now}
		o.records[id] = r
	}
	if now.Sub(r.windowStart) > outlierWindow {
		r.total, r.failed, r.windowStart = 0, 0, now
	}
	r.lastResult = now
	r.total++
	if !failed {
		r.consecutive = 0
		return
	}
	r.failed++
	r.consecutive++
	if now.After(r.ejectedUntil) && (r.consecutive >= ejectAfterConsecutive || o.exceedsOthers(id, r, now)) {
		o.eject(id, r, now)
	}
}

// eject starts an ejection. The caller holds mu.
func (o *OutlierDetector) eject(id string, r *record, now time.Time) {
	if now.Sub(r.lastEjectionEnd) > forgiveAfter {
		r.ejections = 0
	}
	r.ejectedUntil = now.Add(min(baseEjection<<min(r.ejections, 10), maxEjection))
	r.lastEjectionEnd = r.ejectedUntil
	r.ejections++
	r.consecutive, r.total, r.failed = 0, 0, 0
	o.onEject(id)
}

// exceedsOthers compares the failure rate with that of all other upstreams. The caller holds mu.
func (o *OutlierDetector) exceedsOthers(id string, r *record, now time.Time) bool {
	if r.total < minOutlierSamples {
		return false
	}
	total, failed := 0, 0
	for other, s := range o.records {
		if other != id && now.Sub(s.windowStart) <= outlierWindow {
			total += s.total
			failed += s.failed
		}
	}
	if total < minOutlierSamples {
		return false
	}
	rate := float64(r.failed) / float64(r.total)
	return rate > minOutlierRate && rate > outlierFactor*float64(failed)/float64(total)
}

// prune drops upstreams without recent results. The caller holds mu.
func (o *OutlierDetector) prune(now time.Time) {
	for id, r := range o.records {
		if now.Sub(r.lastResult) > forgiveAfter && now.After(r.ejectedUntil) {
			delete(o.records, id)
		}
	}
}

// Filter drops ejected upstreams, but never more than half of the candidates: those ejected for the longest remaining time
// go first.
func (o *OutlierDetector) Filter(candidates []membership.Upstream) []membership.Upstream {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	kept := candidates
	for range len(candidates) / 2 {
		worst, until := -1, now
		for i, u := range kept {
			if r := o.records[u.Node.NodeID]; r != nil && r.ejectedUntil.After(until) {
				worst, until = i, r.ejectedUntil
			}
		}
		if worst < 0 {
			break
		}
		kept = append(append([]membership.Upstream(nil), kept[:worst]...), kept[worst+1:]...)
	}
	return kept
}
