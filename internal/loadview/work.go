package loadview

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// workRetention is how long the statement of an entry holds. An entry repeats it well within this time.
const workRetention = 1500 * time.Millisecond

// WorkTable knows what other entries have in progress at each upstream. An engine shows requests in its reports only after the
// pass in which they arrived, which takes up to half a second; entries tell each other at once. It is safe for concurrent use.
type WorkTable struct {
	now func() time.Time
	mu  sync.Mutex
	// entries is guarded by mu.
	entries map[string]entryWork
}

type entryWork struct {
	at   time.Time
	work map[string]message.UpstreamWork
}

// NewWorkTable returns an empty table. now is the clock; nil selects time.Now.
func NewWorkTable(now func() time.Time) *WorkTable {
	if now == nil {
		now = time.Now
	}
	return &WorkTable{now: now, entries: map[string]entryWork{}}
}

// Apply replaces what is known of one entry.
func (t *WorkTable) Apply(m *message.EntryWork) {
	work := make(map[string]message.UpstreamWork, len(m.Work))
	for _, w := range m.Work {
		work[w.ID] = w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[m.NodeID] = entryWork{at: t.now(), work: work}
}

// Total sums what all other entries have in progress at an upstream.
func (t *WorkTable) Total(upstream string) message.UpstreamWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := message.UpstreamWork{ID: upstream}
	for id, e := range t.entries {
		if t.now().Sub(e.at) > workRetention {
			delete(t.entries, id)
			continue
		}
		w := e.work[upstream]
		sum.Running += w.Running
		sum.Waiting += w.Waiting
		sum.Tokens += w.Tokens
	}
	return sum
}
