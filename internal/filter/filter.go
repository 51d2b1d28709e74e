// Package filter processes a caller's request in a chain of filters, one per file: request ID, response, authentication, size
// limits, classification, quarantine, caller limits and forwarding.
package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Exchange holds a request, its response writer and what the filters of the chain have derived from the request. It is used by one
// goroutine at a time.
type Exchange struct {
	// ID is the request ID.
	ID string
	// Start is the time at which the entry began to process the request.
	Start   time.Time
	Writer  http.ResponseWriter
	Request *http.Request
	// Active is the configuration used for the whole request, even if a newer one comes into force in the meantime.
	Active *config.Active

	// Caller is set by Authentication, Route and Pool by Classify.
	Caller config.Caller
	Route  config.Route
	Pool   config.Pool
	// Priority is the index of the priority in the configuration, 0 being the most urgent; PriorityName is its name.
	Priority     int
	PriorityName string
	// Body is the complete request body. It is set by SizeLimit.
	Body []byte
	// Stream is set when the caller requested a streamed response.
	Stream bool
	// Cost is the estimated work in tokens, prompt and output together; 1 for services.
	Cost int
	// PromptPrefix is the start of the prompt, by which requests are routed to upstreams; empty for pools of services.
	PromptPrefix []byte
	// IdempotencyKey is the Idempotency-Key of a request that must not be executed twice; empty on idempotent routes.
	IdempotencyKey string
	// Fingerprint identifies equal requests of a caller in the quarantine. Suspect is set when such a request has crashed one
	// upstream.
	Fingerprint string
	Suspect     bool
	// Deadline is when the response must be complete. FirstByteTarget is when its first byte is due; zero if the priority has no
	// target.
	Deadline        time.Time
	FirstByteTarget time.Time

	// Attempts is the number of attempts for which the request was sent to an upstream.
	Attempts int
	// LastReceived is when a part of a response last arrived from an upstream; zero if none has.
	LastReceived time.Time
	// Begun is set when the first part of the response is sent to the caller. Until then it may be replaced by another one.
	Begun bool
	// AbortReason is the reason for ErrAborted.
	AbortReason string
}

// Handler handles an exchange. It returns nil when the response was written completely, a *Failure when nothing was written,
// ErrCallerGone or ErrAborted. The filter Response writes the error response of a *Failure and returns the *Failure as well.
type Handler func(ctx context.Context, x *Exchange) error

// Filter is one stage of a chain.
type Filter interface {
	// Apply processes x and calls next, unless the filter ends the request itself.
	Apply(ctx context.Context, x *Exchange, next Handler) error
}

// Chain returns a Handler that applies filters in the given order.
func Chain(filters ...Filter) Handler {
	handler := Handler(func(context.Context, *Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], handler
		handler = func(ctx context.Context, x *Exchange) error { return f.Apply(ctx, x, next) }
	}
	return handler
}
