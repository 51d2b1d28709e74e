package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/origin"
	"github.com/pimentohead/pimentohead/internal/replica"
)

// weightsComponent runs the replica of an agent in a model pool: the transfer of weights and the swap of versions.
type weightsComponent struct {
	agent   *Agent
	replica *replica.Replica
}

func newWeightsComponent(a *Agent) (*weightsComponent, error) {
	s := a.settings
	cfg := replica.Config{
		Settings: s, Self: a.self, Link: a.linkCfg, Holder: a.holder, Gate: a.gate, Engine: a.upstream,
		Origin:   origin.NewClient(s.Platform.Origin, s.Agent.PeerBytesPerSecond),
		InFlight: func() int { return a.queue.Stats().InFlight },
		OnChange: a.announcer.stateChanged, OnProgress: a.announcer.loadChanged, Meter: a.telemetry.Meter, Log: a.log,
	}
	if s.Platform.WeightStore != "" {
		cfg.WeightStore = origin.NewClient(s.Platform.WeightStore, s.Agent.PeerBytesPerSecond)
	}
	r, err := replica.New(cfg)
	if errors.Is(err, replica.ErrListen) {
		err = errors.Mark(err, ErrListen)
	}
	return &weightsComponent{agent: a, replica: r}, err
}

func (w *weightsComponent) tasks() []func(context.Context) {
	return []func(context.Context){func(ctx context.Context) {
		if err := w.replica.Run(ctx); err != nil && ctx.Err() == nil {
			w.agent.log.Error(err, "weights listener failed")
		}
	}}
}

func (w *weightsComponent) handle(m message.Message) { w.replica.Handle(m) }

// fillAnnouncement sets the fields of the replica in an announcement. It keeps the state, which also depends on whether the agent
// leaves, and the incarnation, which the monitor determines.
func (w *weightsComponent) fillAnnouncement(m *message.Announce) {
	state, incarnation := m.State, m.UpstreamIncarnation
	w.replica.FillAnnouncement(m)
	m.State, m.UpstreamIncarnation = state, incarnation
}
