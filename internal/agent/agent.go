// Package agent composes the agent process, which is the only gate to its upstream: links to entries, admission, the order
// ledger, weights and the swap of versions.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/certificate"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/engine"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/sched"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("agent: cannot listen")

// expireInterval is the time between sweeps for queued requests that can no longer meet their bounds.
const expireInterval = 100 * time.Millisecond

// loggedState is what the last log line about the state said.
type loggedState struct {
	sync.Mutex
	state   message.State
	version string
}

// Options are the inputs of New.
type Options struct {
	Settings *settings.Settings
	Log      logr.Logger
	// Store is the key-value service. Default: a client of Settings.Platform.Store.
	Store store.Store
}

// Agent is one agent process.
type Agent struct {
	settings *settings.Settings
	log      logr.Logger
	self     message.Hello
	linkCfg  link.Config
	leaving  atomic.Bool
	logged   loggedState
	drained  atomic.Bool
	// handedBack tells that a leaving agent starts nothing any more.
	handedBack atomic.Bool

	holder    *config.Holder
	syncer    *confsync.Syncer
	upstream  *engine.Upstream
	queue     *sched.Queue
	ledger    *order.Ledger
	attempts  *attempts
	gate      *gate
	suspects  *suspects
	monitor   *monitor
	announcer *announcer
	links     *links
	traffic   *link.Traffic
	views     *membership.Views
	weights   *weightsPart
	telemetry *telemetry.Metrics
	metrics   *metrics

	// startedAt is when the process started.
	startedAt time.Time
	// running counts requests that were claimed or started.
	running       sync.WaitGroup
	adminListener net.Listener
}

// New opens the listeners and composes the process. Run serves them.
func New(o Options) (*Agent, error) {
	exporter, err := telemetry.NewMetrics("pimentohead/agent")
	if err != nil {
		return nil, err
	}
	s := o.Settings
	g := &Agent{
		startedAt: time.Now(),
		settings:  s,
		log:       o.Log,
		telemetry: exporter,
		holder:    config.NewHolder(),
		attempts:  newAttempts(),
		suspects:  newSuspects(),
		links:     newLinks(),
		traffic:   &link.Traffic{},
		views:     membership.NewViews(),
		linkCfg: link.Config{
			Secret:            []byte(s.Link.Secret),
			HeartbeatInterval: s.Link.HeartbeatInterval.Std(),
			SilenceTimeout:    s.Link.SilenceTimeout.Std(),
		},
	}
	g.linkCfg.Traffic = g.traffic
	if g.metrics, err = newMetrics(exporter.Meter, g); err != nil {
		return nil, err
	}
	g.self = message.Hello{
		NodeID: s.ID, Role: message.RoleAgent, DataCentre: s.DataCentre, Region: s.Region,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	g.compose(&o)
	if err := exporter.ObserveNode(g.nodeSources(o)); err != nil {
		return nil, err
	}
	if g.adminListener, err = listenAdmin(s, o.Log); err != nil {
		return nil, err
	}
	if g.model() {
		if g.weights, err = newWeightsPart(g); err != nil {
			_ = g.adminListener.Close()
			return nil, err
		}
	}
	return g, nil
}

// listenAdmin opens the admin listener, with TLS when the settings name a certificate.
func listenAdmin(s *settings.Settings, log logr.Logger) (net.Listener, error) {
	listener, err := net.Listen("tcp", s.Listen.Admin)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", s.Listen.Admin), ErrListen)
	}
	if s.Listen.TLSCertFile == "" {
		return listener, nil
	}
	source, err := certificate.New(s.Listen.TLSCertFile, s.Listen.TLSKeyFile, log)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, source.TLSConfig()), nil
}

func (g *Agent) compose(o *Options) {
	s := g.settings
	if o.Store == nil {
		o.Store = store.NewClient(s.Platform.Store, s.Platform.StoreCallsPerSecond, g.log)
	}
	g.syncer = confsync.New(confsync.Config{NodeID: s.ID, Holder: g.holder, Announce: g.links.notifyStatus, Log: g.log})
	g.upstream = engine.New(engine.Config{
		BaseURL: s.Agent.Upstream, Token: s.Agent.UpstreamToken, MaxConnections: s.Agent.MaxConcurrency + 1,
	})
	g.queue = sched.New(sched.Config{
		QueueLimit: s.Agent.QueueLimit, MaxConcurrency: s.Agent.MaxConcurrency, SharedFIFO: s.Agent.BaselineScheduling,
	})
	g.ledger = order.New(o.Store, order.Config{Log: g.log})
	g.announcer = newAnnouncer(g)
	g.gate = newGate(g)
	g.monitor = &monitor{upstream: g.upstream, model: g.model(), onChange: g.stateChanged, onCrash: g.crashed, onBatch: g.queue.SetBatchSize}
}

