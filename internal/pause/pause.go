// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever is first. A d that is not positive does not wait.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
