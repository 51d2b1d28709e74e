package filter

import "context"

// Dispatcher runs an exchange on an upstream and writes the answer.
type Dispatcher interface {
	Dispatch(ctx context.Context, x *Exchange) error
}

// Forward ends the chain: it hands the request to the dispatcher.
type Forward struct {
	Dispatcher Dispatcher
}

// Apply implements Filter. next is not called.
func (f Forward) Apply(ctx context.Context, x *Exchange, _ Handler) error {
	return f.Dispatcher.Dispatch(ctx, x)
}
