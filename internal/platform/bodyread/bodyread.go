// Package bodyread reads HTTP response bodies with limits on the size, the rate and the time without progress. It also has the limits on
// response heads.
package bodyread

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// IdleTimeout is the time in which ReadAll must receive progressBytes or the rest of the body; otherwise it fails with ErrStalled.
const IdleTimeout = 2 * time.Second

// progressBytes is the number of bytes that extend the time of ReadAll.
const progressBytes = 8 << 10

// ReadBufferBytes is the size of one read; a rate limiter must allow a burst of at least this size.
const ReadBufferBytes = 32 << 10

// MaxHeadBytes is the value for http.Transport.MaxResponseHeaderBytes, whose default is 10 MiB. It also bounds interim responses.
const MaxHeadBytes = 64 << 10

// ErrInvalidStatus means that the status of a response is below 100.
var ErrInvalidStatus = errors.New("response with a status below 100")

// Errors of ReadAll.
var (
	// ErrStalled means that too few bytes arrived within IdleTimeout.
	ErrStalled = errors.New("body stalled")
	// ErrTooLarge means that the body is larger than the limit.
	ErrTooLarge = errors.New("body too large")
)

// ReadAll reads a body of at most maxBytes. It returns ErrStalled, ErrTooLarge or the error of the body or of ctx. limiter limits the bytes
// per second and may be nil. cancel must cancel the request of the body; ReadAll calls it on a stall so that a blocked read returns.
func ReadAll(ctx context.Context, cancel func(), body io.Reader, maxBytes int64, limiter *rate.Limiter) ([]byte, error) {
	stalled := make(chan struct{})
	idle := time.AfterFunc(IdleTimeout, func() { close(stalled); cancel() })
	defer idle.Stop()
	var content []byte
	buffer := make([]byte, ReadBufferBytes)
	// remaining is the time left to receive the rest of progressBytes, of which received have arrived.
	remaining, received := IdleTimeout, 0
	for {
		started := time.Now()
		n, err := body.Read(buffer)
		if n > 0 && !idle.Stop() {
			return nil, errors.WithStack(ErrStalled)
		}
		content = append(content, buffer[:n]...)
		if int64(len(content)) > maxBytes {
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, readError(err, stalled)
		}
		remaining, received = remaining-time.Since(started), received+n
		if received >= progressBytes {
			remaining, received = IdleTimeout, 0
		}
		// The idle timer is stopped here: the wait for the limiter does not count as time without progress.
		if limiter != nil {
			if err := limiter.WaitN(ctx, n); err != nil {
				return nil, errors.Wrap(err, "rate limit")
			}
		}
		if n > 0 {
			idle.Reset(remaining)
		}
	}
}

// readError marks err as ErrStalled if the idle timer caused it.
func readError(err error, stalled <-chan struct{}) error {
	select {
	case <-stalled:
		return errors.Mark(err, ErrStalled)
	default:
		return err
	}
}

// CheckStatus returns ErrInvalidStatus for a response with a status below 100. net/http accepts such a status as final, but no server sends one
// on purpose, and it is below the limits from which statuses count as failures.
func CheckStatus(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return errors.Wrapf(ErrInvalidStatus, "status %03d", resp.StatusCode)
	}
	return nil
}
