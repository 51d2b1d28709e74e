package filter

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Response writes failing answers and reports every request's end.
type Response struct {
	Log logr.Logger
	// OnDone is called once per request with the error of the chain. It must not block.
	OnDone func(x *Exchange, err error)
}

// Apply implements Filter.
func (f Response) Apply(ctx context.Context, x *Exchange, next Handler) error {
	err := next(ctx, x)
	var failure *Failure
	if errors.As(err, &failure) {
		if werr := failure.write(x.Writer, x.ID); werr != nil {
			telemetry.Debug(f.Log).Info("failing answer not delivered", "request", x.ID, "cause", werr.Error())
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
