package filter

import (
	"context"

	"github.com/google/uuid"
)

// RequestID assigns each request a random UUID, which is unique across entries, and returns it in the response header.
type RequestID struct{}

// Apply implements Filter.
func (RequestID) Apply(ctx context.Context, x *Exchange, next Handler) error {
	x.ID = uuid.NewString()
	x.Writer.Header().Set(HeaderRequestID, x.ID)
	return next(ctx, x)
}
