package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/origin"
	"github.com/pimentohead/pimentohead/internal/swap"
	"github.com/pimentohead/pimentohead/internal/weights"
)

// weightsPart wires weights and swap on an agent of a model pool.
type weightsPart struct {
	agent        *Agent
	manager      *weights.Manager
	swapper      *swap.Swapper
	peerListener net.Listener
	source       net.Listener
}

func newWeightsPart(g *Agent) (*weightsPart, error) {
	s := g.settings
	w := &weightsPart{agent: g}
	var err error
	if w.peerListener, err = net.Listen("tcp", s.Listen.Link); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", s.Listen.Link), ErrListen)
	}
	if w.source, err = net.Listen("tcp", s.Listen.Weights); err != nil {
		_ = w.peerListener.Close()
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", s.Listen.Weights), ErrListen)
	}
	cfg := weights.Config{
		Self: g.self, Link: g.linkCfg, Origin: origin.NewClient(s.Platform.Origin, s.Agent.PeerBytesPerSecond),
		MemoryBytes: s.Agent.WeightsMemoryBytes, BytesPerSecond: s.Agent.PeerBytesPerSecond,
		InFlight: func() int { return g.queue.Stats().InFlight }, Baseline: s.Agent.BaselineTransfer,
		ChunkOrder: s.Agent.ChunkOrder, OnChange: w.changed, Meter: g.telemetry.Meter, Log: g.log,
	}
	if s.Platform.WeightStore != "" {
		cfg.WeightStore = origin.NewClient(s.Platform.WeightStore, s.Agent.PeerBytesPerSecond)
	}
	if w.manager, err = weights.New(cfg); err != nil {
		_, _ = w.peerListener.Close(), w.source.Close()
		return nil, err
	}
	w.swapper = swap.New(swap.Config{
		Gate: g.gate, Engine: g.upstream, Versions: w.manager, Source: "http://" + w.source.Addr().String(),
		OnChange: g.announcer.stateChanged, Log: g.log,
	})
	return w, nil
}

// changed is called by the manager after progress.
func (w *weightsPart) changed() {
	if w.swapper != nil {
		w.swapper.Wake()
	}
	w.agent.announcer.loadChanged()
}

func (w *weightsPart) duties() []func(context.Context) {
	return []func(context.Context){
		w.manager.Run, w.swapper.Run, w.serveSource,
		func(ctx context.Context) {
			if err := w.manager.Serve(ctx, w.peerListener); err != nil && ctx.Err() == nil {
				w.agent.log.Error(err, "peer listener failed")
			}
		},
	}
}

// serveSource gives verified weights to the engine.
func (w *weightsPart) serveSource(ctx context.Context) {
	serveHTTP(ctx, w.source, &http.Server{Handler: w.manager.Handler(), ReadHeaderTimeout: time.Second})
}

func (w *weightsPart) setTarget(version string) {
	w.manager.SetTarget(version)
	w.swapper.SetTarget(version)
}

func (w *weightsPart) handle(m message.Message) {
	switch m := m.(type) {
	case *message.PeerView:
		w.manager.SetPeers(m.Peers)
	case *message.SwapPermit:
		w.swapper.Permit(*m)
	case *message.SwapRevoke:
		w.swapper.Revoke(*m)
	}
}

// describe adds the fields of weights and swap to an announcement.
func (w *weightsPart) describe(m *message.Announce) {
	held, swapped := w.manager.Status(), w.swapper.Status()
	m.ReadyVersion, m.Progress = held.Ready, held.Progress
	m.LoadedVersion, m.FailedVersion, m.LoadError = swapped.LoadedVersion, swapped.FailedVersion, swapped.LoadError
	m.SwapEpoch = swapped.Epoch
	m.PeerAddress = w.agent.settings.Link.AdvertiseAddress
	if m.PeerAddress == "" || m.PeerAddress == w.agent.settings.Listen.Link {
		m.PeerAddress = w.peerListener.Addr().String()
	}
}
