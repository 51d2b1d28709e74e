package dispatch

import (
	"sync"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// registry finds the call of an arriving message by its attempt.
type registry struct {
	// mu guards calls.
	mu    sync.Mutex
	calls map[message.Attempt]*call
}

func newRegistry() *registry { return &registry{calls: make(map[message.Attempt]*call)} }

func (r *registry) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.attempt] = c
}

func (r *registry) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c.attempt)
}

// deliver hands m to its call and returns false when nobody waits for it. It does not block.
func (r *registry) deliver(conn *link.Conn, m message.Message) bool {
	attempt, ok := attemptOf(m)
	if !ok {
		return false
	}
	r.mu.Lock()
	c := r.calls[attempt]
	r.mu.Unlock()
	if c == nil || c.target.NodeID != conn.Peer().NodeID {
		return false
	}
	c.accept(m)
	return true
}

func attemptOf(m message.Message) (message.Attempt, bool) {
	switch m := m.(type) {
	case *message.Reject:
		return m.Attempt, true
	case *message.ResponseHead:
		return m.Attempt, true
	case *message.ResponseBody:
		return m.Attempt, true
	case *message.ResponseEnd:
		return m.Attempt, true
	case *message.QueryReply:
		return m.Attempt, true
	default:
		return message.Attempt{}, false
	}
}
