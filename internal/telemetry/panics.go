package telemetry

import (
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// LogPanic logs the panic of a request handler with its stack and reports whether there was one; recovered is the result of recover. It
// panics again with http.ErrAbortHandler, by which a handler aborts its response.
func LogPanic(log logr.Logger, recovered any, values ...any) bool {
	if recovered == nil {
		return false
	}
	if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(recovered)
	}
	values = append(values, "stack", string(debug.Stack()))
	log.Error(errors.Newf("panic: %v", recovered), "request handler panicked", values...)
	return true
}
