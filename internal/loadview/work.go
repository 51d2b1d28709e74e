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
	// entries maps the node IDs of entries to their newest reports. It is guarded by mu.
	entries map[string]entryWork
}

// entryWork is the newest report of one entry.
type entryWork struct {
	receivedAt time.Time
	// work is indexed by the ID of the upstream.
	work map[string]message.UpstreamWork
}

// NewWorkTable returns an empty table. now is the clock; nil selects time.Now.
func NewWorkTable(now func() time.Time) *WorkTable {
	if now == nil {
		now = time.Now
	}
	return &WorkTable{now: now, entries: map[string]entryWork{}}
}

// Apply replaces the stored work of one entry with a new report.
func (t *WorkTable) Apply(m *message.EntryWork) {
	work := make(map[string]message.UpstreamWork, len(m.Work))
	for _, w := range m.Work {
		work[w.ID] = w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[m.NodeID] = entryWork{receivedAt: t.now(), work: work}
}

// Total returns the sum of the work that all other entries have in progress at an upstream, and drops expired reports.
func (t *WorkTable) Total(upstream string) message.UpstreamWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := message.UpstreamWork{ID: upstream}
	for id, e := range t.entries {
		if t.now().Sub(e.receivedAt) > workRetention {
			delete(t.entries, id)
			continue
		}
		sum = sum.Plus(e.work[upstream])
	}
	return sum
}
