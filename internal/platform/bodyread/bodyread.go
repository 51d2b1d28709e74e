// Package bodyread reads HTTP response bodies with bounds on size, rate and time without progress.
package bodyread

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// IdleTimeout is the time without bytes after which a body is given up.
const IdleTimeout = 2 * time.Second

// ReadBufferBytes is the size of one read; a rate limiter must allow a burst of at least this size.
const ReadBufferBytes = 32 << 10

// Errors of ReadAll.
var (
	// ErrStalled means that no bytes arrived within IdleTimeout.
	ErrStalled = errors.New("body stalled")
	// ErrTooLarge means that the body exceeds the bound.
	ErrTooLarge = errors.New("body too large")
)

// ReadAll reads a body of at most maxBytes. limiter may be nil. cancel must end the request, so that a blocked read returns.
func ReadAll(ctx context.Context, cancel func(), body io.Reader, maxBytes int64, limiter *rate.Limiter) ([]byte, error) {
	stalled := make(chan struct{})
	idle := time.AfterFunc(IdleTimeout, func() { close(stalled); cancel() })
	defer idle.Stop()
	var out []byte
	piece := make([]byte, ReadBufferBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 && !idle.Stop() {
			return nil, errors.WithStack(ErrStalled)
		}
		out = append(out, piece[:n]...)
		if int64(len(out)) > maxBytes {
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
		}
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, readError(err, stalled)
		}
		// The wait for the limiter does not count as time without bytes.
		if limiter != nil {
			if err := limiter.WaitN(ctx, n); err != nil {
				return nil, errors.Wrap(err, "rate limit")
			}
		}
		if n > 0 {
			idle.Reset(IdleTimeout)
		}
	}
}

func readError(err error, stalled <-chan struct{}) error {
	select {
	case <-stalled:
		return errors.Mark(err, ErrStalled)
	default:
		return err
	}
}
