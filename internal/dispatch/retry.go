package dispatch

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/retry"
)

// mayRetry decides on another attempt and waits for the backoff.
func (d *Dispatcher) mayRetry(ctx context.Context, x *filter.Exchange, result Result, number int) bool {
	if number >= retry.MaxAttempts || !repeatable(x, result) {
		return false
	}
	delay := retry.Backoff(number)
	if time.Until(x.Deadline) <= delay || !d.budget.Spend() {
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

// repeatable tells whether the request may be sent again after result.
func repeatable(x *filter.Exchange, result Result) bool {
	switch result.Reason {
	case message.ReasonKeyConflict, message.ReasonKeyPending, message.ReasonStoreDown, message.ReasonDeadline,
		message.ReasonQuarantined, message.ReasonCancelled, message.ReasonTimeout:
		return false // Another upstream would answer the same, or too late.
	}
	// Only a peer that has the attempt says not-run of it, and it never starts that attempt afterwards.
	return x.Route.Idempotent || result.Outcome == message.OutcomeNotRun
}
