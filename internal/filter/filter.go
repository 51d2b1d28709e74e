// Package filter handles a caller's request in a chain of filters, each with its own file: request ID, response, caller
// identity, size limits, classification, quarantine, caller limits and forwarding.
package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
)

// Exchange is one request on its way through the chain. It is used by one goroutine at a time.
type Exchange struct {
	ID      string
	Start   time.Time
	Writer  http.ResponseWriter
	Request *http.Request
	// Active is the configuration that applies to the whole request, even when another one comes into force meanwhile.
	Active *config.Active

	Caller config.Caller
	Route  config.Route
	Pool   config.Pool
	// Priority is the index in the configuration, PriorityName its name.
	Priority     int
	PriorityName string
	Body         []byte
	// Stream tells that the caller asked for a streamed answer.
	Stream bool
	// Cost estimates the work in tokens.
	Cost int
	// PromptPrefix is the leading part of the prompt, empty for services.
	PromptPrefix []byte
	OrderKey     string
	Fingerprint  string
	Suspect      bool
	// Deadline bounds the whole answer, Target is when its first byte is due.
	Deadline        time.Time
	FirstByteTarget time.Time
}

// Handler handles an exchange. It returns nil when the answer was written whole, a *Failure when nothing was written,
// ErrCallerGone or ErrAborted.
type Handler func(ctx context.Context, x *Exchange) error

// Filter is one step of the chain.
type Filter interface {
	// Apply handles x and calls next unless the request ends here.
	Apply(ctx context.Context, x *Exchange, next Handler) error
}

// Chain returns a handler that applies filters in order.
func Chain(filters ...Filter) Handler {
	handler := Handler(func(context.Context, *Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], handler
		handler = func(ctx context.Context, x *Exchange) error { return f.Apply(ctx, x, next) }
	}
	return handler
}
