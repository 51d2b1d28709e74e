// Package retry bounds retries and keeps the outcomes of a request's attempts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the budget and of the backoff.
const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 3
	// budgetRatio is the number of retries that each request adds to the budget.
	budgetRatio = 0.1
	// maxBudgetTokens bounds what a quiet period can save up.
	maxBudgetTokens = 100
	// reserveTokens lets an entry with little traffic retry at all; it is refilled by reserveTokensPerSecond.
	reserveTokens          = 20
	reserveTokensPerSecond = 2
	baseBackoff            = 10 * time.Millisecond
	maxBackoff             = 250 * time.Millisecond
)

// Budget bounds the retries of one entry to a tenth of its requests plus a small reserve, so that retries do not multiply an
// overload. It is safe for concurrent use.
type Budget struct {
	now func() time.Time
	// mu guards the fields below.
	mu      sync.Mutex
	earned  float64
	reserve float64
	refill  time.Time
}

// NewBudget returns a budget with a full reserve. now is the clock; nil selects time.Now.
func NewBudget(now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{now: now, reserve: reserveTokens, refill: now()}
}

// RecordRequest records a new request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+budgetRatio, maxBudgetTokens)
}

// Spend takes one retry from the budget and returns false when it is exhausted.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	now := b.now()
	b.reserve = min(b.reserve+now.Sub(b.refill).Seconds()*reserveTokensPerSecond, reserveTokens)
	b.refill = now
	if b.reserve < 1 {
		return false
	}
	b.reserve--
	return true
}

// Backoff returns the jittered delay before the attempt that follows attempt number.
func Backoff(number int) time.Duration {
	limit := min(baseBackoff<<min(number, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}
