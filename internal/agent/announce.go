package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// loadInterval is the minimum time between two announcements that differ only in load or progress.
const loadInterval = 100 * time.Millisecond

// announcer sends the announcements of the agent's state and load to all linked entries.
type announcer struct {
	agent *Agent
	// urgent holds at most one notification of a state change, load at most one of a change in load or progress.
	urgent, load chan struct{}
	// mu guards last and keeps announcements in the order in which they were built.
	mu   sync.Mutex
	last message.Announce
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, urgent: make(chan struct{}, 1), load: make(chan struct{}, 1)}
}

// notify sends on a channel with a buffer of one, unless a notification is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// stateChanged triggers an announcement at once.
func (n *announcer) stateChanged() { notify(n.urgent) }

// loadChanged triggers an announcement within loadInterval.
func (n *announcer) loadChanged() { notify(n.load) }

// run sends announcements until ctx ends.
func (n *announcer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
		case <-timer.C:
			select {
			case <-ctx.Done():
				return
			case <-n.urgent:
			case <-n.load:
			}
		}
		n.broadcast(ctx)
		timer.Reset(loadInterval)
	}
}

// broadcast sends an announcement to all entries unless it equals the last one.
func (n *announcer) broadcast(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.build()
	if *next == n.last {
		return
	}
	n.last = *next
	for _, c := range n.agent.links.all() {
		_ = c.Send(ctx, next)
	}
}

// addLink adds a new link and sends the first announcement on it. The send queue of a new link is empty, so Send does not block.
func (n *announcer) addLink(ctx context.Context, c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agent.links.add(c)
	_ = c.Send(ctx, n.build())
}

// build returns an announcement of the current state and load.
func (n *announcer) build() *message.Announce {
	a := n.agent
	stats := a.queue.Stats()
	m := &message.Announce{
		Pool: a.settings.Agent.Pool, Kind: a.settings.Agent.Kind, State: a.state(), Limit: stats.ConcurrencyLimit, Queued: stats.Queued,
		InFlight: stats.InFlight, UpstreamIncarnation: a.monitor.incarnation(),
	}
	if a.weights != nil {
		a.weights.fillAnnouncement(m)
	}
	return m
}
