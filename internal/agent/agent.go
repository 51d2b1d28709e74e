// Package agent implements the agent process. An agent runs next to one upstream (an inference engine or a plain service) and is
// the only client that sends it requests. It combines the links to entries, admission, the order ledger, the transfer of weights
// and the swap of model versions.
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

// ErrListen is returned by New when a listener could not be opened.
var ErrListen = errors.New("agent: cannot listen")

// expireInterval is the time between scans for queued requests that can no longer meet their deadline or target.
const expireInterval = 100 * time.Millisecond

// loggedState is the state and version that the last log line about the state reported.
type loggedState struct {
	sync.Mutex
	state   message.State
	version string
}

// Options holds the parameters of New.
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
	// drained is set while the configuration drains this agent.
	drained atomic.Bool
	// queueReturned is set when a leaving agent has rejected its queued requests and starts no more.
	queueReturned atomic.Bool

	// holder has the configuration in force.
	holder    *config.Holder
	syncer    *confsync.Syncer
	upstream  *engine.Upstream
	queue     *sched.Queue
	ledger    *order.Ledger
	attempts  *attemptTable
	gate      *gate
	suspects  *suspects
	monitor   *monitor
	announcer *announcer
	links     *links
	// traffic counts the bytes on all links.
	traffic *link.Traffic
	// views merges the peer views that the entries send.
	views     *membership.Views
	weights   *weightsComponent
	telemetry *telemetry.Metrics
	metrics   *metrics

	// startedAt is when the process started.
	startedAt time.Time
	// running counts the goroutines that claim an idempotency key or run a request.
	running       sync.WaitGroup
	adminListener net.Listener
}

// New opens the listeners and creates the parts of the process; Run serves them. It returns ErrListen when a listener could not be
// opened.
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
		attempts:  newAttemptTable(),
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
	g.initComponents(&o)
	if err := exporter.RegisterNodeMetrics(g.nodeSources(o)); err != nil {
		return nil, err
	}
	if g.adminListener, err = listenAdmin(s, o.Log); err != nil {
		return nil, err
	}
	if g.servesModel() {
		if g.weights, err = newWeightsComponent(g); err != nil {
			_ = g.adminListener.Close()
			return nil, err
		}
	}
	return g, nil
}

// listenAdmin opens the admin listener, with TLS when a certificate is configured.
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

// initComponents creates the parts of the agent that depend on each other.
func (g *Agent) initComponents(o *Options) {
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
	g.monitor = &monitor{upstream: g.upstream, model: g.servesModel(), onChange: g.stateChanged, onCrash: g.handleCrash,
		onBatch: g.queue.SetBatchSize}
}

// servesModel reports whether the upstream is the inference engine of a model pool, not a plain service.
func (g *Agent) servesModel() bool { return g.settings.Agent.Kind == string(config.KindModel) }

// state returns the state that is announced to entries.
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

// stateChanged must be called after each change that affects the state. It opens or closes the queue and announces the state.
func (g *Agent) stateChanged() {
	g.logState()
	open := g.monitor.isUp() && g.gate.state() == message.StateServing && !g.queueReturned.Load()
	g.queue.SetOpen(open, message.ReasonNotServing)
	g.announcer.stateChanged()
}

// logState logs the announced state when it or the version has changed.
func (g *Agent) logState() {
	g.logged.Lock()
	defer g.logged.Unlock()
	if state, version := g.state(), g.gate.version(); state != g.logged.state || version != g.logged.version {
		g.log.Info("upstream state changed", "from", g.logged.state, "to", state, "version", version)
		g.logged.state, g.logged.version = state, version
	}
}

// handleCrash cancels the requests that were running on an upstream process that has gone.
func (g *Agent) handleCrash(incarnation uint64) {
	lost := g.attempts.filter(func(a *attempt) bool { return a.state == attemptRunning && a.incarnation == incarnation })
	g.log.Info("upstream crashed", "incarnation", incarnation, "requests", len(lost))
	for _, a := range lost {
		a.cancel(errCrashed)
	}
}

