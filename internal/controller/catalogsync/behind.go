package catalogsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// behindTolerance is how long a long poll may lack the changes up to a revision that the store has stated in another answer. A slow store
	// takes 200 ms to answer.
	behindTolerance = 300 * time.Millisecond
	// behindCheckInterval is the interval between the checks.
	behindCheckInterval = 100 * time.Millisecond
)

// errBehind means that a poll was given up because its connection may have gone silent.
var errBehind = errors.New("catalogsync: poll without an answer while the store has changed or a call to it has failed")

// observeRevision records the point of the store's history that an answer states.
func (s *Syncer) observeRevision(at store.Cursor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Era > s.latest.Era || at.Era == s.latest.Era && at.Revision > s.latest.Revision {
		s.latest = at
	}
}

// hasFailedSince reports whether a call to the store has failed since a time.
func (s *Syncer) hasFailedSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedAt.After(t)
}

// isBehind reports whether the store has stated a later point of its history than a cursor.
func (s *Syncer) isBehind(cursor store.Cursor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest.Era > cursor.Era || s.latest.Era == cursor.Era && s.latest.Revision > cursor.Revision
}

// poll polls the prefix. A poll that waits for longer than those of the other prefixes returns errBehind once one of these fails, or shows that the
// store has changed: its connection may have gone silent, and would hide the change until it times out. The next poll, on another connection,
// tells.
func (w *watcher) poll(parent context.Context, wait time.Duration) ([]store.Event, store.Cursor, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if wait > pollTimeout {
		go w.cancelWhenBehind(ctx, cancel, w.cursor)
	}
	events, next, err := w.lister.Poll(ctx, w.prefix.Name, w.cursor, wait)
	switch {
	case err == nil:
		w.observeRevision(next)
	case errors.Is(context.Cause(ctx), errBehind):
		err = errBehind
	}
	return events, next, err
}

// cancelWhenBehind cancels a poll of the changes after a cursor if it lacks some for longer than behindTolerance, or if another call fails.
func (s *Syncer) cancelWhenBehind(ctx context.Context, cancel context.CancelCauseFunc, cursor store.Cursor) {
	started := time.Now()
	var behindSince time.Time
	ticker := time.NewTicker(behindCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			switch {
			case s.hasFailedSince(started):
				cancel(errBehind)
				return
			case !s.isBehind(cursor):
			case behindSince.IsZero():
				behindSince = now
			case now.Sub(behindSince) >= behindTolerance:
				cancel(errBehind)
				return
			}
		}
	}
}
