package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// warmUp bounds how long a started entry waits for its agents. Agents dial a lost entry again after at most 3 s.
	warmUp = 4 * time.Second
	// firstView is how long a started entry waits for the first list of agents from another entry.
	firstView = time.Second
)

// Reasons why the entry is not ready.
var (
	errLeaving  = errors.New("leaving")
	errNoConfig = errors.New("no configuration yet")
	errStarting = errors.New("not all pools have an upstream yet")
	errWarmUp   = errors.New("agents of this data centre have not connected yet")
)

// ready returns why the balancer should not send requests here, or nil.
func (e *Entry) ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.holder.Current() == nil:
		return errNoConfig
	case !e.warm():
		return errWarmUp
	case !e.startup.over(e.knowsAllPools):
		return errStarting
	default:
		return nil
	}
}

// warm tells whether the entry has links to the agents of its data centre that other entries list, or has waited long
// enough. A restarted entry that takes requests earlier has to refuse them.
func (e *Entry) warm() bool {
	if e.warmed.Load() {
		return true
	}
	up := time.Since(e.started)
	ready := up >= warmUp || e.informed(up) && e.linkedToAgents()
	if ready {
		e.warmed.Store(true) // Later losses are handled by routing, not by readiness.
	}
	return ready
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
