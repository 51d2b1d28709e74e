package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Lines with one message text pass up to repeatBurst times in repeatWindow. The burst lets a fleet of several hundred nodes
// connect without a gap in the log; a fault that repeats in a loop logs 20 lines a second at most.
const (
	repeatBurst  = 1000
	repeatWindow = 50 * time.Second
	// keySuppressed is the number of lines with the same message that were left out before this one.
	keySuppressed = "suppressed"
)

// repeatLimiter is a slog handler that leaves out lines whose message repeats too often. Message texts are constants, so the
// set of counts is bounded.
type repeatLimiter struct {
	next  slog.Handler
	state *repeatState
}

type repeatState struct {
	burst  int
	window time.Duration
	// mu guards counts.
	mu     sync.Mutex
	counts map[string]*repeatCount
}

type repeatCount struct {
	since              time.Time
	passed, suppressed int
}

func newRepeatLimiter(next slog.Handler, burst int, window time.Duration) *repeatLimiter {
	return &repeatLimiter{next: next, state: &repeatState{burst: burst, window: window, counts: make(map[string]*repeatCount)}}
}

// admit tells whether a line at the given time passes, and how many were left out before it.
func (s *repeatState) admit(message string, now time.Time) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.counts[message]
	if count == nil {
		count = &repeatCount{since: now}
		s.counts[message] = count
	}
	if now.Sub(count.since) >= s.window {
		suppressed = count.suppressed
		*count = repeatCount{since: now}
	}
	if count.passed >= s.burst {
		count.suppressed++
		return 0, false
	}
	count.passed++
	return suppressed, true
}

// Enabled implements slog.Handler.
func (l *repeatLimiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *repeatLimiter) Handle(ctx context.Context, record slog.Record) error {
	suppressed, ok := l.state.admit(record.Message, record.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(keySuppressed, suppressed))
	}
	return l.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (l *repeatLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &repeatLimiter{next: l.next.WithAttrs(attrs), state: l.state}
}

// WithGroup implements slog.Handler.
func (l *repeatLimiter) WithGroup(name string) slog.Handler {
	return &repeatLimiter{next: l.next.WithGroup(name), state: l.state}
}
