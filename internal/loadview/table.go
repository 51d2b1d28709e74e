// Package loadview keeps the newest known load of each upstream.
package loadview

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// retention is how long the load of an upstream is kept after the last message about it.
const retention = time.Minute

// Load is the load of an upstream with the time at which the upstream was asked.
type Load struct {
	message.UpstreamLoad
	QueriedAt time.Time
}

// Table maps addresses to loads. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	mu  sync.Mutex
	// loads is guarded by mu.
	loads map[string]Load
	// entries is what the entries of other data centres have in progress; an agent's own report does not say that.
	entries map[string]entriesWork
}

type entriesWork struct {
	work message.UpstreamWork
	at   time.Time
}

// NewTable returns an empty table. now is the clock; nil selects time.Now.
func NewTable(now func() time.Time) *Table {
	if now == nil {
		now = time.Now
	}
	return &Table{now: now, loads: map[string]Load{}, entries: map[string]entriesWork{}}
}

// Apply merges loads from a message that has just arrived. Older ones than those that are known are ignored.
func (t *Table) Apply(loads []message.UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, l := range loads {
		at := now.Add(-time.Duration(l.Age) * time.Millisecond)
		if l.HasEntries {
			t.entries[l.Address] = entriesWork{work: l.Entries, at: now}
		}
		if known, ok := t.loads[l.Address]; ok && (!at.After(known.QueriedAt) || l.Born != 0 && l.Born < known.Born) {
			continue
		}
		t.loads[l.Address] = Load{UpstreamLoad: l, QueriedAt: at}
	}
	for address, l := range t.loads {
		if now.Sub(l.QueriedAt) > retention {
			delete(t.loads, address)
			delete(t.entries, address)
		}
	}
}

// Get returns the load of the upstream at an address with the time since the upstream was asked.
func (t *Table) Get(address string) (Load, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.loads[address]
	return l, t.now().Sub(l.QueriedAt), ok
}

// EntryWork returns what the entries of an upstream's own data centre have in progress there, with the time since they said so. It is
// known of upstreams in other data centres only.
func (t *Table) EntryWork(address string) (message.UpstreamWork, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[address]
	return e.work, t.now().Sub(e.at), ok
}

// Recent returns the loads that are at most age old, with their ages, to pass them on.
func (t *Table) Recent(age time.Duration) []message.UpstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []message.UpstreamLoad
	for _, l := range t.loads {
		if past := now.Sub(l.QueriedAt); past <= age {
			l.Age = past.Milliseconds()
			out = append(out, l.UpstreamLoad)
		}
	}
	return out
}
