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
	yieldFractionPerRequest = 0.01
)

// limiter bounds weight traffic in one direction and yields to live requests.
type limiter struct {
	maxRate     float64
	minFraction float64
	inFlight    func() int
	bucket      *rate.Limiter
}

// newLimiter returns a limiter; bytesPerSecond 0 is unlimited. floor is the fraction of the rate that is kept under load.
func newLimiter(bytesPerSecond int64, minFraction float64, inFlight func() int) *limiter {
	l := &limiter{maxRate: float64(bytesPerSecond), minFraction: minFraction, inFlight: inFlight}
	if bytesPerSecond > 0 {
		l.bucket = rate.NewLimiter(rate.Limit(l.maxRate), max(minBurstBytes, int(l.maxRate*burstSeconds)))
	}
	return l
}

// current returns the rate that applies now.
func (l *limiter) currentRate() float64 {
	if l.inFlight == nil {
		return l.maxRate
	}
	return l.maxRate * max(l.minFraction, 1-yieldFractionPerRequest*float64(l.inFlight()))
}

// wait takes n bytes.
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
