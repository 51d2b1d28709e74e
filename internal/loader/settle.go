package loader

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/pause"
)

// A call that had no answer may still be carried out: an upstream that has been silent handles the calls that wait in any order. A load
// order or a chunk of an older version must not take effect among the chunks of a newer one, so staging waits until such calls have settled.

// settleTime is how long a call may still be carried out after the upstream has answered a later one.
const settleTime = 200 * time.Millisecond

// settling tells when calls without an answer have settled. The zero value stands for the calls of an earlier process of the agent.
type settling struct {
	// unansweredAt is when the newest call ended without an answer.
	unansweredAt time.Time
	// settledAt is when the calls have settled, zero while the upstream has answered no later one.
	settledAt time.Time
}

// recordUnanswered records that a call has ended without an answer.
func (s *settling) recordUnanswered(now time.Time) { s.unansweredAt, s.settledAt = now, time.Time{} }

// recordAnswer records the answer to a call that was sent at sentAt.
func (s *settling) recordAnswer(sentAt, now time.Time) {
	if s.settledAt.IsZero() && sentAt.After(s.unansweredAt) {
		s.settledAt = now.Add(settleTime)
	}
}

// isSettled reports whether calls without an answer have settled.
func (s *settling) isSettled(now time.Time) bool {
	return !s.settledAt.IsZero() && !now.Before(s.settledAt)
}

// recordUnanswered records that a call to the upstream has ended without an answer.
func (l *Loader) recordUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls.recordUnanswered(time.Now())
}

// awaitSettled waits until calls without an answer have settled or ctx ends.
func (l *Loader) awaitSettled(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		settled := l.calls.isSettled(time.Now())
		l.mu.Unlock()
		if settled {
			return
		}
		pause.For(ctx, loadingInterval)
	}
}

// storeChunk stores a chunk beside the upstream. The call goes on when ctx ends, so that it is not carried out after later ones.
func (l *Loader) storeChunk(ctx context.Context, model string, chunk int, data []byte) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	l.recordBadChunk() // The chunk did not match. It is overwritten, so that it cannot be checked later.
	err := l.engine.Stage(context.WithoutCancel(ctx), model, chunk, data)
	if err != nil {
		l.recordUnanswered()
	}
	return err
}
