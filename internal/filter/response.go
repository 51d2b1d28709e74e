package filter

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Response writes error responses, and reports the end of every request to OnDone and the log.
type Response struct {
	Log logr.Logger
	// OnDone, if set, is called once per request with the error that the chain returned. It must not block.
	OnDone func(x *Exchange, err error)
}

// Apply implements Filter.
func (f Response) Apply(ctx context.Context, x *Exchange, next Handler) error {
	err := next(ctx, x)
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
