package agent

import (
	"context"
	"sync"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/swap"
)

// gate implements swap.Gate on the agent's queue.
type gate struct {
	agent *Agent
	// mu guards the fields below.
	mu     sync.Mutex
	open   bool
	opened bool
	// served is the version that the gate was opened with.
	served string
	// ended is closed and replaced each time a request ends.
	ended chan struct{}
}

var _ swap.Gate = (*gate)(nil)

func newGate(a *Agent) *gate { return &gate{agent: a, ended: make(chan struct{})} }

// Open implements swap.Gate.
func (g *gate) Open(version string) {
	g.mu.Lock()
	g.open, g.opened, g.served = true, true, version
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
		ended := g.ended
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

// progress tells waiters that a request ended.
func (g *gate) progress() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.ended)
	g.ended = make(chan struct{})
}

func (g *gate) version() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.served
}

// state returns the state as far as the gate knows it.
func (g *gate) state() message.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.open:
		return message.StateServing
	case g.opened:
		return message.StateSwapping
	default:
		return message.StateStarting
	}
}
