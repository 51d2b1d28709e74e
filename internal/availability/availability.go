// Package availability keeps what the processes of upstreams have said in their answers about taking requests from this entry.
//
// The statements are made to one entry and hold for it alone, so the package needs neither a network nor the other entries: an entry that
// is cut off from everything but the upstream acts on them all the same.
package availability

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
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

// Changes of what a process takes.
const (
	// Leaving means that the process gets no more requests.
	Leaving Change = iota + 1
	// Pausing means that the process gets no requests for some time, Resuming that this time is over and requests return gradually,
	// Available that they have returned.
	Pausing
	Resuming
	Available
)

// String returns the name of the change in logs and metrics.
func (c Change) String() string {
	switch c {
	case Leaving:
		return "leaving"
	case Pausing:
		return "pausing"
	case Resuming:
		return "resuming"
	case Available:
		return "available"
	default:
		return "unknown"
	}
}

// Event is a change and its origin.
type Event struct {
	Process Process
	Change  Change
	// Request is the ID of the request whose answer made the statement, empty if the change follows from time and results.
	Request string
	// RetryAfter is the pause that the process has named, before it is bounded; 0 for other changes.
	RetryAfter time.Duration
}

// Config holds the dependencies of a Table.
type Config struct {
	// Observe is called for each change, with the table locked. It must neither block nor call the table. nil selects no observer.
	Observe func(Event)
	// Now is the clock, Random returns a random number from 0 to 1. nil selects time.Now and rand.Float64.
	Now    func() time.Time
	Random func() float64
}

// Status says whether a process takes a request.
type Status struct {
	// Leaving is set if the process takes no requests any more.
	Leaving bool
	// Wait is the time until the process takes a request, as far as known; 0 if it takes one now.
	Wait time.Duration
}

// record is what one process has said.
type record struct {
	leaving bool
	// pause is nil unless the process pauses or requests return after a pause.
	pause *pauseState
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
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
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
	return Status{Leaving: r.leaving, Wait: t.wait(p, r)}
}

// Blocked reports whether a request that has been placed at a process may not be sent any more, because of what the process has said since.
func (t *Table) Blocked(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	return r != nil && (r.leaving || r.pause != nil && t.cfg.Now().Before(r.pause.resumeAt))
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
