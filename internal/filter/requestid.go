package filter

import (
	"context"

	"github.com/google/uuid"
)

// RequestID gives every request an ID that is unique across entries and returns it to the caller.
type RequestID struct{}

// Apply implements Filter.
func (RequestID) Apply(ctx context.Context, x *Exchange, next Handler) error {
	x.ID = uuid.NewString()
	x.Writer.Header().Set(HeaderRequestID, x.ID)
	return next(ctx, x)
}
