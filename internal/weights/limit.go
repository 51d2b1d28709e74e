package weights

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// burstSeconds is the capacity of the token buckets in seconds of traffic. 50 ms keep the rate smooth without a wake-up for
	// every packet. minBurstBytes is the smallest capacity.
	burstSeconds  = 0.05
	minBurstBytes = 32 << 10
	// yieldFractionPerRequest is the fraction of the configured rate by which each live request in progress reduces the rate.
	yieldFractionPerRequest = 0.01
)

// limiter bounds the weight traffic in one direction. Its rate falls with the number of live requests in progress.
type limiter struct {
	// maxRate is the configured rate in bytes per second. minFraction is the smallest fraction of it to which live requests reduce
	// the rate.
	maxRate     float64
	minFraction float64
	// inFlight returns the number of live requests in progress; nil means none.
	inFlight func() int
	// bucket is nil when the rate is unlimited.
	bucket *rate.Limiter
}

// newLimiter returns a limiter; bytesPerSecond 0 is unlimited.
func newLimiter(bytesPerSecond int64, minFraction float64, inFlight func() int) *limiter {
	l := &limiter{maxRate: float64(bytesPerSecond), minFraction: minFraction, inFlight: inFlight}
	if bytesPerSecond > 0 {
		l.bucket = rate.NewLimiter(rate.Limit(l.maxRate), max(minBurstBytes, int(l.maxRate*burstSeconds)))
	}
	return l
}

// currentRate returns the rate at the current number of live requests, in bytes per second.
func (l *limiter) currentRate() float64 {
	if l.inFlight == nil {
		return l.maxRate
	}
	return l.maxRate * max(l.minFraction, 1-yieldFractionPerRequest*float64(l.inFlight()))
}

// wait blocks until n bytes are within the rate. It returns an error when ctx ends first.
func (l *limiter) wait(ctx context.Context, n int) error {
	if l.bucket == nil {
		return ctx.Err()
	}
	l.bucket.SetLimit(rate.Limit(l.currentRate()))
	for n > 0 {
		batch := min(n, l.bucket.Burst())
		if err := l.bucket.WaitN(ctx, batch); err != nil {
			return err
		}
		n -= batch
	}
	return nil
}
