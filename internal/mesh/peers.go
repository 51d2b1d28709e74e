package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// peer is a node with an open link.
type peer struct {
	conn  *link.Conn
	hello message.Hello
	// dialled is set if this node opened the link.
	dialled bool
}

func isEntry(p *peer) bool { return p.hello.Role == message.RoleEntry }

func isAgent(p *peer) bool { return p.hello.Role == message.RoleAgent }

func (m *Mesh) isLocalEntry(p *peer) bool {
	return isEntry(p) && p.hello.DataCentre == m.cfg.Self.DataCentre
}

func (m *Mesh) isRemoteEntry(p *peer) bool {
	return isEntry(p) && p.hello.DataCentre != m.cfg.Self.DataCentre
}

// only returns a function that selects p.
func only(p *peer) func(*peer) bool {
	return func(other *peer) bool { return other == p }
}

// peers returns the linked nodes for which match returns true, ordered by node ID.
func (m *Mesh) peers(match func(*peer) bool) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peer
	for _, p := range m.links {
		if match(p) {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].hello.NodeID < out[j].hello.NodeID })
	return out
}

// LinkedEntryCount returns the number of entries with an open link.
func (m *Mesh) LinkedEntryCount() int { return len(m.peers(isEntry)) }

// sendTimeout bounds the wait for the full send queue of one link, which delays the other links.
const sendTimeout = 20 * time.Millisecond

// broadcast queues a message on all links for which match returns true. A link whose send queue stays full for sendTimeout is
// closed: it gets the full state when it is re-established.
func (m *Mesh) broadcast(msg message.Message, match func(*peer) bool) {
	for _, p := range m.peers(match) {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		if err := p.conn.Send(ctx, msg); err != nil {
			p.conn.Close()
		}
		cancel()
	}
}
