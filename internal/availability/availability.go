// Package availability keeps what the processes of upstreams have said in their answers about taking requests from this entry.
//
// The statements are made to one entry and hold for it alone, so the package needs neither a network nor the other entries: an entry that
// is cut off from everything but the upstream acts on them all the same.
package availability

import (
	"slices"
	"sync"
)

// maxProcesses bounds the processes of which statements are kept. Beyond it the oldest statement is forgotten.
const maxProcesses = 4096

// Process identifies a process of an upstream. An upstream that restarts is another process, also under the same ID.
type Process struct {
	ID              string
	StartedAtMillis int64
}

// Change is what an entry begins to believe of a process.
type Change uint8

// Changes. Leaving means that the process gets no more requests.
const (
	Leaving Change = iota + 1
)

// String returns the name of the change in logs and metrics.
func (c Change) String() string {
	switch c {
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Event is a change and its origin.
type Event struct {
	Process Process
	Change  Change
	// Request is the ID of the request whose answer made the statement.
	Request string
}

// Config holds the dependencies of a Table.
type Config struct {
	// Observe is called for each change, with the table locked. It must neither block nor call the table. nil selects no observer.
	Observe func(Event)
}

// Status says whether a process takes a request.
type Status struct {
	// Leaving is set if the process takes no requests any more.
	Leaving bool
}

// record is what one process has said.
type record struct {
	leaving bool
}

// Table holds the statements of upstreams. It is safe for concurrent use.
type Table struct {
	cfg Config

	// mu guards the fields below.
	mu      sync.Mutex
	records map[Process]*record
	// order holds the keys of records, oldest first.
	order []Process
}

// New returns a table without statements.
func New(cfg Config) *Table {
	if cfg.Observe == nil {
		cfg.Observe = func(Event) {}
	}
	return &Table{cfg: cfg, records: map[Process]*record{}}
}

// RecordLeaving records that a process has said that it leaves, in its answer to a request. A process that leaves does not come back, so
// nothing but the end of the process takes this back.
func (t *Table) RecordLeaving(p Process, request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(p)
	if r.leaving {
		return
	}
	r.leaving = true
	t.cfg.Observe(Event{Process: p, Change: Leaving, Request: request})
}

// Status returns whether a process takes a request now.
func (t *Table) Status(p Process) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	if r == nil {
		return Status{}
	}
	return Status{Leaving: r.leaving}
}

// Blocked reports whether a request that has been placed at a process may not be sent any more, because of what the process has said since.
func (t *Table) Blocked(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	return r != nil && r.leaving
}

// record returns the record of a process and adds it if it is missing. The caller holds mu.
func (t *Table) record(p Process) *record {
	if r := t.records[p]; r != nil {
		return r
	}
	if len(t.order) >= maxProcesses {
		delete(t.records, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
	r := &record{}
	t.records[p] = r
	t.order = append(t.order, p)
	return r
}
