package weights

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// burstSeconds sizes the token buckets. 50 ms of traffic keeps the rate smooth without waking up for every packet.
	burstSeconds  = 0.05
	minBurstBytes = 32 << 10
	// yieldPerRequest is the fraction of the rate given up for each live request in progress.
	yieldPerRequest = 0.01
)

// limiter bounds weight traffic in one direction and yields to live requests.
type limiter struct {
	full     float64
	floor    float64
	inFlight func() int
	bucket   *rate.Limiter
}

// newLimiter returns a limiter; bytesPerSecond 0 is unlimited. floor is the fraction of the rate that is kept under load.
func newLimiter(bytesPerSecond int64, floor float64, inFlight func() int) *limiter {
	l := &limiter{full: float64(bytesPerSecond), floor: floor, inFlight: inFlight}
	if bytesPerSecond > 0 {
		l.bucket = rate.NewLimiter(rate.Limit(l.full), max(minBurstBytes, int(l.full*burstSeconds)))
	}
	return l
}

// current returns the rate that applies now.
func (l *limiter) current() float64 {
	if l.inFlight == nil {
		return l.full
	}
	return l.full * max(l.floor, 1-yieldPerRequest*float64(l.inFlight()))
}

// wait takes n bytes.
func (l *limiter) wait(ctx context.Context, n int) error {
	if l.bucket == nil {
		return ctx.Err()
	}
	l.bucket.SetLimit(rate.Limit(l.current()))
	for n > 0 {
		step := min(n, l.bucket.Burst())
		if err := l.bucket.WaitN(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return nil
}
