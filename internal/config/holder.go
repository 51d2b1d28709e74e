package config

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrStaleRevision means that an envelope cannot supersede the configuration in force because of its revision.
var ErrStaleRevision = errors.New("config: revision cannot supersede the one in force")

// Active is a configuration that can be put in force: an envelope whose digest was checked, and its parsed text. It is immutable.
type Active struct {
	Envelope Envelope
	Config   *Config
}

// Holder holds the configuration in force on a node. It is safe for concurrent use.
//
// Invariant: the revision in force never decreases.
type Holder struct {
	// mu guards active and subscribers.
	mu          sync.RWMutex
	active      *Active
	subscribers map[chan struct{}]struct{}
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{subscribers: make(map[chan struct{}]struct{})}
}

// Current returns the configuration in force, or nil when there is none yet.
func (h *Holder) Current() *Active {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.active
}

// Revision returns the revision in force, or 0 when there is none yet.
func (h *Holder) Revision() uint64 {
	if active := h.Current(); active != nil {
		return active.Envelope.Revision
	}
	return 0
}

// Apply puts next in force. Its error matches ErrStaleRevision when next is not newer than the configuration in force.
func (h *Holder) Apply(next *Active) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active != nil && next.Envelope.Revision <= h.active.Envelope.Revision {
		return errors.Wrapf(ErrStaleRevision, "revision %d is in force, got revision %d",
			h.active.Envelope.Revision, next.Envelope.Revision)
	}
	h.set(next)
	return nil
}

// Replace puts next in force in place of another document with the same revision. Only the store decides which of two such
// documents is valid, so next must come from the store. The error matches ErrStaleRevision when next has another revision than
// the one in force.
func (h *Holder) Replace(next *Active) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active == nil || next.Envelope.Revision != h.active.Envelope.Revision {
		return errors.Wrapf(ErrStaleRevision, "revision %d is not the revision in force and cannot replace its document",
			next.Envelope.Revision)
	}
	h.set(next)
	return nil
}

// set stores next and notifies subscribers. The caller must hold mu.
func (h *Holder) set(next *Active) {
	h.active = next
	for subscriber := range h.subscribers {
		select {
		case subscriber <- struct{}{}:
		default: // A notification is already pending; the subscriber will read the newest configuration.
		}
	}
}

// Subscribe returns a channel that is notified after each change, and a function that ends the subscription. Notifications
// coalesce, so the receiver reads the configuration with Current.
func (h *Holder) Subscribe() (<-chan struct{}, func()) {
	notifications := make(chan struct{}, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers[notifications] = struct{}{}
	return notifications, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, notifications)
	}
}
