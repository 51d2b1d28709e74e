package config

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrStaleRevision means that an envelope is not newer than the one in force.
var ErrStaleRevision = errors.New("config: revision is not newer than the one in force")

// Active is a configuration in force. It is immutable.
type Active struct {
	Envelope Envelope
	Config   *Config
}

// Holder keeps the configuration in force on a node.
//
// Invariant: the revision in force never decreases.
type Holder struct {
	// mu guards active and subscribers.
	mu          sync.RWMutex
	active      *Active
	subscribers map[chan struct{}]struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{subscribers: make(map[chan struct{}]struct{})}
}

// Current returns the configuration in force, or nil when there is none yet.
func (h *Holder) Current() *Active {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.active
}

// Revision returns the revision in force, or 0.
func (h *Holder) Revision() uint64 {
	if active := h.Current(); active != nil {
		return active.Envelope.Revision
	}
	return 0
}

// Apply puts next in force. It returns ErrOlder when next is not newer.
func (h *Holder) Apply(next *Active) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active != nil && next.Envelope.Revision <= h.active.Envelope.Revision {
		return errors.Wrapf(ErrStaleRevision, "have %d, got %d", h.active.Envelope.Revision, next.Envelope.Revision)
	}
	h.put(next)
	return nil
}

// Replace puts next in force in place of another document with the same revision, which only the store may overrule. It
// returns ErrOlder when next has another revision than the one in force.
func (h *Holder) Replace(next *Active) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active == nil || next.Envelope.Revision != h.active.Envelope.Revision {
		return errors.Wrapf(ErrStaleRevision, "revision %d cannot be replaced", next.Envelope.Revision)
	}
	h.put(next)
	return nil
}

// put stores next and notifies subscribers. The caller holds mu.
func (h *Holder) put(next *Active) {
	h.active = next
	for subscriber := range h.subscribers {
		select {
		case subscriber <- struct{}{}:
		default: // The subscriber has a pending notification and will read the newest configuration.
		}
	}
}

// Subscribe returns a channel that receives after each change, and a function that ends the subscription.
// Notifications coalesce: the receiver reads Current.
func (h *Holder) Subscribe() (<-chan struct{}, func()) {
	notify := make(chan struct{}, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers[notify] = struct{}{}
	return notify, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, notify)
	}
}
