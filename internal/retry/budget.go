// Package retry limits retries and combines the outcomes of the attempts of a request that is sent to agents. On the direct request
// path, package relay takes its place.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the budget and of the backoff.
const (
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts = 3
	// budgetRatio is the number of tokens that each request adds to the budget. A retry takes one token.
	budgetRatio = 0.1
	// maxBudgetTokens bounds the tokens that can accumulate while there are few retries.
	maxBudgetTokens = 100
	// reserveTokens is the size of a reserve that allows an entry with little traffic to retry. It refills at
	// reserveTokensPerSecond.
	reserveTokens          = 20
	reserveTokensPerSecond = 2
	// The backoff doubles with each attempt, from twice baseBackoff after the first, up to maxBackoff.
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond
)

// Budget limits the retries of one entry to a tenth of its requests plus a small reserve, so that retries do not amplify an
// overload. It is safe for concurrent use.
type Budget struct {
	now func() time.Time
	// mu guards the fields below.
	mu         sync.Mutex
	tokens     float64
	reserve    float64
	refilledAt time.Time
}

// NewBudget returns a budget with a full reserve. now is the clock; nil selects time.Now.
func NewBudget(now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{now: now, reserve: reserveTokens, refilledAt: now()}
}

// RecordRequest records a new request, which adds to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, maxBudgetTokens)
}

// Spend takes one retry from the budget, or from the reserve once the budget is used up. It reports whether there
// was one to take.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	now := b.now()
	b.reserve = min(b.reserve+now.Sub(b.refilledAt).Seconds()*reserveTokensPerSecond, reserveTokens)
	b.refilledAt = now
	if b.reserve < 1 {
		return false
	}
	b.reserve--
	return true
}

// Backoff returns the delay between the attempt with the given number, counted from 1, and the next one. Jitter takes off up to half
// of it.
func Backoff(number int) time.Duration {
	limit := min(baseBackoff<<min(number, 10), maxBackoff) // The bound on the shift prevents an overflow.
	return limit/2 + rand.N(limit/2)
}
