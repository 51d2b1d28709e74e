package entry

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// openLink is a link and who dialled it.
type openLink struct {
	conn   *link.Conn
	dialer string
}

// links keeps one open link per node.
//
// Invariant: of two links to the same process, the one dialled by the lower node ID is kept, and of two with the same dialler
// the newer one, so that both sides decide alike. A link that has missed a heartbeat is replaced by any other: its node may
// already have given it up.
type links struct {
	self string
	// stale is the silence after which a link has missed a heartbeat.
	stale time.Duration
	// mu guards open.
	mu   sync.Mutex
	open map[string]openLink
}

func newLinks(self string, heartbeat time.Duration) *links {
	if heartbeat <= 0 {
		heartbeat = link.DefaultHeartbeatInterval
	}
	return &links{self: self, stale: heartbeat * 3 / 2, open: make(map[string]openLink)}
}

// admit makes conn the link of its node and closes the one it replaces. It returns false when another link is kept.
func (l *links) admit(conn *link.Conn, dialled bool) bool {
	peer := conn.Peer()
	next := openLink{conn: conn, dialer: peer.NodeID}
	if dialled {
		next.dialer = l.self
	}
	l.mu.Lock()
	old, ok := l.open[peer.NodeID]
	if ok && old.conn.Err() == nil && old.conn.SilentFor() < l.stale && !replaces(next, old) {
		l.mu.Unlock()
		return false
	}
	l.open[peer.NodeID] = next
	l.mu.Unlock()
	if ok {
		old.conn.Close()
	}
	return true
}

func replaces(next, old openLink) bool {
	if a, b := next.conn.Peer().Incarnation, old.conn.Peer().Incarnation; a != b {
		return a > b
	}
	return next.dialer <= old.dialer
}

// remove forgets a closed link unless another one has replaced it.
func (l *links) remove(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[conn.Peer().NodeID].conn == conn {
		delete(l.open, conn.Peer().NodeID)
	}
}

// current tells whether conn is the link of its node.
func (l *links) current(conn *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[conn.Peer().NodeID].conn == conn
}

// find returns the open link to a node, or to the node that advertises address.
func (l *links) find(id, address string) *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.open[id]; ok && o.conn.Err() == nil {
		return o.conn
	}
	for _, o := range l.open {
		if o.conn.Peer().Address == address && o.conn.Peer().Role == message.RoleEntry && o.conn.Err() == nil {
			return o.conn
		}
	}
	return nil
}

// all returns the open links of a role; the empty role selects all.
func (l *links) all(role message.Role) []*link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*link.Conn, 0, len(l.open))
	for _, o := range l.open {
		if role == "" || o.conn.Peer().Role == role {
			out = append(out, o.conn)
		}
	}
	return out
}

// notifyStatus sends a heartbeat on every link at once.
func (l *links) notifyStatus() {
	for _, conn := range l.all("") {
		conn.NotifyStatus()
	}
}

func (l *links) closeAll() {
	for _, conn := range l.all("") {
		conn.Close()
	}
}
