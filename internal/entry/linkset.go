package entry

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// openLink is a link and the node ID of the side that dialled it.
type openLink struct {
	conn     *link.Conn
	dialerID string
}

// linkSet holds one open link per node.
//
// Of two links to the same process, the one that was dialled by the lower node ID is kept, and of two with the same dialler the
// newer one, so that both sides reach the same decision. A link to a newer incarnation of a node replaces one to an older
// incarnation. A link that has missed a heartbeat is replaced by any other, because the peer may already have dropped it.
type linkSet struct {
	selfID string
	// staleAfter is the duration of silence after which a link counts as having missed a heartbeat: 1.5 heartbeat intervals.
	staleAfter time.Duration
	// mu guards open.
	mu   sync.Mutex
	open map[string]openLink
}

// newLinkSet returns an empty set for the node selfID. heartbeat is the heartbeat interval; link.DefaultHeartbeatInterval if it is
// not positive.
func newLinkSet(selfID string, heartbeat time.Duration) *linkSet {
	if heartbeat <= 0 {
		heartbeat = link.DefaultHeartbeatInterval
	}
	return &linkSet{selfID: selfID, staleAfter: heartbeat * 3 / 2, open: make(map[string]openLink)}
}

// admit makes conn the link of its node and closes the link that it replaces. dialled reports whether this node dialled conn. It
// returns false when the existing link is kept instead.
func (l *linkSet) admit(conn *link.Conn, dialled bool) bool {
	peer := conn.Peer()
	next := openLink{conn: conn, dialerID: peer.NodeID}
	if dialled {
		next.dialerID = l.selfID
	}
	l.mu.Lock()
	previous, ok := l.open[peer.NodeID]
	if ok && previous.conn.Err() == nil && previous.conn.SilentFor() < l.staleAfter && !replaces(next, previous) {
		l.mu.Unlock()
		return false
	}
	l.open[peer.NodeID] = next
	l.mu.Unlock()
	if ok {
		previous.conn.Close()
	}
	return true
}

// replaces reports whether next replaces previous: it leads to a newer incarnation of the node, or to the same one and its dialler
// has the lower or the same node ID.
func replaces(next, previous openLink) bool {
	if a, b := next.conn.Peer().Incarnation, previous.conn.Peer().Incarnation; a != b {
		return a > b
	}
	return next.dialerID <= previous.dialerID
}

// remove removes a closed link, unless another one has replaced it.
func (l *linkSet) remove(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[conn.Peer().NodeID].conn == conn {
		delete(l.open, conn.Peer().NodeID)
	}
}

// isCurrent reports whether conn is the link that the set holds for its node.
func (l *linkSet) isCurrent(conn *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[conn.Peer().NodeID].conn == conn
}

// find returns the open link to the node id, or else to an entry that advertises address, or nil.
func (l *linkSet) find(id, address string) *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if candidate, ok := l.open[id]; ok && candidate.conn.Err() == nil {
		return candidate.conn
	}
	for _, candidate := range l.open {
		if candidate.conn.Peer().Address == address && candidate.conn.Peer().Role == message.RoleEntry && candidate.conn.Err() == nil {
			return candidate.conn
		}
	}
	return nil
}

// byRole returns the links to nodes with the given role, or all links if role is empty.
func (l *linkSet) byRole(role message.Role) []*link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*link.Conn, 0, len(l.open))
	for _, candidate := range l.open {
		if role == "" || candidate.conn.Peer().Role == role {
			conns = append(conns, candidate.conn)
		}
	}
	return conns
}

// notifyStatus sends a heartbeat on every link immediately.
func (l *linkSet) notifyStatus() {
	for _, conn := range l.byRole("") {
		conn.NotifyStatus()
	}
}

// closeAll closes all links.
func (l *linkSet) closeAll() {
	for _, conn := range l.byRole("") {
		conn.Close()
	}
}
