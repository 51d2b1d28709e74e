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
	// viewDebounce collects changes before a view is sent, viewInterval is the least time between two views.
	viewDebounce = 100 * time.Millisecond
	viewInterval = 500 * time.Millisecond
	// viewSendTimeout bounds the wait for one link.
	viewSendTimeout = 200 * time.Millisecond
)

// views keeps what other entries have said of their agents.
type views struct {
	*membership.Views
	// changed receives after each change.
	changed chan struct{}
}

func newViews() *views {
	return &views{Views: membership.NewViews(), changed: make(chan struct{}, 1)}
}

func (v *views) put(conn *link.Conn, view *message.PeerView) {
	v.Apply(conn, view)
	v.notify()
}

func (v *views) remove(conn *link.Conn) {
	v.Remove(conn)
	v.notify()
}

func (v *views) notify() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// ownPeers lists the agents with a link to this entry.
func (e *Entry) ownPeers() []message.Peer {
	peers := []message.Peer{}
	revision := e.holder.Revision()
	for _, u := range e.table.Upstreams() {
		p := message.Peer{
			NodeID: u.Node.NodeID, DataCentre: u.Node.DataCentre, Region: u.Node.Region, Address: u.Announce.PeerAddress,
			Pool: u.Announce.Pool, Accepting: e.accepting(u), State: u.Announce.State, LoadedVersion: u.Announce.LoadedVersion,
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

func (e *Entry) accepting(u membership.Upstream) bool {
	return u.AcceptsWork() && (u.Announce.Kind != string(config.KindModel) || u.Announce.LoadedVersion != "")
}

// Accepting implements dispatch.Remote.
func (e *Entry) Accepting(pool string, _ config.PoolKind) []membership.Entry {
	var out []membership.Entry
	for _, other := range e.table.Entries() {
		if other.Leaving || other.Node.DataCentre == e.settings.DataCentre || other.Conn.Err() != nil {
			continue
		}
		usable := func(p message.Peer) bool { return p.Accepting && p.Pool == pool }
		if e.views.Any(other.Conn, usable) {
			out = append(out, other)
		}
	}
	return out
}

// runViews sends views to agents and entries after changes.
func (e *Entry) runViews(ctx context.Context) error {
	changes, unsubscribe := e.table.Subscribe()
	defer unsubscribe()
	sender := &viewSender{sent: make(map[*link.Conn]*snapshot)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-e.views.changed:
		}
		pause(ctx, viewDebounce)
		if e.sendViews(ctx, sender) {
			pause(ctx, viewInterval-viewDebounce)
		}
	}
}

// snapshot is an immutable list of peers that was sent on links. Equal lists share one snapshot, so that links are compared
// by pointer.
type snapshot struct{ peers []message.Peer }

// viewSender remembers what each link has been sent. It is used by one goroutine.
type viewSender struct {
	sent     map[*link.Conn]*snapshot
	own, all *snapshot
}

// update returns last when it holds peers, otherwise a new snapshot.
func update(last *snapshot, peers []message.Peer) *snapshot {
	if last != nil && reflect.DeepEqual(last.peers, peers) {
		return last
	}
	return &snapshot{peers: peers}
}

// sendViews sends each link what it does not have yet, and tells whether anything was sent.
func (e *Entry) sendViews(ctx context.Context, s *viewSender) bool {
	own := e.ownPeers()
	s.own, s.all = update(s.own, own), update(s.all, forAgents(e.views.Merge(own, nil)))
	open := make(map[*link.Conn]bool)
	// made holds the messages by what the links have; a new link has nothing.
	made := make(map[[2]*snapshot]*message.PeerView)
	any := false
	for _, conn := range e.links.all("") {
		open[conn] = true
		next := s.own
		if conn.Peer().Role == message.RoleAgent {
			next = s.all
		}
		last := s.sent[conn]
		if last == next {
			continue
		}
		step := [2]*snapshot{last, next}
		if _, ok := made[step]; !ok {
			made[step] = makeView(last, next)
		}
		if view := made[step]; view == nil || e.sendView(ctx, conn, view) {
			s.sent[conn] = next
			any = any || view != nil
		}
	}
	for conn := range s.sent {
		if !open[conn] {
			delete(s.sent, conn)
		}
	}
	return any
}

func makeView(last, next *snapshot) *message.PeerView {
	if last == nil {
		return membership.DiffPeers(nil, next.peers)
	}
	return membership.DiffPeers(last.peers, next.peers)
}

// forAgents keeps the agents from which weights can be fetched, without what only entries use.
func forAgents(peers []message.Peer) []message.Peer {
	out := make([]message.Peer, 0, len(peers))
	for _, p := range peers {
		p.Accepting, p.State, p.LoadedVersion, p.FailedVersion, p.LoadError = false, "", "", "", ""
		p.Revision, p.SameRevision = 0, false
		if strings.TrimSpace(p.Address) != "" {
			out = append(out, p)
		}
	}
	return out
}

func (e *Entry) sendView(ctx context.Context, conn *link.Conn, view *message.PeerView) bool {
	ctx, stop := context.WithTimeout(ctx, viewSendTimeout)
	defer stop()
	return conn.Send(ctx, view) == nil
}
