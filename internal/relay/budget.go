package relay

import (
	"sync"
	"time"
)

// RetryBudget bounds how often this entry sends a request once more, by service. All entries together may send ratio times the
// requests plus a fixed number in each window; each entry uses the ratio of its own requests and an equal part of the number.
// It is safe for concurrent use.
type RetryBudget struct {
	ratio, slack float64
	window       time.Duration
	// entries returns the number of entries that share the slack.
	entries func() int
	now     func() time.Time

	mu sync.Mutex
	// services is guarded by mu.
	services map[string]*budgetWindow
}

type budgetWindow struct {
	requests, repeats []time.Time
}

// safeShare is the part of the budget that is used: entries disagree for moments on how many they are.
const safeShare = 0.8

// NewRetryBudget returns an empty budget. now is the clock; nil selects time.Now.
func NewRetryBudget(ratio, slack float64, window time.Duration, entries func() int, now func() time.Time) *RetryBudget {
	if now == nil {
		now = time.Now
	}
	return &RetryBudget{ratio: ratio, slack: slack, window: window, entries: entries, now: now, services: map[string]*budgetWindow{}}
}

// RecordRequest records a new request for a service.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.get(service)
	w.requests = append(w.requests, b.now())
}

// TryRetry takes one repeat from the budget and returns false if none is left.
func (b *RetryBudget) TryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.get(service)
	allowed := safeShare * (b.ratio*float64(len(w.requests)) + b.slack/float64(max(b.entries(), 1)))
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats = append(w.repeats, b.now())
	return true
}

func (b *RetryBudget) get(service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	since := b.now().Add(-b.window)
	w.requests, w.repeats = after(w.requests, since), after(w.repeats, since)
	return w
}

// after drops the times before since from an ordered list.
func after(list []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(list) && list[n].Before(since) {
		n++
	}
	return list[n:]
}
