package dispatch

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/retry"
)

// awaitRetry reports whether another attempt may be made. If so, it has spent retry budget and waited for the backoff.
func (d *Dispatcher) awaitRetry(ctx context.Context, x *filter.Exchange, result Result, number int) bool {
	if number >= retry.MaxAttempts || !isRetryable(x, result) {
		return false
	}
	delay := retry.Backoff(number)
	if time.Until(x.Deadline) <= delay || !d.retryBudget.Spend() {
		return false
	}
	if d.events.Retry != nil {
		d.events.Retry(result.Reason)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isRetryable reports whether the request may be sent again after result.
func isRetryable(x *filter.Exchange, result Result) bool {
	switch result.Reason {
	case message.ReasonKeyConflict, message.ReasonKeyPending, message.ReasonStoreDown, message.ReasonDeadline,
		message.ReasonQuarantined, message.ReasonCancelled, message.ReasonTimeout:
		return false // Another upstream would give the same response, or respond too late.
	}
	// An attempt with the outcome not-run was never sent, or the peer has refused or revoked it and never starts it afterwards.
	return x.Route.Idempotent || result.Outcome == message.OutcomeNotRun
}
