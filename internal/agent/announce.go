package agent

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// loadInterval is the least time between two announcements that differ in load or progress only.
const loadInterval = 100 * time.Millisecond

// announcer sends announcements to all linked entries.
type announcer struct {
	agent *Agent
	// urgent and load hold at most one notification.
	urgent, load chan struct{}
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
	var last message.Announce
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
		if next := n.build(); *next != last {
			last = *next
			for _, c := range n.agent.links.all() {
				_ = c.Send(ctx, next)
			}
		}
		pause.Reset(loadInterval)
	}
}

// build collects the fields that the parts of the agent contribute.
func (n *announcer) build() *message.Announce {
	g := n.agent
	stats := g.queue.Stats()
	m := &message.Announce{
		Pool: g.settings.Agent.Pool, Kind: g.settings.Agent.Kind, State: g.state(), Limit: stats.Limit, Queued: stats.Queued,
		InFlight: stats.InFlight, UpstreamIncarnation: g.monitor.incarnation(),
	}
	if g.weights != nil {
		g.weights.describe(m)
	}
	return m
}
