package order

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// leasePeriod is how long claims share one lease; leaseTTL outlives a claim made at its end by 24 h.
	leasePeriod = time.Hour
	leaseTTL    = 25 * time.Hour
	// maxRetryIntervals bounds the pause between attempts to record answers, in commit intervals: 500 ms by default.
	maxRetryIntervals = 25
)

// Run commits groups until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = l.cfg.CommitInterval
	retry.MaxInterval = maxRetryIntervals * l.cfg.CommitInterval
	defer l.abandon()
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-pause:
		}
		claims, writes := l.take()
		pause = nil
		if len(claims)+len(writes) == 0 {
			continue
		}
		err := l.commit(ctx, claims, writes)
		l.notifyProgress()
		if err == nil {
			retry.Reset()
		}
		if !sleep(ctx, l.cfg.CommitInterval) {
			return
		}
		if err != nil && l.pending() {
			pause = time.After(retry.NextBackOff())
			continue
		}
		l.signal()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// abandon resolves the claims that will not be committed any more.
func (l *Ledger) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.claims {
		l.end(c)
		close(c.resolved)
	}
	l.claims = nil
}

func (l *Ledger) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.claims)+len(l.writes) > 0
}

func (l *Ledger) notifyProgress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.progress)
	l.progress = make(chan struct{})
}