// Run serves until ctx ends, then shuts down gracefully within the configured timeout. It returns an error when requests were still in
// progress at the timeout or the order ledger could not be flushed.
func (g *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	for _, task := range g.tasks() {
		tasks.Add(1)
		go func() { defer tasks.Done(); task(work) }()
	}
	g.log.Info("agent is running", "data_centre", g.settings.DataCentre, "pool", g.settings.Agent.Pool,
		"upstream", g.settings.Agent.Upstream, "admin", g.AdminAddress())
	if !g.servesModel() {
		g.gate.Open("")
	}
	<-ctx.Done()
	g.log.Info("graceful shutdown begins")
	err := g.shutdown()
	stop()
	tasks.Wait()
	g.upstream.Close()
	if err == nil {
		g.log.Info("graceful shutdown is complete")
	}
	return err
}

// tasks returns the functions that run for the lifetime of the process, each in its own goroutine until its context ends.
func (g *Agent) tasks() []func(context.Context) {
	tasks := []func(context.Context){
		g.ledger.Run, g.monitor.run, g.announcer.run, g.expireQueued, g.followConfig, g.serveAdmin,
		func(ctx context.Context) { _ = g.syncer.Run(ctx) },
	}
	for _, address := range g.settings.Agent.Entries {
		tasks = append(tasks, func(ctx context.Context) { g.maintainLink(ctx, address) })
	}
	if g.weights != nil {
		tasks = append(tasks, g.weights.tasks()...)
	}
	return tasks
}

// shutdown announces that the agent leaves, waits for accepted requests and flushes the order ledger. Recorded responses are
// flushed even when requests in progress exceed the shutdown timeout.
func (g *Agent) shutdown() error {
	g.leaving.Store(true)
	g.logState()
	g.links.notifyStatus()
	g.updateLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Shutdown.Timeout.Std())
	defer cancel()
	idleErr := g.awaitIdle(ctx)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer stop()
	return errors.CombineErrors(idleErr, g.ledger.Flush(ctx))
}

// updateLeaving applies a change of leaving or drained. When the agent leaves, it announces this and rejects the requests that are
// still queued after queueReturnDelay, so that their entries send them to other upstreams. When the agent no longer leaves, it
// serves again.
func (g *Agent) updateLeaving() {
	g.queueReturned.Store(false)
	g.stateChanged()
	if !g.leaving.Load() && !g.drained.Load() {
		return
	}
	time.AfterFunc(queueReturnDelay, func() {
		if g.leaving.Load() || g.drained.Load() {
			g.queueReturned.Store(true)
			g.stateChanged()
		}
	})
}

const (
	// queueReturnDelay is the time from the announcement to the rejection of the queued requests. It lets short queues empty, and
	// ends one second before the time from which a leaving upstream must not receive new work.
	queueReturnDelay = time.Second
	// flushTimeout limits the time to flush the order ledger at the end of a shutdown.
	flushTimeout = 5 * time.Second
)

// awaitIdle waits until requiredIdleChecks consecutive checks have found no request queued or in progress, or ctx ends.
func (g *Agent) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	idleChecks := 0
	for idleChecks < requiredIdleChecks {
		stats := g.queue.Stats()
		idleChecks++
		if stats.Queued+stats.InFlight > 0 || len(g.attempts.filter(func(*attempt) bool { return true })) > 0 {
			idleChecks = 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "agent: shutdown timed out with %d requests in progress", stats.InFlight)
		}
	}
	return nil
}

// An agent closes its links only after requiredIdleChecks checks without a request: entries that have not yet received the
// announcement that it leaves get a rejection instead of a broken link.
const (
	idleCheckInterval  = 50 * time.Millisecond
	requiredIdleChecks = 6
)

// expireQueued drops queued requests that can no longer meet their deadline or target, every expireInterval.
func (g *Agent) expireQueued(ctx context.Context) {
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
