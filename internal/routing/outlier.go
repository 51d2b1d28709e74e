package routing

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/membership"
)

// Parameters of outlier ejection.
const (
	// maxConsecutiveFailures is the number of failures in a row after which an upstream is ejected.
	maxConsecutiveFailures = 5
	// outlierWindow is the period over which failure rates are compared.
	outlierWindow = 10 * time.Second
	// An upstream with at least minOutlierSamples results in the window is an outlier when its failure rate is above
	// minOutlierRate and above outlierFactor times that of the others together. The others together need minOutlierSamples results
	// too.
	minOutlierSamples = 10
	minOutlierRate    = 0.3
	outlierFactor     = 3
	// baseEjection is the duration of the first ejection. It doubles with each further one up to maxEjection and is reset after
	// ejectionResetAfter without an ejection.
	baseEjection       = time.Second
	maxEjection        = time.Minute
	ejectionResetAfter = 2 * time.Minute
)

// upstreamResults holds the recent results and the ejections of one upstream.
type upstreamResults struct {
	consecutiveFailures int
	// total and failed count the results since windowStart.
	total, failed   int
	windowStart     time.Time
	ejections       int
	ejectedUntil    time.Time
	lastResult      time.Time
	lastEjectionEnd time.Time
}

// OutlierDetector ejects upstreams that fail much more often than the other upstreams. It is safe for concurrent use.
type OutlierDetector struct {
	now func() time.Time
	// onEject is called for each ejection with the node ID of the upstream. It is called with mu held, so it must not block or call
	// the detector.
	onEject func(id string)
	// mu guards the fields below.
	mu sync.Mutex
	// results is indexed by the node ID of the upstream.
	results map[string]*upstreamResults
}

// NewOutlierDetector returns a detector without results. now is the clock; nil selects time.Now.
func NewOutlierDetector(now func() time.Time) *OutlierDetector {
	if now == nil {
		now = time.Now
	}
	return &OutlierDetector{now: now, results: make(map[string]*upstreamResults), onEject: func(string) {}}
}

// OnEject sets the function that is called for each ejection with the node ID of the upstream. The function must not block or call the
// detector. OnEject must be called before the first Report.
func (o *OutlierDetector) OnEject(f func(id string)) { o.onEject = f }

// Report records the result of an attempt that may have run at the upstream with node ID id. It ejects the upstream after
// maxConsecutiveFailures failures in a row, or if it is an outlier. A rejection does not count as a failure.
func (o *OutlierDetector) Report(id string, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	r := o.results[id]
	if r == nil {
		o.prune(now)
		r = &upstreamResults{windowStart: now}
		o.results[id] = r
	}
	if now.Sub(r.windowStart) > outlierWindow {
		r.total, r.failed, r.windowStart = 0, 0, now
	}
	r.lastResult = now
	r.total++
	if !failed {
		r.consecutiveFailures = 0
		return
	}
	r.failed++
	r.consecutiveFailures++
	if now.After(r.ejectedUntil) && (r.consecutiveFailures >= maxConsecutiveFailures || o.exceedsOthers(id, r, now)) {
		o.eject(id, r, now)
	}
}

// eject starts an ejection. The caller holds mu.
func (o *OutlierDetector) eject(id string, r *upstreamResults, now time.Time) {
	if now.Sub(r.lastEjectionEnd) > ejectionResetAfter {
		r.ejections = 0
	}
	r.ejectedUntil = now.Add(min(baseEjection<<min(r.ejections, 10), maxEjection)) // The bound on the shift prevents an overflow.
	r.lastEjectionEnd = r.ejectedUntil
	r.ejections++
	r.consecutiveFailures, r.total, r.failed = 0, 0, 0
	o.onEject(id)
}

// exceedsOthers reports whether the failure rate of an upstream is above minOutlierRate and above outlierFactor times that of all
// other upstreams together. It returns false for fewer than minOutlierSamples results on either side. The caller holds mu.
func (o *OutlierDetector) exceedsOthers(id string, r *upstreamResults, now time.Time) bool {
	if r.total < minOutlierSamples {
		return false
	}
	total, failed := 0, 0
	for other, s := range o.results {
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
	for id, r := range o.results {
		if now.Sub(r.lastResult) > ejectionResetAfter && now.After(r.ejectedUntil) {
			delete(o.results, id)
		}
	}
}

// Filter drops ejected upstreams, but never more than half of the candidates. Those with the longest remaining ejection are dropped
// first.
func (o *OutlierDetector) Filter(candidates []membership.Upstream) []membership.Upstream {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	kept := candidates
	for range len(candidates) / 2 {
		worst, until := -1, now
		for i, u := range kept {
			if r := o.results[u.Node.NodeID]; r != nil && r.ejectedUntil.After(until) {
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
