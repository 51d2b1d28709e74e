package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Response writes error responses, and reports the end of every request to OnDone and the log.
type Response struct {
	Log logr.Logger
	// OnDone, if set, is called once per request with the error that the chain returned. It must not block.
	OnDone func(x *Exchange, err error)
}

// reasonPanic is the code of requests whose handler has panicked.
const reasonPanic = "panic"

// Apply implements Filter.
func (f Response) Apply(ctx context.Context, x *Exchange, next Handler) error {
	err := f.callNext(ctx, x, next)
	var failure *Failure
	if errors.As(err, &failure) {
		if writeErr := failure.write(x.Writer, x.ID); writeErr != nil {
			telemetry.Debug(f.Log).Info("cannot write the error response", "request", x.ID, "cause", writeErr.Error())
		}
	}
	if f.OnDone != nil {
		f.OnDone(x, err)
	}
	if err != nil {
		telemetry.Debug(f.Log).Info("request did not succeed", "request", x.ID, "caller", x.Caller.Name,
			"path", x.Request.URL.Path, "error", err.Error())
	}
	return err
}

// callNext calls next and turns a panic into a failure, or into ErrAborted if the response has begun. net/http would close the caller's
// connection without an answer.
func (f Response) callNext(ctx context.Context, x *Exchange, next Handler) (err error) {
	defer func() {
		if telemetry.LogPanic(f.Log, recover(), "request", x.ID, "attempts", x.Attempts) {
			err = panicFailure(x)
		}
	}()
	return next(ctx, x)
}

// panicFailure returns the error of a request whose handler has panicked.
func panicFailure(x *Exchange) error {
	if x.Begun {
		x.AbortReason = reasonPanic
		return ErrAborted
	}
	failure := refuse(http.StatusServiceUnavailable, reasonPanic, "the entry failed before it sent the request to an upstream")
	failure.RetryAfter = time.Second
	if x.Attempts > 0 {
		failure.Status, failure.Outcome, failure.RetryAfter = http.StatusBadGateway, message.OutcomeUnknown, 0
		failure.Message = "the entry failed, and it is not known whether the request ran"
	}
	return failure
}
