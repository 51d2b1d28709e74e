package relay

import "sync/atomic"

// beginning decides once whether something begins or is ended before that, so that nothing is ended at the moment at which it begins. The
// zero value is undecided.
type beginning struct{ state atomic.Uint32 }

// States of a beginning.
const (
	undecided uint32 = iota
	begun
	prevented
)

// begin decides for the beginning. It returns false if prevent came first.
func (b *beginning) begin() bool { return b.state.CompareAndSwap(undecided, begun) || b.hasBegun() }

// prevent decides against the beginning. It returns false if begin came first.
func (b *beginning) prevent() bool {
	return b.state.CompareAndSwap(undecided, prevented) || b.state.Load() == prevented
}

// hasBegun reports whether begin came first.
func (b *beginning) hasBegun() bool { return b.state.Load() == begun }
