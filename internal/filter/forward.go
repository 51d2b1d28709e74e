package filter

import "context"

// Dispatcher sends a request to an upstream and writes the response to the caller.
type Dispatcher interface {
	// Dispatch returns once the response is complete or the request has failed. Its errors are those of a Handler.
	Dispatch(ctx context.Context, x *Exchange) error
}

// Forward is the last filter of the chain: it passes the request to the dispatcher.
type Forward struct {
	Dispatcher Dispatcher
}

// Apply implements Filter. It does not call the next handler.
func (f Forward) Apply(ctx context.Context, x *Exchange, _ Handler) error {
	return f.Dispatcher.Dispatch(ctx, x)
}
