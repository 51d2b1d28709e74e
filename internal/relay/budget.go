package relay

import (
	"sync"
	"time"
)

// RetryBudget bounds retries per service. Within any window, the retries of all entries together are at most ratio times their
// requests, plus a fixed number. Each entry applies the ratio to its own requests and has an equal share of the fixed number.
// It is safe for concurrent use.
//
// A process does not know what the one before it has spent in the last window. So a process that may have replaced another one uses startShare of the
// budget while it is younger than the window, of which the fixed number grows with its age, and usableShare after that. However often
// processes are replaced, a window has at most usableShare spent by processes older than the window, and startShare by younger ones.
type RetryBudget struct {
	ratio, fixed float64
	window       time.Duration
	// entryCount returns the number of entries that share the fixed number.
	entryCount func() int
	now        func() time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// replacedAt is when this process replaced another one, zero if it is the first.
	replacedAt time.Time
	services   map[string]*serviceWindow
}

// serviceWindow holds the times of the requests to a service and of their retries within the window, in order.
type serviceWindow struct {
	requests, retries []time.Time
}

const (
	// usableShare is the part of the budget that is used. It leaves a margin, because entries may briefly disagree on their number, and for
	// startShare.
	usableShare = 0.8
	// startShare is the part that is used by a process that is younger than the window.
	startShare = 1 - usableShare
)

// NewRetryBudget returns a budget without recorded requests. fixed is the number of retries that all entries together may send in a
// window in addition to ratio times the requests; entryCount returns the number of entries that share it. now is the clock; nil
// selects time.Now.
func NewRetryBudget(ratio, fixed float64, window time.Duration, entryCount func() int, now func() time.Time) *RetryBudget {
	if now == nil {
		now = time.Now
	}
	return &RetryBudget{ratio: ratio, fixed: fixed, window: window, entryCount: entryCount, now: now, services: map[string]*serviceWindow{}}
}

// AfterPredecessor makes the budget that of a process that starts now and may replace another one, which may have spent the budget just before it
// ended.
func (b *RetryBudget) AfterPredecessor() *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replacedAt = b.now()
	return b
}

// WithoutPredecessor makes the budget that of a process that has replaced no other one.
func (b *RetryBudget) WithoutPredecessor() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replacedAt = time.Time{}
}

// RecordRequest records a new request to a service.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.activeWindow(service)
	w.requests = append(w.requests, b.now())
}

// TryRetry takes a retry from the budget of a service. It returns false if the budget is exhausted.
func (b *RetryBudget) TryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.activeWindow(service)
	if !b.hasRoom(w) {
		return false
	}
	w.retries = append(w.retries, b.now())
	return true
}

// Available reports whether the budget of a service has room for a retry.
func (b *RetryBudget) Available(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(b.activeWindow(service))
}

// hasRoom reports whether a window has room for a retry. The caller holds mu.
func (b *RetryBudget) hasRoom(w *serviceWindow) bool {
	share, fixed := usableShare, b.fixed/float64(max(b.entryCount(), 1))
	if age := b.now().Sub(b.replacedAt); age < b.window {
		share, fixed = startShare, fixed*age.Seconds()/b.window.Seconds()
	}
	return float64(len(w.retries)+1) <= share*(b.ratio*float64(len(w.requests))+fixed)
}

// activeWindow returns the window of a service without its expired times. The caller holds mu.
func (b *RetryBudget) activeWindow(service string) *serviceWindow {
	w := b.services[service]
	if w == nil {
		w = &serviceWindow{}
		b.services[service] = w
	}
	since := b.now().Add(-b.window)
	w.requests, w.retries = dropBefore(w.requests, since), dropBefore(w.retries, since)
	return w
}

// dropBefore removes the times before since from an ordered list.
func dropBefore(list []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(list) && list[n].Before(since) {
		n++
	}
	return list[n:]
}
