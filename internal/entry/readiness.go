package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// DefaultStartupTimeout bounds how long a starting entry waits for its upstreams before it reports ready. It exceeds the 1.5 s
	// after which an agent dials a lost entry again at the latest. It is bounded because a pool may have no upstream at all.
	DefaultStartupTimeout = 2 * time.Second
	// firstViewTimeout bounds how long a starting entry waits for the first list of agents from another entry.
	firstViewTimeout = time.Second
)

// Reasons why the entry is not ready.
var (
	errLeaving  = errors.New("leaving")
	errNoConfig = errors.New("no configuration yet")
	errStarting = errors.New("not all upstreams have connected yet")
)

// ready returns the reason why the load balancer should not send requests to this entry, or nil.
func (e *Entry) ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.holder.Current() == nil:
		return errNoConfig
	case !e.startup.done(e.upstreamsKnown):
		return errStarting
	default:
		return nil
	}
}

// startup tracks the phase from the first configuration until the upstreams are known. During this phase the entry is not ready.
// Otherwise the load balancer would send it requests that it has to refuse.
type startup struct {
	// timeout bounds the phase.
	timeout time.Duration
	// mu guards the fields below.
	mu sync.Mutex
	// startedAt is when the first configuration came into force, zero before that.
	startedAt time.Time
	finished  bool
}

// trackStartup waits for the first configuration and records the start of the phase. The phase does not start with the first
// readiness check, which may come much later.
func (e *Entry) trackStartup(ctx context.Context) error {
	changes, stop := e.holder.Subscribe()
	defer stop()
	for e.holder.Current() == nil {
		select {
		case <-changes:
		case <-ctx.Done():
			return nil
		}
	}
	e.startup.mu.Lock()
	defer e.startup.mu.Unlock()
	e.startup.startedAt = time.Now()
	return nil
}

// done reports whether the startup phase has ended: upstreamsKnown has returned true once, or the timeout has elapsed.
// upstreamsKnown gets the time since the start of the phase.
func (s *startup) done(upstreamsKnown func(elapsed time.Duration) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var elapsed time.Duration
	if !s.startedAt.IsZero() {
		elapsed = time.Since(s.startedAt)
	}
	s.finished = s.finished || elapsed >= s.timeout || upstreamsKnown(elapsed)
	return s.finished
}

// upstreamsKnown reports whether the entry can serve all pools and has links to all agents of its data centre that other entries
// list. Otherwise the first agents to connect would receive the load of all.
func (e *Entry) upstreamsKnown(elapsed time.Duration) bool {
	return e.allPoolsServed() && e.peerViewReceived(elapsed) && e.linkedToListedAgents()
}

// allPoolsServed reports whether each pool of the configuration has an upstream that accepts requests, linked to this entry or to
// another one.
func (e *Entry) allPoolsServed() bool {
	for _, pool := range e.holder.Current().Config.Pools {
		if !e.router.Accepting(pool.Name, pool.Kind) && len(e.Accepting(pool.Name, pool.Kind)) == 0 {
			return false
		}
	}
	return true
}

// peerViewReceived reports whether another entry has sent its list of agents, the settings list no other entry, or firstViewTimeout
// has elapsed.
func (e *Entry) peerViewReceived(elapsed time.Duration) bool {
	noPeers := true
	for _, peer := range e.settings.Entry.Peers {
		noPeers = noPeers && peer == e.self.Address
	}
	if noPeers || elapsed >= firstViewTimeout {
		return true
	}
	for _, other := range e.table.Entries() {
		if e.peerViews.Received(other.Conn) {
			return true
		}
	}
	return false
}

// linkedToListedAgents reports whether this entry has a link to each agent of its data centre that another entry lists as accepting
// requests.
func (e *Entry) linkedToListedAgents() bool {
	for _, other := range e.table.Entries() {
		unlinked := func(p message.Peer) bool {
			_, linked := e.table.Upstream(p.NodeID)
			return !linked && p.Accepting && p.DataCentre == e.settings.DataCentre
		}
		if e.peerViews.Any(other.Conn, unlinked) {
			return false
		}
	}
	return true
}
