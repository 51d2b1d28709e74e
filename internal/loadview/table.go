// Package loadview keeps the newest known load of each upstream and the work that entries have in progress there.
package loadview

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// retention is how long the load of an upstream is kept after the last message about it.
const retention = time.Minute

// Load is the load of an upstream and the time at which the upstream was queried for it.
type Load struct {
	message.UpstreamLoad
	QueriedAt time.Time
}

// Table maps the addresses of upstreams to their loads. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	// mu guards the fields below.
	mu    sync.Mutex
	loads map[string]Load
	// dataCentreWork maps the addresses of upstreams in other data centres to the work of the entries there. It is kept apart from
	// loads because the report of an agent does not contain it.
	dataCentreWork map[string]dataCentreWork
}

// dataCentreWork is the sum of the work that the entries of one data centre have in progress at an upstream there.
type dataCentreWork struct {
	work       message.UpstreamWork
	receivedAt time.Time
}

// NewTable returns an empty table. now is the clock; nil selects time.Now.
func NewTable(now func() time.Time) *Table {
	if now == nil {
		now = time.Now
	}
	return &Table{now: now, loads: map[string]Load{}, dataCentreWork: map[string]dataCentreWork{}}
}

// isAfter reports whether a load is newer than one that is known. The numbers of its agent tell; loads of different processes of the agent are
// ordered by time, which lacks the time on the links, and by the start of the upstream.
func (l Load) isAfter(known Load) bool {
	if order, ok := message.CompareSeq(l.Seq, known.Seq); ok {
		return order > 0
	}
	return l.QueriedAt.After(known.QueriedAt) && (l.StartedAtMillis == 0 || l.StartedAtMillis >= known.StartedAtMillis)
}

// Apply merges loads from a message that has just arrived. It ignores a load that is older than the stored one or
// precedes a restart of the upstream, and drops expired loads. Data centre work in the message always replaces the stored work.
func (t *Table) Apply(loads []message.UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, l := range loads {
		queriedAt := now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
		if l.HasDataCentreWork {
			t.dataCentreWork[l.Address] = dataCentreWork{work: l.DataCentreWork, receivedAt: now}
		}
		load := Load{UpstreamLoad: l, QueriedAt: queriedAt}
		if known, ok := t.loads[l.Address]; ok && !load.isAfter(known) {
			continue
		}
		t.loads[l.Address] = load
	}
	for address, l := range t.loads {
		if now.Sub(l.QueriedAt) > retention {
			delete(t.loads, address)
			delete(t.dataCentreWork, address)
		}
	}
}

// Get returns the load of the upstream at an address and the time since the upstream was queried. It reports whether there is one.
func (t *Table) Get(address string) (Load, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.loads[address]
	return l, t.now().Sub(l.QueriedAt), ok
}

// DataCentreWork returns the work that the entries of an upstream's own data centre have in progress at the upstream, and the time
// since it was received. It reports whether there is any, which holds for upstreams of other data centres only.
func (t *Table) DataCentreWork(address string) (message.UpstreamWork, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.dataCentreWork[address]
	return e.work, t.now().Sub(e.receivedAt), ok
}

// Recent returns the loads that are at most maxAge old, with their current ages, for forwarding to other nodes.
func (t *Table) Recent(maxAge time.Duration) []message.UpstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []message.UpstreamLoad
	for _, l := range t.loads {
		if age := now.Sub(l.QueriedAt); age <= maxAge {
			l.AgeMillis = age.Milliseconds()
			out = append(out, l.UpstreamLoad)
		}
	}
	return out
}
