package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// watchIdleTimeout is the time without events after which a watch reconnects. A dead connection cannot be distinguished from a key without
// changes.
const watchIdleTimeout = 5 * time.Second

// errIdleWatch makes Watch reconnect.
var errIdleWatch = errors.New("store: watch idle")

// watchState is the progress of one Watch call.
type watchState struct {
	key string
	// nextRevision is the first revision that was not delivered yet, 0 until it is known.
	nextRevision int64
	deliver      func(Event)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, revision int64, deliver func(Event)) error {
	state := &watchState{key: key, nextRevision: revision, deliver: deliver}
	for {
		err := c.watchOnce(ctx, state)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "store: watch")
		}
		if !errors.Is(err, errIdleWatch) {
			return err
		}
	}
}

// watchOnce watches on one connection until it fails. It returns errIdleWatch after watchIdleTimeout without events.
func (c *Client) watchOnce(ctx context.Context, state *watchState) error {
	if err := c.acquire(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(watchIdleTimeout, func() { cancel(errIdleWatch) })
	defer idleTimer.Stop()
	request := etcdjson.WatchRequest{Create: etcdjson.WatchCreate{Key: []byte(state.key), StartRevision: state.nextRevision}}
	response, _, err := c.post(ctx, etcdjson.PathWatch, request)
	if err != nil {
		return c.classifyError(err, readCall, true, etcdjson.PathWatch)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		return statusError(readCall, etcdjson.PathWatch, response.StatusCode, body)
	}
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = maxResponseBytes // The limit applies to one message; bytes that the decoder has read ahead count for the one before.
		var message etcdjson.WatchResponse
		if err := decoder.Decode(&message); err != nil {
			if errors.Is(context.Cause(ctx), errIdleWatch) {
				return errIdleWatch
			}
			return c.classifyError(err, readCall, true, etcdjson.PathWatch)
		}
		if len(message.Result.Events) > 0 {
			idleTimer.Reset(watchIdleTimeout)
		}
		if err := state.apply(message.Result); err != nil {
			return err
		}
	}
}

// apply delivers the events of one message. It skips those that an earlier connection has already delivered.
func (s *watchState) apply(result etcdjson.WatchResult) error {
	if result.CompactRevision > 0 {
		return errors.Wrapf(ErrCompacted, "revision %d", result.CompactRevision)
	}
	if result.Canceled {
		return errors.Mark(errors.New("store: watch ended by the service"), ErrUnavailable)
	}
	if result.Created && s.nextRevision == 0 {
		s.nextRevision = result.Header.Revision + 1
	}
	if result.Created && result.Header.Revision+1 < s.nextRevision {
		// The service waits for the start revision and skips the changes up to it.
		return errors.Wrapf(ErrCompacted, "store is at revision %d, before start revision %d", result.Header.Revision, s.nextRevision)
	}
	for _, event := range result.Events {
		if event.KV.ModRevision < s.nextRevision {
			continue
		}
		s.nextRevision = event.KV.ModRevision + 1
		s.deliver(Event{KV: fromKeyValue(event.KV), Deleted: event.Type == etcdjson.EventDelete})
	}
	return nil
}
