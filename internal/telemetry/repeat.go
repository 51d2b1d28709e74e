package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// At most repeatBurst lines with the same message are logged per repeatWindow. The burst lets a fleet of several hundred nodes
// connect without a gap in the log, while a fault that repeats in a loop logs at most 20 lines per second on average.
const (
	repeatBurst  = 1000
	repeatWindow = 50 * time.Second
	// keySuppressed is the key of the number of lines with the same message that were suppressed before this one.
	keySuppressed = "suppressed"
)

// repeatLimiter is a slog handler that suppresses lines whose message repeats too often. Message texts are constants, so the
// number of counts is bounded.
type repeatLimiter struct {
	next  slog.Handler
	state *repeatState
}

// repeatState holds the counts, which are shared by all handlers derived from one repeatLimiter.
type repeatState struct {
	burst  int
	window time.Duration
	// mu guards counts.
	mu sync.Mutex
	// counts is keyed by message.
	counts map[string]*repeatCount
}

// repeatCount counts the lines with one message in the current window.
type repeatCount struct {
	windowStart        time.Time
	logged, suppressed int
}

// newRepeatLimiter returns a handler that passes up to burst lines with the same message per window to next.
func newRepeatLimiter(next slog.Handler, burst int, window time.Duration) *repeatLimiter {
	return &repeatLimiter{next: next, state: &repeatState{burst: burst, window: window, counts: make(map[string]*repeatCount)}}
}

// admit reports whether a line at the given time is to be logged. If the line starts a new window, admit also returns the
// number of lines suppressed in the window before.
func (s *repeatState) admit(message string, now time.Time) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.counts[message]
	if count == nil {
		count = &repeatCount{windowStart: now}
		s.counts[message] = count
	}
	if now.Sub(count.windowStart) >= s.window {
		suppressed = count.suppressed
		*count = repeatCount{windowStart: now}
	}
	if count.logged >= s.burst {
		count.suppressed++
		return 0, false
	}
	count.logged++
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
