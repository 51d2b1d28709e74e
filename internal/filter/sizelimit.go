package filter

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
)

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxHeaderBytes = 16 << 10
	// DefaultBodyTimeout is the time in which a caller has to send the complete body.
	DefaultBodyTimeout = 10 * time.Second
	// shutdownRetryAfter is the Retry-After of requests that a shutdown ends; the load balancer has left out this entry by then.
	shutdownRetryAfter = time.Second
	// headerLineOverhead is the size of ": " and CRLF in a header line.
	headerLineOverhead = 4
)

// SizeLimit limits the size of the header and of the body, and reads the complete body before the next filter, so that a truncated
// request is never executed.
type SizeLimit struct {
	// BodyTimeout is the time in which the complete body has to arrive. Default DefaultBodyTimeout.
	BodyTimeout time.Duration
}

// Apply implements Filter.
func (f SizeLimit) Apply(ctx context.Context, x *Exchange, next Handler) error {
	limits := x.Active.Config.Limits
	if headerBytes(x.Request) > orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes) {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the request header exceeds the limit")
	}
	if err := f.readBody(ctx, x, limits); err != nil {
		// The rest of the body is not read, so the connection cannot serve another request.
		x.Writer.Header().Set("Connection", "close")
		return err
	}
	return next(ctx, x)
}

// readBody reads the complete body within the limits and sets x.Body. The end of ctx ends the read, so that a request whose body is still
// arriving when the entry shuts down is answered.
func (f SizeLimit) readBody(ctx context.Context, x *Exchange, limits config.Limits) error {
	limit := orDefault(limits.MaxBodyBytes, defaultMaxBodyBytes)
	if x.Request.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the request body exceeds the limit")
	}
	controller := http.NewResponseController(x.Writer)
	// The error is ignored: a writer that does not support deadlines, such as httptest.ResponseRecorder, is used without one.
	_ = controller.SetReadDeadline(time.Now().Add(orDefault(f.BodyTimeout, DefaultBodyTimeout)))
	stop := interruptReads(ctx, controller)
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, limit))
	stop()
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.Body = body
		return nil
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the request body exceeds the limit")
	case errors.Is(err, os.ErrDeadlineExceeded) && errors.Is(context.Cause(ctx), ErrShuttingDown):
		failure := refuse(http.StatusServiceUnavailable, "shutting-down", "the entry shut down before the request body had arrived")
		failure.RetryAfter = shutdownRetryAfter
		return failure
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "body-timeout", "the request body did not arrive in time")
	default:
		return refuse(http.StatusBadRequest, "body-truncated", "the request body could not be read whole")
	}
}

// interruptReads ends reads from the connection when ctx ends, until stop is called.
func interruptReads(ctx context.Context, controller *http.ResponseController) (stop func()) {
	interrupted := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = controller.SetReadDeadline(time.Now())
	})
	return func() {
		if !unregister() {
			<-interrupted // Otherwise the deadline could be set after stop has returned.
		}
	}
}

// headerBytes returns the approximate size of the request line, the host and the header in bytes.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineOverhead
		}
	}
	return size
}

// orDefault returns value if it is positive, or else fallback.
func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
