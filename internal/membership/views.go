package membership

import (
	"reflect"
	"slices"
	"sort"
	"sync"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// DiffPeers returns the message that changes a receiver's list of peers from old to next, or nil if the lists are equal. Peers
// are identified by node ID. If old is nil, the message carries the whole list.
func DiffPeers(old, next []message.Peer) *message.PeerView {
	if old == nil {
		return &message.PeerView{Peers: next}
	}
	oldPeers := make(map[string]message.Peer, len(old))
	for _, p := range old {
		oldPeers[p.NodeID] = p
	}
	view := &message.PeerView{Delta: true}
	for _, p := range next {
		if oldPeer, ok := oldPeers[p.NodeID]; !ok || !reflect.DeepEqual(oldPeer, p) {
			view.Peers = append(view.Peers, p)
		}
		delete(oldPeers, p.NodeID)
	}
	for id := range oldPeers {
		view.Removed = append(view.Removed, id)
	}
	if len(view.Peers)+len(view.Removed) == 0 {
		return nil
	}
	sort.Strings(view.Removed)
	return view
}

// Views holds the last peer view received on each link. Links deliver messages in order, so a delta always applies to the view
// from which it was computed.
type Views struct {
	// mu guards byLink, the peers of each link by node ID.
	mu     sync.Mutex
	byLink map[*link.Conn]map[string]message.Peer
}

// NewViews returns an empty set of views.
func NewViews() *Views { return &Views{byLink: make(map[*link.Conn]map[string]message.Peer)} }

// Apply applies a whole view or a delta that arrived on conn.
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

// Remove drops the view of a closed link.
func (v *Views) Remove(conn *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byLink, conn)
}

// Received reports whether a view has arrived on conn.
func (v *Views) Received(conn *link.Conn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byLink[conn] != nil
}

// Any reports whether match returns true for a peer in the view of conn.
func (v *Views) Any(conn *link.Conn, match func(message.Peer) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.byLink[conn] {
		if match(p) {
			return true
		}
	}
	return false
}

// Merge returns peers and the peers of all views that are not among them, ordered by node ID. If a peer is in several views,
// one in which it has a complete version of the weights is preferred. fillIn, unless nil, may set fields that the sender of a
// view omitted.
func (v *Views) Merge(peers []message.Peer, fillIn func(*link.Conn, *message.Peer)) []message.Peer {
	index := make(map[string]int, len(peers))
	for i, p := range peers {
		index[p.NodeID] = i
	}
	given := len(peers)
	merged := slices.Clone(peers)
	v.mu.Lock()
	for conn, view := range v.byLink {
		for id, p := range view {
			position, exists := index[id]
			if exists && (position < given || len(merged[position].Versions) > 0 || len(p.Versions) == 0) {
				continue
			}
			if fillIn != nil {
				fillIn(conn, &p)
			}
			if exists {
				merged[position] = p
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
