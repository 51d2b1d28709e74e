package entry

import (
	"context"
	"reflect"
	"slices"
	"sort"
	"strings"
	"sync"
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
	// changed receives after each change.
	changed chan struct{}
	// mu guards byEntry.
	mu      sync.Mutex
	byEntry map[*link.Conn][]message.Peer
}

func newViews() *views {
	return &views{changed: make(chan struct{}, 1), byEntry: make(map[*link.Conn][]message.Peer)}
}

func (v *views) put(conn *link.Conn, peers []message.Peer) {
	v.mu.Lock()
	v.byEntry[conn] = peers
	v.mu.Unlock()
	v.notify()
}

func (v *views) remove(conn *link.Conn) {
	v.mu.Lock()
	delete(v.byEntry, conn)
	v.mu.Unlock()
	v.notify()
}

func (v *views) notify() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// of returns the agents linked to the entry behind conn.
func (v *views) of(conn *link.Conn) []message.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byEntry[conn]
}

// merge adds the agents of other entries that are not in peers.
func (v *views) merge(peers []message.Peer) []message.Peer {
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		known[p.NodeID] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	merged := slices.Clone(peers)
	for _, others := range v.byEntry {
		for _, p := range others {
			if !known[p.NodeID] {
				known[p.NodeID] = true
				merged = append(merged, p)
			}
		}
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].NodeID < merged[j].NodeID })
	return merged
}

// ownPeers lists the agents with a link to this entry.
func (e *Entry) ownPeers() []message.Peer {
	var peers []message.Peer
	for _, u := range e.table.Upstreams() {
		p := message.Peer{
			NodeID: u.Node.NodeID, DataCentre: u.Node.DataCentre, Region: u.Node.Region, Address: u.Announce.PeerAddress,
			Pool: u.Announce.Pool, Accepting: e.accepting(u), State: u.Announce.State, LoadedVersion: u.Announce.LoadedVersion,
			FailedVersion: u.Announce.FailedVersion, LoadError: u.Announce.LoadError, Revision: u.Revision,
		}
		if u.Announce.ReadyVersion != "" {
			p.Versions = []string{u.Announce.ReadyVersion}
		}
		peers = append(peers, p)
	}
	return peers
}

func (e *Entry) accepting(u membership.Upstream) bool {
	return u.Accepts() && (u.Announce.Kind != string(config.KindModel) || u.Announce.LoadedVersion != "")
}

// Accepting implements dispatch.Remote.
func (e *Entry) Accepting(pool string, _ config.PoolKind) []membership.Entry {
	var out []membership.Entry
	for _, other := range e.table.Entries() {
		if other.Leaving || other.Node.DataCentre == e.settings.DataCentre || other.Conn.Err() != nil {
			continue
		}
		usable := func(p message.Peer) bool { return p.Accepting && p.Pool == pool }
		if slices.ContainsFunc(e.views.of(other.Conn), usable) {
			out = append(out, other)
		}
	}
	return out
}

// runViews sends views to agents and entries after changes.
func (e *Entry) runViews(ctx context.Context) error {
	changes, unsubscribe := e.table.Subscribe()
	defer unsubscribe()
	sent := make(map[*link.Conn][]message.Peer)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-e.views.changed:
		}
		pause(ctx, viewDebounce)
		if e.sendViews(ctx, sent) {
			pause(ctx, viewInterval-viewDebounce)
		}
	}
}

// sendViews sends each link the view that it does not have yet, and tells whether any was sent.
func (e *Entry) sendViews(ctx context.Context, sent map[*link.Conn][]message.Peer) bool {
	own := e.ownPeers()
	all := forAgents(e.views.merge(own))
	open := make(map[*link.Conn]bool)
	any := false
	for _, conn := range e.links.all("") {
		open[conn] = true
		view := own
		if conn.Peer().Role == message.RoleAgent {
			view = all
		}
		if last, ok := sent[conn]; ok && reflect.DeepEqual(last, view) {
			continue
		}
		if e.sendView(ctx, conn, view) {
			sent[conn] = view
			any = true
		}
	}
	for conn := range sent {
		if !open[conn] {
			delete(sent, conn)
		}
	}
	return any
}

// forAgents keeps the agents from which weights can be fetched, without what only entries use.
func forAgents(peers []message.Peer) []message.Peer {
	out := make([]message.Peer, 0, len(peers))
	for _, p := range peers {
		p.Accepting, p.State, p.LoadedVersion, p.FailedVersion, p.LoadError, p.Revision = false, "", "", "", "", 0
		if strings.TrimSpace(p.Address) != "" {
			out = append(out, p)
		}
	}
	return out
}

func (e *Entry) sendView(ctx context.Context, conn *link.Conn, view []message.Peer) bool {
	ctx, stop := context.WithTimeout(ctx, viewSendTimeout)
	defer stop()
	return conn.Send(ctx, &message.PeerView{Peers: view}) == nil
}
