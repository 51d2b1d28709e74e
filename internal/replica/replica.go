// Package replica runs the parts of an agent of a model pool that are not on the request path: the transfer of weights between
// agents, the HTTP listener from which the engine reads weights, and the sequence of steps that swaps the engine's version.
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

// engineHeaderTimeout bounds the time in which the engine must send the header of a request.
const engineHeaderTimeout = 5 * time.Second

// Heartbeat interval and silence timeout of links between agents; see peerLinkConfig.
const (
	peerHeartbeatInterval = 400 * time.Millisecond
	peerSilenceTimeout    = 1500 * time.Millisecond
)

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("replica: cannot listen")

// Config holds the inputs of New.
type Config struct {
	Settings *settings.Settings
	// Self identifies the agent; New sets its link address.
	Self message.Hello
	Link link.Config
	// Holder holds the configuration in force, which names the target version.
	Holder *config.Holder
	// Gate stops and resumes the admission of requests to Engine, which loads the versions.
	Gate   swap.Gate
	Engine swap.Engine
	// Origin is the source of weights. WeightStore is read when the origin and the peers of other regions fail; optional.
	Origin      weights.Source
	WeightStore weights.Source
	// InFlight returns the number of live requests in progress.
	InFlight func() int
	// OnChange is called when the fields that FillAnnouncement sets have changed. It must not block.
	OnChange func()
	// OnProgress is called after progress of the transfer, which is frequent. Default OnChange.
	OnProgress func()
	Meter      metric.Meter
	Log        logr.Logger
}

// Replica transfers the weights of a model and swaps the version of the engine on one agent.
type Replica struct {
	cfg     Config
	manager *weights.Manager
	swapper *swap.Swapper
	// peerListener accepts links from other agents, engineListener accepts HTTP connections from the engine.
	peerListener   net.Listener
	engineListener net.Listener

	// mu guards peerView, the agents that an entry reported last, and model, the model of this agent's pool, empty before a
	// configuration is in force.
	mu       sync.Mutex
	peerView []message.Peer
	model    string
}

// New opens the listeners; Run serves them. It returns an error that matches ErrListen if a listener cannot be opened.
func New(cfg Config) (*Replica, error) {
	agentSettings := cfg.Settings
	r := &Replica{cfg: cfg}
	var err error
	if r.peerListener, err = net.Listen("tcp", agentSettings.Listen.Link); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", agentSettings.Listen.Link), ErrListen)
	}
	if r.engineListener, err = net.Listen("tcp", agentSettings.Listen.Weights); err != nil {
		_ = r.peerListener.Close()
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", agentSettings.Listen.Weights), ErrListen)
	}
	r.cfg.Self.Address = r.PeerAddress()
	r.manager, err = weights.New(weights.Config{
		Self: r.cfg.Self, Link: peerLinkConfig(cfg.Link), Origin: cfg.Origin, WeightStore: cfg.WeightStore,
		MemoryBytes: agentSettings.Agent.WeightsMemoryBytes, BytesPerSecond: agentSettings.Agent.PeerBytesPerSecond,
		InFlight: cfg.InFlight, Baseline: agentSettings.Agent.BaselineTransfer, ChunkOrder: agentSettings.Agent.ChunkOrder,
		OnChange: r.onProgress, OnComplete: r.onComplete,
		Meter: cfg.Meter, Log: cfg.Log.WithName("weights"),
	})
	if err != nil {
		r.closeListeners()
		return nil, err
	}
	r.swapper = swap.New(swap.Config{
		Gate: cfg.Gate, Engine: cfg.Engine, Versions: r.manager, Source: "http://" + r.engineListener.Addr().String(),
		OnChange: r.onChange, Log: cfg.Log.WithName("swap"),
	})
	return r, nil
}

// peerLinkConfig returns cfg with a shorter heartbeat interval and silence timeout for links between agents. A stalled link
// delays every chunk that is read over it, and with the silence timeout of control links, 3 s, one stall would exceed a whole
// rollout window. Links between agents are closed when idle.
func peerLinkConfig(cfg link.Config) link.Config {
	cfg.HeartbeatInterval, cfg.SilenceTimeout = peerHeartbeatInterval, peerSilenceTimeout
	return cfg
}

// PeerAddress returns the address at which other agents fetch chunks. If the advertised address in the settings is empty or equals
// the listen address, it is the address of the listener, with the assigned port if the configured port is 0.
func (r *Replica) PeerAddress() string {
	agentSettings := r.cfg.Settings
	if address := agentSettings.Link.AdvertiseAddress; address != "" && address != agentSettings.Listen.Link {
		return address
	}
	return r.peerListener.Addr().String()
}

// Run transfers weights, serves the listeners and swaps versions until ctx ends or a listener fails; it returns the failure. It
// does not open or close the gate when it ends.
func (r *Replica) Run(ctx context.Context) error {
	configChanges, unsubscribe := r.cfg.Holder.Subscribe()
	defer unsubscribe()
	server := &http.Server{Handler: r.manager.Handler(), ReadHeaderTimeout: engineHeaderTimeout}
	var wg sync.WaitGroup
	defer wg.Wait()
	failures := make(chan error, 2)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for _, task := range []func(){
		func() { r.manager.Run(ctx) },
		func() { r.swapper.Run(ctx) },
		func() { sendFailure(failures, r.manager.Serve(ctx, r.peerListener)) },
		func() { sendFailure(failures, server.Serve(r.engineListener)) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			task()
		}()
	}
	for {
		r.applyTarget()
		select {
		case <-ctx.Done():
			return nil
		case err := <-failures:
			return err
		case <-configChanges:
		}
	}
}

// sendFailure sends err to failures unless err is nil or the server was closed.
func sendFailure(failures chan<- error, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}

func (r *Replica) closeListeners() {
	_ = r.peerListener.Close()
	_ = r.engineListener.Close()
}
