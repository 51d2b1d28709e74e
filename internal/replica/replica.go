// Package replica composes what an agent of a model pool needs besides the request path: the transfer of weights between
// agents, the HTTP listener from which the engine reads them, and the swap sequence.
package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/swap"
	"github.com/pimentohead/pimentohead/internal/weights"
)

// headerTimeout bounds the request header of the engine.
const headerTimeout = 5 * time.Second

// Heartbeats of links between agents.
const (
	peerHeartbeat = 400 * time.Millisecond
	peerSilence   = 1500 * time.Millisecond
)

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("replica: cannot listen")

// Config holds the inputs of New.
type Config struct {
	Settings *settings.Settings
	// Self identifies the agent; New sets its link address.
	Self message.Hello
	Link link.Config
	// Holder is the configuration in force, which names the target version.
	Holder *config.Holder
	Gate   swap.Gate
	Engine swap.Engine
	// Origin and WeightStore supply weights; WeightStore is optional.
	Origin      weights.Source
	WeightStore weights.Source
	// InFlight returns the number of live requests in progress.
	InFlight func() int
	// OnChange is called when the announcement changes. It must not block.
	OnChange func()
	// OnProgress is called after progress of the transfer, which is frequent. Default OnChange.
	OnProgress func()
	Meter      metric.Meter
	Log        logr.Logger
}

// Replica is the model side of one agent.
type Replica struct {
	cfg     Config
	manager *weights.Manager
	swapper *swap.Swapper
	// peers accepts other agents, engine accepts the engine.
	peers  net.Listener
	engine net.Listener

	// mu guards view and model.
	mu    sync.Mutex
	view  []message.Peer
	model string
}

// New opens the listeners. Run serves them.
func New(cfg Config) (*Replica, error) {
	s := cfg.Settings
	r := &Replica{cfg: cfg}
	var err error
	if r.peers, err = net.Listen("tcp", s.Listen.Link); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", s.Listen.Link), ErrListen)
	}
	if r.engine, err = net.Listen("tcp", s.Listen.Weights); err != nil {
		_ = r.peers.Close()
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", s.Listen.Weights), ErrListen)
	}
	r.cfg.Self.Address = r.PeerAddress()
	r.manager, err = weights.New(weights.Config{
		Self: r.cfg.Self, Link: peerLink(cfg.Link), Origin: cfg.Origin, WeightStore: cfg.WeightStore,
		MemoryBytes: s.Agent.WeightsMemoryBytes, BytesPerSecond: s.Agent.PeerBytesPerSecond, InFlight: cfg.InFlight,
		Baseline: s.Agent.BaselineTransfer, ChunkOrder: s.Agent.ChunkOrder, OnChange: r.progressed, OnComplete: r.completed,
		Meter: cfg.Meter, Log: cfg.Log.WithName("weights"),
	})
	if err != nil {
		r.closeListeners()
		return nil, err
	}
	r.swapper = swap.New(swap.Config{
		Gate: cfg.Gate, Engine: cfg.Engine, Versions: r.manager, Source: "http://" + r.engine.Addr().String(),
		OnChange: r.changed, Log: cfg.Log.WithName("swap"),
	})
	return r, nil
}

// peerLink shortens the heartbeat of links between agents. A stalled link holds up every chunk that is read over it, and with
// the silence timeout of control links, 3 s, one stall takes longer than a whole rollout window. The links are closed when idle.
func peerLink(cfg link.Config) link.Config {
	cfg.HeartbeatInterval, cfg.SilenceTimeout = peerHeartbeat, peerSilence
	return cfg
}

// PeerAddress is where other agents fetch chunks. A listener on port 0 advertises the port that it got.
func (r *Replica) PeerAddress() string {
	s := r.cfg.Settings
	if a := s.Link.AdvertiseAddress; a != "" && a != s.Listen.Link {
		return a
	}
	return r.peers.Addr().String()
}

// Run works until ctx ends. It leaves the gate as it is.
func (r *Replica) Run(ctx context.Context) error {
	changes, unsubscribe := r.cfg.Holder.Subscribe()
	defer unsubscribe()
	server := &http.Server{Handler: r.manager.Handler(), ReadHeaderTimeout: headerTimeout}
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, 2)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for _, duty := range []func(){
		func() { r.manager.Run(ctx) },
		func() { r.swapper.Run(ctx) },
		func() { report(failed, r.manager.Serve(ctx, r.peers)) },
		func() { report(failed, server.Serve(r.engine)) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			duty()
		}()
	}
	for {
		r.configure()
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-changes:
		}
	}
}

func report(failed chan<- error, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

func (r *Replica) closeListeners() {
	_ = r.peers.Close()
	_ = r.engine.Close()
}
