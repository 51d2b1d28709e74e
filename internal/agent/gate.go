package agent

import (
	"context"
	"sync"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/swap"
)

// gate implements swap.Gate by opening and closing the agent's queue.
type gate struct {
	agent *Agent
	// mu guards the fields below.
	mu   sync.Mutex
	open bool
	// wasOpened is set when the gate has been open at least once.
	wasOpened bool
	// servedVersion is the version that the gate was opened with last.
	servedVersion string
	// requestEnded is closed and replaced each time a request ends.
	requestEnded chan struct{}
}

var _ swap.Gate = (*gate)(nil)

func newGate(a *Agent) *gate { return &gate{agent: a, requestEnded: make(chan struct{})} }

// Open implements swap.Gate.
func (g *gate) Open(version string) {
	g.mu.Lock()
	g.open, g.wasOpened, g.servedVersion = true, true, version
	g.mu.Unlock()
	g.agent.stateChanged()
}

// Close implements swap.Gate.
func (g *gate) Close(ctx context.Context) error {
	g.mu.Lock()
	g.open = false
	g.mu.Unlock()
	g.agent.stateChanged()
	for {
		g.mu.Lock()
		ended := g.requestEnded
		g.mu.Unlock()
		if g.agent.queue.Stats().InFlight == 0 {
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyRequestEnded wakes a waiting Close after a request ended.
func (g *gate) notifyRequestEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.requestEnded)
	g.requestEnded = make(chan struct{})
}

// version returns the version that the gate was opened with last, empty for a plain service.
func (g *gate) version() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servedVersion
}

// state returns serving, swapping or starting. The agent adds the states that do not depend on the gate.
func (g *gate) state() message.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.open:
		return message.StateServing
	case g.wasOpened:
		return message.StateSwapping
	default:
		return message.StateStarting
	}
}
