package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// DefaultStartupTimeout bounds how long a started entry waits for its upstreams. Agents dial a lost entry again after at most
	// 1.5 s; a pool may have no upstream at all.
	DefaultStartupTimeout = 2 * time.Second
	// firstView is how long a started entry waits for the first list of agents from another entry.
	firstView = time.Second
)

// Reasons why the entry is not ready.
var (
	errLeaving  = errors.New("leaving")
	errNoConfig = errors.New("no configuration yet")
	errStarting = errors.New("not all upstreams have connected yet")
)

// ready returns why the balancer should not send requests here, or nil.
func (e *Entry) ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.holder.Current() == nil:
		return errNoConfig
	case !e.startup.over(e.connected):
		return errStarting
	default:
		return nil
	}
}

// startup is the time from the first configuration until the entry has learnt of the upstreams. Without it the balancer sends
// requests to an entry that has to refuse them.
type startup struct {
	bound time.Duration
	// mu guards the fields below.
	mu       sync.Mutex
	began    time.Time
	finished bool
}

// runStartup begins the wait with the first configuration, and not with the first check, which may come much later.
func (e *Entry) runStartup(ctx context.Context) error {
	changed, stop := e.holder.Subscribe()
	defer stop()
	for e.holder.Current() == nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
	e.startup.mu.Lock()
	defer e.startup.mu.Unlock()
	e.startup.began = time.Now()
	return nil
}

// over tells whether the startup has ended: connected returned true once, or the bound has passed.
func (s *startup) over(connected func(up time.Duration) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var up time.Duration
	if !s.began.IsZero() {
		up = time.Since(s.began)
	}
	s.finished = s.finished || up >= s.bound || connected(up)
	return s.finished
}

// connected tells whether the entry can serve all pools, and has links to all agents of its data centre that other entries
// list: the first agents alone would get the work of all.
func (e *Entry) connected(up time.Duration) bool {
	return e.knowsAllPools() && e.informed(up) && e.linkedToAgents()
}

// knowsAllPools tells whether each pool of the configuration has an upstream that accepts work, here or behind another entry.
func (e *Entry) knowsAllPools() bool {
	for _, pool := range e.holder.Current().Config.Pools {
		if !e.router.Accepting(pool.Name, pool.Kind) && len(e.Accepting(pool.Name, pool.Kind)) == 0 {
			return false
		}
	}
	return true
}

// informed tells whether another entry has listed its agents, or there is none to wait for.
func (e *Entry) informed(up time.Duration) bool {
	alone := true
	for _, peer := range e.settings.Entry.Peers {
		alone = alone && peer == e.self.Address
	}
	if alone || up >= firstView {
		return true
	}
	for _, other := range e.table.Entries() {
		if e.views.Received(other.Conn) {
			return true
		}
	}
	return false
}

func (e *Entry) linkedToAgents() bool {
	for _, other := range e.table.Entries() {
		missing := func(p message.Peer) bool {
			_, linked := e.table.Upstream(p.NodeID)
			return !linked && p.Accepting && p.DataCentre == e.settings.DataCentre
		}
		if e.views.Any(other.Conn, missing) {
			return false
		}
	}
	return true
}
