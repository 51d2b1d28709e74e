package dispatch

import (
	"sync"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// callRegistry maps attempts to their calls, so that arriving messages reach them.
type callRegistry struct {
	// mu guards calls.
	mu    sync.Mutex
	calls map[message.Attempt]*call
}

func newCallRegistry() *callRegistry { return &callRegistry{calls: make(map[message.Attempt]*call)} }

func (r *callRegistry) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.attempt] = c
}

func (r *callRegistry) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c.attempt)
}

// deliver passes m to its call. It returns false when no call is waiting for m, or m came from a node other than the call's
// target. It does not block.
func (r *callRegistry) deliver(conn *link.Conn, m message.Message) bool {
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
	c.handleMessage(m)
	return true
}

// attemptOf returns the attempt of a message that is part of a response, and false for other messages.
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
