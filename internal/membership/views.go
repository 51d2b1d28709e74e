package membership

import (
	"reflect"
	"slices"
	"sort"
	"sync"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// DiffPeers returns the message that leads a receiver from one list of peers to another, by node ID, or nil when they are equal.
// A nil old list makes a full view.
func DiffPeers(old, next []message.Peer) *message.PeerView {
	if old == nil {
		return &message.PeerView{Peers: next}
	}
	before := make(map[string]message.Peer, len(old))
	for _, p := range old {
		before[p.NodeID] = p
	}
	view := &message.PeerView{Delta: true}
	for _, p := range next {
		if known, ok := before[p.NodeID]; !ok || !reflect.DeepEqual(known, p) {
			view.Peers = append(view.Peers, p)
		}
		delete(before, p.NodeID)
	}
	for id := range before {
		view.Removed = append(view.Removed, id)
	}
	if len(view.Peers)+len(view.Removed) == 0 {
		return nil
	}
	sort.Strings(view.Removed)
	return view
}

// Views holds the last view of each link. Links deliver in order, so a delta always follows the view that it was made from.
type Views struct {
	// mu guards byLink, the peers of each link by node ID.
	mu     sync.Mutex
	byLink map[*link.Conn]map[string]message.Peer
}

// NewViews returns an empty set.
func NewViews() *Views { return &Views{byLink: make(map[*link.Conn]map[string]message.Peer)} }

// Apply records a view that arrived on conn.
func (v *Views) Apply(conn *link.Conn, view *message.PeerView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peers := v.byLink[conn]
	if peers == nil || !view.Delta {
		peers = make(map[string]message.Peer, len(view.Peers))
		v.byLink[conn] = peers
	}
	for _, p := range view.Peers {
		peers[p.NodeID] = p
	}
	for _, id := range view.Removed {
		delete(peers, id)
	}
}

// Remove forgets the view of a closed link.
func (v *Views) Remove(conn *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byLink, conn)
}

// Received tells whether a view has arrived on conn.
func (v *Views) Received(conn *link.Conn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byLink[conn] != nil
}

// Any tells whether usable holds for a peer in the view of conn.
func (v *Views) Any(conn *link.Conn, usable func(message.Peer) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.byLink[conn] {
		if usable(p) {
			return true
		}
	}
	return false
}

// Merge adds the peers of all views that are not in peers. complete may fill in what the sender of a view left out; nil does
// not. Of several views with a peer, one that shows a complete version is preferred. The result is in the order of node IDs.
func (v *Views) Merge(peers []message.Peer, complete func(*link.Conn, *message.Peer)) []message.Peer {
	index := make(map[string]int, len(peers))
	for i, p := range peers {
		index[p.NodeID] = i
	}
	own := len(peers)
	merged := slices.Clone(peers)
	v.mu.Lock()
	for conn, others := range v.byLink {
		for id, p := range others {
			at, known := index[id]
			if known && (at < own || len(merged[at].Versions) > 0 || len(p.Versions) == 0) {
				continue
			}
			if complete != nil {
				complete(conn, &p)
			}
			if known {
				merged[at] = p
				continue
			}
			index[id] = len(merged)
			merged = append(merged, p)
		}
	}
	v.mu.Unlock()
	sort.Slice(merged, func(i, j int) bool { return merged[i].NodeID < merged[j].NodeID })
	return merged
}
