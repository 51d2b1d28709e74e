package entry

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// viewDebounce is the time for which changes are collected before views are sent.
	viewDebounce = 100 * time.Millisecond
	// viewInterval is the minimum interval between views.
	viewInterval = 500 * time.Millisecond
	// viewSendTimeout bounds the time to send a view on one link.
	viewSendTimeout = 200 * time.Millisecond
)

// peerViews holds the lists of agents that other entries have sent.
type peerViews struct {
	*membership.Views
	// changed signals that a view has changed. It has a capacity of one, so that several changes may share a signal.
	changed chan struct{}
}

func newPeerViews() *peerViews {
	return &peerViews{Views: membership.NewViews(), changed: make(chan struct{}, 1)}
}

// put applies a view or a delta that arrived on conn.
func (v *peerViews) put(conn *link.Conn, view *message.PeerView) {
	v.Apply(conn, view)
	v.notify()
}

// remove removes the view of a closed link.
func (v *peerViews) remove(conn *link.Conn) {
	v.Remove(conn)
	v.notify()
}

// notify signals a change without blocking.
func (v *peerViews) notify() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// linkedAgents returns the agents with a link to this entry.
func (e *Entry) linkedAgents() []message.Peer {
	peers := []message.Peer{}
	revision := e.holder.Revision()
	for _, u := range e.table.Upstreams() {
		p := message.Peer{
			NodeID: u.Node.NodeID, DataCentre: u.Node.DataCentre, Region: u.Node.Region, Address: u.Announce.PeerAddress,
			Pool: u.Announce.Pool, Accepting: e.acceptsRequests(u), State: u.Announce.State, LoadedVersion: u.Announce.LoadedVersion,
			FailedVersion: u.Announce.FailedVersion, LoadError: u.Announce.LoadError,
		}
		if p.SameRevision = u.Revision == revision; !p.SameRevision {
			p.Revision = u.Revision
		}
		if u.Announce.ReadyVersion != "" {
			p.Versions = []string{u.Announce.ReadyVersion}
		}
		peers = append(peers, p)
	}
	return peers
}

// acceptsRequests reports whether an upstream accepts requests. An upstream of a model pool must also have loaded a version.
func (e *Entry) acceptsRequests(u membership.Upstream) bool {
	return u.AcceptsWork() && (u.Announce.Kind != string(config.KindModel) || u.Announce.LoadedVersion != "")
}

// Accepting implements dispatch.RemoteEntries. It returns the entries of other data centres that are not leaving and list an
// agent of the pool that accepts requests.
func (e *Entry) Accepting(pool string, _ config.PoolKind) []membership.Entry {
	var result []membership.Entry
	for _, other := range e.table.Entries() {
		if other.Leaving || other.Node.DataCentre == e.settings.DataCentre || other.Conn.Err() != nil {
			continue
		}
		acceptsForPool := func(p message.Peer) bool { return p.Accepting && p.Pool == pool }
		if e.peerViews.Any(other.Conn, acceptsForPool) {
			result = append(result, other)
		}
	}
	return result
}

// broadcastViews sends views after changes until ctx ends. Entries receive a list of the agents linked to this entry. Agents
// receive a list of the agents linked to any entry.
func (e *Entry) broadcastViews(ctx context.Context) error {
	changes, unsubscribe := e.table.Subscribe()
	defer unsubscribe()
	sender := &viewSender{sent: make(map[*link.Conn]*snapshot)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-e.peerViews.changed:
		}
		pause(ctx, viewDebounce)
		if e.sendViews(ctx, sender) {
			pause(ctx, viewInterval-viewDebounce)
		}
	}
}

// snapshot is an immutable list of peers that was sent on links. Equal consecutive lists share one snapshot, so that links can
// be compared by pointer.
type snapshot struct{ peers []message.Peer }

// viewSender records the snapshot last sent on each link. It is used by one goroutine.
type viewSender struct {
	sent map[*link.Conn]*snapshot
	// linked lists the agents linked to this entry and is sent to entries. merged lists the agents of all entries, as returned by
	// peersForAgents, and is sent to agents.
	linked, merged *snapshot
}

// reuseOrCreate returns last if it holds the same peers, or else a new snapshot.
func reuseOrCreate(last *snapshot, peers []message.Peer) *snapshot {
	if last != nil && reflect.DeepEqual(last.peers, peers) {
		return last
	}
	return &snapshot{peers: peers}
}

// sendViews sends on each link the changes since the last view sent on it, and reports whether it sent any.
func (e *Entry) sendViews(ctx context.Context, s *viewSender) bool {
	linked := e.linkedAgents()
	s.linked, s.merged = reuseOrCreate(s.linked, linked), reuseOrCreate(s.merged, peersForAgents(e.peerViews.Merge(linked, nil)))
	openLinks := make(map[*link.Conn]bool)
	// views caches the message for each pair of last and next snapshot, so that links share it. The last snapshot of a new link
	// is nil.
	views := make(map[[2]*snapshot]*message.PeerView)
	sentAny := false
	for _, conn := range e.links.byRole("") {
		openLinks[conn] = true
		next := s.linked
		if conn.Peer().Role == message.RoleAgent {
			next = s.merged
		}
		last := s.sent[conn]
		if last == next {
			continue
		}
		transition := [2]*snapshot{last, next}
		if _, ok := views[transition]; !ok {
			views[transition] = diffSnapshots(last, next)
		}
		if view := views[transition]; view == nil || e.sendView(ctx, conn, view) {
			s.sent[conn] = next
			sentAny = sentAny || view != nil
		}
	}
	for conn := range s.sent {
		if !openLinks[conn] {
			delete(s.sent, conn)
		}
	}
	return sentAny
}

// diffSnapshots returns the message that turns last into next: the whole list if last is nil, or nil if they are equal.
func diffSnapshots(last, next *snapshot) *message.PeerView {
	if last == nil {
		return membership.DiffPeers(nil, next.peers)
	}
	return membership.DiffPeers(last.peers, next.peers)
}

// peersForAgents returns the peers from which agents can fetch weights, those with an address, without the fields that only entries
// use.
func peersForAgents(peers []message.Peer) []message.Peer {
	result := make([]message.Peer, 0, len(peers))
	for _, p := range peers {
		p.Accepting, p.State, p.LoadedVersion, p.FailedVersion, p.LoadError = false, "", "", "", ""
		p.Revision, p.SameRevision = 0, false
		if strings.TrimSpace(p.Address) != "" {
			result = append(result, p)
		}
	}
	return result
}

// sendView sends a view on one link and reports whether it was queued.
func (e *Entry) sendView(ctx context.Context, conn *link.Conn, view *message.PeerView) bool {
	ctx, stop := context.WithTimeout(ctx, viewSendTimeout)
	defer stop()
	return conn.Send(ctx, view) == nil
}
