// Package membership keeps an entry's view of live upstreams and entries.
//
// A node is a member while a link to it is open. The platform's instance list lags behind, so it only serves as an additional sign
// that an instance is leaving.
package membership

import (
	"sort"
	"sync"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Upstream is an immutable copy of what the agent of one upstream announced.
type Upstream struct {
	Node     message.Hello
	Announce message.Announce
	// Conn is the link to the agent.
	Conn *link.Conn
	// ListedLeaving is set when the instance list shows the instance as leaving.
	ListedLeaving bool
	// Revision is the configuration revision in the agent's last heartbeat, and Leaving reports whether that heartbeat said
	// that the agent is shutting down.
	Revision uint64
	Leaving  bool
}

// AcceptsWork reports whether the upstream takes new requests.
func (u Upstream) AcceptsWork() bool {
	return u.Announce.State == message.StateServing && !u.ListedLeaving && !u.Leaving
}

// Entry is another entry with an open link.
type Entry struct {
	Node    message.Hello
	Conn    *link.Conn
	Leaving bool
	// Revision is the configuration revision that the entry last reported.
	Revision uint64
}

// Table is the membership as one entry sees it. It is safe for concurrent use.
//
// Invariant: for each node ID the table holds the connection of the highest incarnation and, among equal incarnations, the one
// recorded last.
type Table struct {
	// mu guards all fields below.
	mu        sync.RWMutex
	upstreams map[string]*Upstream
	entries   map[string]*Entry
	// leaving holds the IDs that the instance list shows as leaving.
	leaving     map[string]bool
	subscribers map[chan struct{}]struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		upstreams:   make(map[string]*Upstream),
		entries:     make(map[string]*Entry),
		leaving:     make(map[string]bool),
		subscribers: make(map[chan struct{}]struct{}),
	}
}

// PutUpstream records an announcement that arrived on conn. It returns false if the table holds a newer incarnation of the
// node.
func (t *Table) PutUpstream(conn *link.Conn, announce message.Announce) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	node := conn.Peer()
	old := t.upstreams[node.NodeID]
	if old != nil && old.Node.Incarnation > node.Incarnation {
		return false
	}
	next := &Upstream{Node: node, Announce: announce, Conn: conn, ListedLeaving: t.leaving[node.NodeID]}
	if old != nil && old.Conn == conn {
		next.Revision, next.Leaving = old.Revision, old.Leaving
	}
	t.upstreams[node.NodeID] = next
	t.notifySubscribers()
	return true
}

// PutHeartbeat records the content of an agent's heartbeat on conn. Heartbeats before the first announcement are ignored.
func (t *Table) PutHeartbeat(conn *link.Conn, heartbeat message.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[conn.Peer().NodeID]
	if u == nil || u.Conn != conn || (u.Revision == heartbeat.Revision && u.Leaving == heartbeat.Leaving) {
		return
	}
	updated := *u
	updated.Revision, updated.Leaving = heartbeat.Revision, heartbeat.Leaving
	t.upstreams[conn.Peer().NodeID] = &updated
	t.notifySubscribers()
}

// PutEntry records a link to another entry and the content of its last heartbeat. It returns false if the table holds a newer
// incarnation of the entry.
func (t *Table) PutEntry(conn *link.Conn, heartbeat message.Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	node := conn.Peer()
	old := t.entries[node.NodeID]
	if old != nil && old.Node.Incarnation > node.Incarnation {
		return false
	}
	next := Entry{Node: node, Conn: conn, Leaving: heartbeat.Leaving, Revision: heartbeat.Revision}
	if old != nil && old.Conn == conn && old.Leaving == next.Leaving && old.Revision == next.Revision {
		return true
	}
	t.entries[node.NodeID] = &next
	t.notifySubscribers()
	return true
}

// Remove removes the node of a closed connection, unless another connection of the node has replaced it.
func (t *Table) Remove(conn *link.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := conn.Peer().NodeID
	if u := t.upstreams[id]; u != nil && u.Conn == conn {
		delete(t.upstreams, id)
	}
	if e := t.entries[id]; e != nil && e.Conn == conn {
		delete(t.entries, id)
	}
	t.notifySubscribers()
}

// SetListedLeaving replaces the set of instances that the instance list shows as leaving.
func (t *Table) SetListedLeaving(ids map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = ids
	changed := false
	for id, u := range t.upstreams {
		if u.ListedLeaving == ids[id] {
			continue
		}
		updated := *u
		updated.ListedLeaving = ids[id]
		t.upstreams[id] = &updated
		changed = true
	}
	// The instance list is read every second, and subscribers compare the whole table after each notification.
	if changed {
		t.notifySubscribers()
	}
}

// Upstreams returns all upstreams with an open link, ordered by node ID.
func (t *Table) Upstreams() []Upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		out = append(out, *u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node.NodeID < out[j].Node.NodeID })
	return out
}

// Upstream returns the upstream with the given node ID, and false if it has no open link.
func (t *Table) Upstream(id string) (Upstream, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	u, ok := t.upstreams[id]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// Entries returns the other entries with an open link, ordered by node ID.
func (t *Table) Entries() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node.NodeID < out[j].Node.NodeID })
	return out
}

// Subscribe returns a channel that receives a value after changes, and a function that ends the subscription. Changes that
// follow each other quickly may be notified once.
func (t *Table) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[ch] = struct{}{}
	return ch, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, ch)
	}
}

// notifySubscribers notifies all subscribers. The caller holds mu.
func (t *Table) notifySubscribers() {
	for subscriber := range t.subscribers {
		select {
		case subscriber <- struct{}{}:
		default: // An earlier notification is still pending.
		}
	}
}
