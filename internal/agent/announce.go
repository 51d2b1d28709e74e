package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// loadInterval is the least time between two announcements that differ in load or progress only.
const loadInterval = 100 * time.Millisecond

// announcer sends announcements to all linked entries.
type announcer struct {
	agent *Agent
	// urgent and load hold at most one notification.
	urgent, load chan struct{}
	// mu keeps announcements in the order in which they were built.
	mu   sync.Mutex
	last message.Announce
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, urgent: make(chan struct{}, 1), load: make(chan struct{}, 1)}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// stateChanged announces at once.
func (n *announcer) stateChanged() { notify(n.urgent) }

// loadChanged announces within loadInterval.
func (n *announcer) loadChanged() { notify(n.load) }

func (n *announcer) run(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
		case <-pause.C:
			select {
			case <-ctx.Done():
				return
			case <-n.urgent:
			case <-n.load:
			}
		}
		n.broadcast(ctx)
		pause.Reset(loadInterval)
	}
}

// broadcast announces to all entries when something has changed.
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

// introduce makes the first announcement on a new link. Its send ring is empty, so it does not wait.
func (n *announcer) introduce(ctx context.Context, c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agent.links.add(c)
	_ = c.Send(ctx, n.build())
}

// build collects the fields that the parts of the agent contribute.
func (n *announcer) build() *message.Announce {
	g := n.agent
	stats := g.queue.Stats()
	m := &message.Announce{
		Pool: g.settings.Agent.Pool, Kind: g.settings.Agent.Kind, State: g.state(), Limit: stats.ConcurrencyLimit, Queued: stats.Queued,
		InFlight: stats.InFlight, UpstreamIncarnation: g.monitor.incarnation(),
	}
	if g.weights != nil {
		g.weights.describe(m)
	}
	return m
}
