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
	// DefaultBodyTimeout bounds the time in which a caller has to send a whole body.
	DefaultBodyTimeout = 10 * time.Second
	// headerLineOverhead is ": " and the line end.
	headerLineOverhead = 4
)

// SizeLimit bounds the header and reads the body whole, so that a truncated request is never run.
type SizeLimit struct {
	// BodyTimeout bounds the reading of a body. Default DefaultBodyTimeout.
	BodyTimeout time.Duration
}

// Apply implements Filter.
func (f SizeLimit) Apply(ctx context.Context, x *Exchange, next Handler) error {
	limits := x.Active.Config.Limits
	if headerBytes(x.Request) > orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes) {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the request header exceeds the limit")
	}
	if err := f.readBody(x, limits); err != nil {
		// The rest of the body is not read, so the connection cannot serve another request.
		x.Writer.Header().Set("Connection", "close")
		return err
	}
	return next(ctx, x)
}

func (f SizeLimit) readBody(x *Exchange, limits config.Limits) error {
	limit := orDefault(limits.MaxBodyBytes, defaultMaxBodyBytes)
	if x.Request.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the request body exceeds the limit")
	}
	control := http.NewResponseController(x.Writer)
	_ = control.SetReadDeadline(time.Now().Add(orDefault(f.BodyTimeout, DefaultBodyTimeout))) // Test recorders have none.
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.Body = body
		return nil
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the request body exceeds the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "body-timeout", "the request body did not arrive in time")
	default:
		return refuse(http.StatusBadRequest, "body-truncated", "the request body could not be read whole")
	}
}

func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineOverhead
		}
	}
	return size
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
