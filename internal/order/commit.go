package order

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// leasePeriod is how long new claims use the same store lease before another one is granted. leaseTTL is 24 h longer, so
	// that a claim made at the end of the period is still kept for 24 h.
	leasePeriod = time.Hour
	leaseTTL    = 25 * time.Hour
	// maxRetryIntervals limits the backoff between failed commits, as a multiple of Config.CommitInterval: 500 ms by default.
	maxRetryIntervals = 25
)

// Run commits pending claims, responses and releases in groups until ctx ends. Claims that are then still pending are abandoned.
func (l *Ledger) Run(ctx context.Context) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = l.cfg.CommitInterval
	retryBackoff.MaxInterval = maxRetryIntervals * l.cfg.CommitInterval
	defer l.abandonPendingClaims()
	checkTicker := time.NewTicker(checkInterval)
	defer checkTicker.Stop()
	var retryTimer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-retryTimer:
		case <-checkTicker.C:
			l.releaseAgain()
			l.checkStore(ctx)
		}
		claims, writes := l.takeGroup()
		retryTimer = nil
		if len(claims)+len(writes) == 0 && !l.storeWasRestored() {
			continue
		}
		err := l.commitAndPutBack(ctx, claims, writes)
		l.notifyProgress()
		if err == nil {
			retryBackoff.Reset()
		}
		if !sleep(ctx, l.cfg.CommitInterval) {
			return
		}
		if err != nil && (l.hasPending() || l.storeWasRestored()) {
			retryTimer = time.After(retryBackoff.NextBackOff())
			continue
		}
		l.wakeCommitter()
	}
}

// commitAndPutBack commits a group, if it has any operations, and puts back the claims that a restored store may have lost.
func (l *Ledger) commitAndPutBack(ctx context.Context, claims, writes []*Claim) error {
	l.calledStore = true
	if len(claims)+len(writes) > 0 {
		if err := l.commitGroup(ctx, claims, writes); err != nil {
			return err
		}
	}
	return l.putBackClaims(ctx)
}

// sleep waits for d and reports whether it passed before ctx ended.
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

// abandonPendingClaims refuses the claims that are still pending when Run ends, so that Begin returns ErrUnavailable for them.
func (l *Ledger) abandonPendingClaims() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.pendingClaims {
		l.removeClaim(c)
		close(c.resolved)
	}
	l.pendingClaims = nil
}

// hasPending reports whether any claim, response or release waits to be committed.
func (l *Ledger) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pendingClaims)+len(l.pendingWrites) > 0
}

// notifyProgress wakes the callers of Flush.
func (l *Ledger) notifyProgress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.progress)
	l.progress = make(chan struct{})
}
