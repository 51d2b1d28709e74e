// Package membudget bounds the bytes that an entry holds for its callers: the bodies of their requests, the parts of responses that are
// buffered, and what the kernel holds of responses that callers have not read yet. It does no input or output of its own.
package membudget

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that bytes do not fit into the budget.
var ErrExhausted = errors.New("membudget: memory budget exhausted")

// Budget is a number of bytes that reservations share. It is safe for concurrent use. The budget nil has no limit and counts nothing.
type Budget struct {
	limit int64

	// mu guards the fields below.
	mu sync.Mutex
	// reserved is the sum of all reservations, unread as in SetUnread.
	reserved, unread int64
	// refusals counts the reservations that were not granted.
	refusals int64
}

// Usage is the state of a budget, in bytes.
type Usage struct {
	Limit int64
	// Reserved is the sum of all reservations, Unread what the kernel held when it was last measured.
	Reserved, Unread int64
	// Refusals counts the reservations that were not granted.
	Refusals int64
}

// New returns a budget of limit bytes, nil if limit is not positive.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Reserved: b.reserved, Unread: b.unread, Refusals: b.refusals}
}

// SetUnread sets the number of bytes that the kernel holds for callers, which is measured from time to time. They count towards the budget:
// no reservation is granted beyond what they leave.
func (b *Budget) SetUnread(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread = n
}

// Exhausted reports whether nothing is left of the budget.
func (b *Budget) Exhausted() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved+b.unread >= b.limit
}

// acquire adds n bytes to the reservations if they fit.
func (b *Budget) acquire(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.reserved-b.unread {
		b.refusals++
		return false
	}
	b.reserved += n
	return true
}

// release removes n bytes from the reservations.
func (b *Budget) release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
}