func (g *Agent) model() bool { return g.settings.Agent.Kind == string(config.KindModel) }

// state returns the state to announce.
func (g *Agent) state() message.State {
	switch {
	case g.leaving.Load() || g.drained.Load():
		return message.StateLeaving
	case !g.monitor.isUp():
		return message.StateDown
	default:
		return g.gate.state()
	}
}

// stateChanged opens or closes the queue and announces the state.
func (g *Agent) stateChanged() {
	g.logState()
	open := g.monitor.isUp() && g.gate.state() == message.StateServing && !g.handedBack.Load()
	g.queue.SetOpen(open, message.ReasonNotServing)
	g.announcer.stateChanged()
}

// logState logs each change of the announced state.
func (g *Agent) logState() {
	g.logged.Lock()
	defer g.logged.Unlock()
	if state, version := g.state(), g.gate.version(); state != g.logged.state || version != g.logged.version {
		g.log.Info("upstream state changed", "from", g.logged.state, "to", state, "version", version)
		g.logged.state, g.logged.version = state, version
	}
}

// crashed ends the requests that were in progress on an upstream process that is gone.
func (g *Agent) crashed(incarnation uint64) {
	lost := g.attempts.filter(func(a *attempt) bool { return a.state == attemptRunning && a.incarnation == incarnation })
	g.log.Info("upstream crashed", "incarnation", incarnation, "requests", len(lost))
	for _, a := range lost {
		a.cancel(errCrashed)
	}
}

// Run serves until ctx ends, then shuts down gracefully within the configured time.
func (g *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var duties sync.WaitGroup
	for _, duty := range g.duties() {
		duties.Add(1)
		go func() { defer duties.Done(); duty(work) }()
	}
	g.log.Info("agent is running", "data_centre", g.settings.DataCentre, "pool", g.settings.Agent.Pool,
		"upstream", g.settings.Agent.Upstream, "admin", g.AdminAddress())
	if !g.model() {
		g.gate.Open("")
	}
	<-ctx.Done()
	g.log.Info("graceful shutdown begins")
	err := g.shutdown()
	stop()
	duties.Wait()
	g.upstream.Close()
	if err == nil {
		g.log.Info("graceful shutdown is complete")
	}
	return err
}

// duties lists the goroutines of the process. Each ends with its context.
func (g *Agent) duties() []func(context.Context) {
	duties := []func(context.Context){
		g.ledger.Run, g.monitor.run, g.announcer.run, g.expire, g.followConfig, g.serveAdmin,
		func(ctx context.Context) { _ = g.syncer.Run(ctx) },
	}
	for _, address := range g.settings.Agent.Entries {
		duties = append(duties, func(ctx context.Context) { g.keepLink(ctx, address) })
	}
	if g.weights != nil {
		duties = append(duties, g.weights.duties()...)
	}
	return duties
}

// shutdown announces leaving, finishes what was accepted and records its answers. Answers are recorded even when requests in
// progress exceed the time for the shutdown.
func (g *Agent) shutdown() error {
	g.leaving.Store(true)
	g.logState()
	g.links.notifyStatus()
	g.left()
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Shutdown.Timeout.Std())
	defer cancel()
	settled := g.settle(ctx)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer stop()
	return errors.CombineErrors(settled, g.ledger.Flush(ctx))
}

// left announces that the agent leaves, and hands back what still waits in the queue after handBackAfter: its entries send it
// to other upstreams. It undoes both when the agent no longer leaves.
func (g *Agent) left() {
	g.handedBack.Store(false)
	g.stateChanged()
	if !g.leaving.Load() && !g.drained.Load() {
		return
	}
	time.AfterFunc(handBackAfter, func() {
		if g.leaving.Load() || g.drained.Load() {
			g.handedBack.Store(true)
			g.stateChanged()
		}
	})
}

const (
	// handBackAfter lets short queues run dry and leaves a second until a leaving upstream must not receive new work.
	handBackAfter = time.Second
	// flushTimeout bounds the recording of answers at the end of a shutdown.
	flushTimeout = 5 * time.Second
)

// settle waits until no request is queued or in progress.
func (g *Agent) settle(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	quiet := 0
	for quiet < settleChecks {
		stats := g.queue.Stats()
		quiet++
		if stats.Queued+stats.InFlight > 0 || len(g.attempts.filter(func(*attempt) bool { return true })) > 0 {
			quiet = 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "agent: %d requests in progress at the end of the shutdown", stats.InFlight)
		}
	}
	return nil
}

// An agent leaves after settleChecks checks without a request: entries that have not yet seen that it is leaving get a
// rejection instead of a broken link.
const (
	settleInterval = 50 * time.Millisecond
	settleChecks   = 6
)

func (g *Agent) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.queue.Expire()
		}
	}
}
