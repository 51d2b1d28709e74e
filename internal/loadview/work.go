package loadview

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// workRetention is the time after which the work reported by an entry expires. A live entry reports well within this time.
const workRetention = 1500 * time.Millisecond

// WorkTable holds the work that other entries have in progress at each upstream. It supplements the reports of engines, which show
// requests only after the pass in which they arrived: a pass takes up to half a second, whereas the entries of a data centre send
// each other changes of their work within tens of milliseconds. It is safe for concurrent use.
type WorkTable struct {
	now func() time.Time
	mu  sync.Mutex
	// entries maps the node IDs of entries to their newest reports, totals those of relays to their newest sums. Both are guarded by mu.
	entries map[string]entryWork
	totals  map[string]relayTotals
}

// relayTotals is the newest sum of one relay, without the work of the receiver.
type relayTotals struct {
	receivedAt time.Time
	// reports is the number of reports in the sum. work is indexed by the ID of the upstream.
	reports int
	work    map[string]message.UpstreamWork
}

// entryWork is the newest report of one entry.
type entryWork struct {
	receivedAt time.Time
	// seq is the sequence number of the report. work is indexed by the ID of the upstream.
	seq  uint64
	work map[string]message.UpstreamWork
}

// NewWorkTable returns an empty table. now is the clock; nil selects time.Now.
func NewWorkTable(now func() time.Time) *WorkTable {
	if now == nil {
		now = time.Now
	}
	return &WorkTable{now: now, entries: map[string]entryWork{}, totals: map[string]relayTotals{}}
}

// Apply replaces the stored work of one entry with a new report.
func (t *WorkTable) Apply(m *message.EntryWork) {
	work := make(map[string]message.UpstreamWork, len(m.Work))
	for _, w := range m.Work {
		work[w.ID] = w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[m.NodeID] = entryWork{receivedAt: t.now(), seq: m.Seq, work: work}
}

// ApplyTotals replaces the stored sum of a relay. own is the report of this entry that the sum contains, nil if it contains none.
func (t *WorkTable) ApplyTotals(relay string, totals *message.WorkTotals, own *message.EntryWork) {
	sum := relayTotals{reports: totals.Reports, work: make(map[string]message.UpstreamWork, len(totals.Work))}
	for _, w := range totals.Work {
		sum.work[w.ID] = w
	}
	if own != nil {
		sum.reports--
		for _, w := range own.Work {
			rest := sum.work[w.ID]
			rest.ID = w.ID
			rest.Running = max(rest.Running-w.Running, 0)
			rest.Waiting = max(rest.Waiting-w.Waiting, 0)
			rest.WaitingTokens = max(rest.WaitingTokens-w.WaitingTokens, 0)
			sum.work[w.ID] = rest
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	sum.receivedAt = t.now()
	t.totals[relay] = sum
}

// WorkSum is the sum of the reports of several entries.
type WorkSum struct {
	// Work is indexed by the ID of the upstream.
	Work map[string]message.UpstreamWork
	// Seqs holds the sequence numbers of the reports in the sum, by the node IDs of the entries.
	Seqs map[string]uint64
}

// Sum returns the sum of the reports of the entries for which include returns true.
func (t *WorkTable) Sum(include func(nodeID string) bool) WorkSum {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
	out := WorkSum{Work: map[string]message.UpstreamWork{}, Seqs: map[string]uint64{}}
	for id, e := range t.entries {
		if !include(id) {
			continue
		}
		out.Seqs[id] = e.seq
		for upstream, w := range e.work {
			sum := out.Work[upstream].Plus(w)
			sum.ID = upstream
			out.Work[upstream] = sum
		}
	}
	return out
}

// Total returns the sum of the work that all other entries have in progress at an upstream, and drops expired reports. It comes from the
// reports of the entries, or from the sum of a relay that contains more of them.
func (t *WorkTable) Total(upstream string) message.UpstreamWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
	best := relayTotals{reports: len(t.entries)}
	for _, sum := range t.totals {
		if sum.reports > best.reports || sum.reports == best.reports && best.work != nil && sum.receivedAt.After(best.receivedAt) {
			best = sum
		}
	}
	sum := message.UpstreamWork{ID: upstream}
	if best.work != nil {
		return sum.Plus(best.work[upstream])
	}
	for _, e := range t.entries {
		sum = sum.Plus(e.work[upstream])
	}
	return sum
}

// dropExpired drops reports and sums that are older than workRetention. The caller holds mu.
func (t *WorkTable) dropExpired() {
	now := t.now()
	for id, e := range t.entries {
		if now.Sub(e.receivedAt) > workRetention {
			delete(t.entries, id)
		}
	}
	for relay, sum := range t.totals {
		if now.Sub(sum.receivedAt) > workRetention {
			delete(t.totals, relay)
		}
	}
}
