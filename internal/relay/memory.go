package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// Responses and their events are written to the caller by the goroutine that reads them from the upstream. The kernel's buffer of the
// caller's connection is what lets a stream go on whose caller reads slowly, see docs/design/slow-readers.md.

const (
	// memoryCode is the reason in the responses to requests whose body does not fit into the memory budget, memoryRetryAfter the Retry-After
	// sent with it.
	memoryCode       = "memory"
	memoryRetryAfter = time.Second
	// maxUnread is how many bytes of a stream may wait for its caller before reading from the upstream stops, scarceUnread how many if the
	// memory budget is exhausted. An event that is on its way to a caller that reads counts, too: streams have 1 to 10 KB a second.
	maxUnread    = 64 << 10
	scarceUnread = 8 << 10
	// unreadCheckInterval is the time between checks whether such a caller has read.
	unreadCheckInterval = 5 * time.Millisecond
	// writePart is the size of one write of a buffered response, in bytes. writeGrace is how long the caller has to make space for it if the
	// deadline of the request has passed: a caller that goes on reading gets its complete response. A blocked write goes on only once about a
	// third of the send buffer is free, which took 1.5 s for a caller that reads 33 KiB/s.
	writePart  = 32 << 10
	writeGrace = 2 * time.Second
	// pendingAllowance is the size of the first buffer for incomplete events, in bytes: an event of streamReadSize and the read that follows
	// it. Every stream has it. Larger ones count towards the memory budget.
	pendingAllowance = 2 * streamReadSize
	// memoryLogInterval is the least time between two log lines on the memory budget.
	memoryLogInterval = time.Second
)

// memoryState is what a Relay knows about callers that read slowly. The zero value is ready for use.
type memoryState struct {
	// fullStreams is the number of streams that wait for their callers to read, waits how often one has begun to.
	fullStreams, waits atomic.Int64
	// loggedAt is when a log line on the memory budget was written, in nanoseconds since the epoch.
	loggedAt atomic.Int64
}

// FullStreams returns the number of streams that wait for their callers to read, and how often streams have begun to wait.
func (r *Relay) FullStreams() (now, total int64) {
	return r.memory.fullStreams.Load(), r.memory.waits.Load()
}

// logMemory logs that the budget has refused memory for what, at most once in memoryLogInterval.
func (x *exchange) logMemory(what string) {
	now, m := time.Now(), &x.relay.memory
	last := m.loggedAt.Load()
	if now.UnixNano()-last < int64(memoryLogInterval) || !m.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	usage := x.relay.cfg.MemoryBudget.Usage()
	x.relay.cfg.Log.Info("memory budget exhausted", "request", x.meta.ID, "for", what, "body_bytes", x.req.ContentLength,
		"limit_bytes", usage.Limit, "reserved_bytes", usage.Reserved, "unread_bytes", usage.Unread, "refusals", usage.Refusals)
}

// limitWrites ends writes to the caller that make no progress soon after until. A caller that does not read would hold its request for ever.
func (x *exchange) limitWrites(until time.Time) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(until.Add(writeGrace))
}

// writeParts sends a buffered response to the caller.
func (x *exchange) writeParts(text []byte) error {
	for {
		if now := time.Now(); now.After(x.deadline) {
			x.limitWrites(now)
		}
		n := min(len(text), writePart)
		if _, err := x.w.Write(text[:n]); err != nil || n == len(text) {
			return err
		}
		text = text[n:]
	}
}

// awaitReader waits while the caller has not read what was written of a stream, as long as there is too much of it. It returns an error if the
// request ends meanwhile.
func (x *exchange) awaitReader() error {
	if !x.hasFullBuffer() {
		return nil
	}
	m := &x.relay.memory
	m.waits.Add(1)
	m.fullStreams.Add(1)
	defer m.fullStreams.Add(-1)
	started := time.Now()
	defer func() { x.readerWait += time.Since(started) }()
	for x.hasFullBuffer() {
		pause.For(x.ctx, unreadCheckInterval)
		if x.ctx.Err() != nil {
			return errors.Mark(errors.Wrap(context.Cause(x.ctx), "relay: wait for the caller to read"), errCallerGone)
		}
	}
	return nil
}

// hasFullBuffer reports whether no more of a stream is written before the caller has read. Without a memory budget, only the kernel limits that.
func (x *exchange) hasFullBuffer() bool {
	budget := x.relay.cfg.MemoryBudget
	return budget != nil && callerconn.Unread(x.req.Context()) > unreadLimit(budget.Exhausted())
}

// unreadLimit returns how many bytes of a stream may wait for its caller.
func unreadLimit(exhausted bool) int {
	if exhausted {
		return scarceUnread
	}
	return maxUnread
}
