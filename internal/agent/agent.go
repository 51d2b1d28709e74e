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

// ErrListen marks the errors of New that come from opening a listener.
var ErrListen = errors.New("agent: cannot listen")

// expireInterval is the time between scans for queued requests that can no longer meet their deadline or first-byte target.
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
	// queueRejected keeps the queue closed. It is set when a leaving agent rejects its queued requests, and cleared at the next
	// change of leaving or drained.
	queueRejected atomic.Bool

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
	views *membership.Views
	// weights is nil for a plain service.
	weights   *weightsComponent
	telemetry *telemetry.Metrics
	metrics   *metrics

	// startedAt is when the process started.
	startedAt time.Time
	// running counts the goroutines that claim an idempotency key or run a request.
	running       sync.WaitGroup
	adminListener net.Listener
}

// New opens the listeners and creates the parts of the process; Run serves them. The error matches ErrListen when a listener could
// not be opened.
func New(o Options) (*Agent, error) {
	exporter, err := telemetry.NewMetrics("pimentohead/agent")
	if err != nil {
		return nil, err
	}
	s := o.Settings
	a := &Agent{
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
	a.linkCfg.Traffic = a.traffic
	if a.metrics, err = newMetrics(exporter.Meter, a); err != nil {
		return nil, err
	}
	a.self = message.Hello{
		NodeID: s.ID, Role: message.RoleAgent, DataCentre: s.DataCentre, Region: s.Region,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	a.initComponents(&o)
	if err := exporter.RegisterNodeMetrics(a.nodeMetricSources(o)); err != nil {
		return nil, err
	}
	if a.adminListener, err = listenAdmin(s, o.Log); err != nil {
		return nil, err
	}
	if a.servesModel() {
		if a.weights, err = newWeightsComponent(a); err != nil {
			_ = a.adminListener.Close()
			return nil, err
		}
	}
	return a, nil
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
func (a *Agent) initComponents(o *Options) {
	s := a.settings
	if o.Store == nil {
		o.Store = store.NewClient(s.Platform.Store, s.Platform.StoreCallsPerSecond, a.log)
	}
	a.syncer = confsync.New(confsync.Config{NodeID: s.ID, Holder: a.holder, Announce: a.links.notifyStatus, Log: a.log})
	a.upstream = engine.New(engine.Config{
		BaseURL: s.Agent.Upstream, Token: s.Agent.UpstreamToken, MaxConnections: s.Agent.MaxConcurrency + 1,
	})
	a.queue = sched.New(sched.Config{
		QueueLimit: s.Agent.QueueLimit, MaxConcurrency: s.Agent.MaxConcurrency, SharedFIFO: s.Agent.BaselineScheduling,
	})
	a.ledger = order.New(o.Store, order.Config{Log: a.log})
	a.announcer = newAnnouncer(a)
	a.gate = newGate(a)
	a.monitor = &monitor{upstream: a.upstream, model: a.servesModel(), onChange: a.stateChanged, onCrash: a.handleCrash,
		onBatch: a.queue.SetBatchSize}
}

// servesModel reports whether the upstream is the inference engine of a model pool, not a plain service.
func (a *Agent) servesModel() bool { return a.settings.Agent.Kind == string(config.KindModel) }

// state returns the state that is announced to entries.
func (a *Agent) state() message.State {
	switch {
	case a.leaving.Load() || a.drained.Load():
		return message.StateLeaving
	case !a.monitor.isUp():
		return message.StateDown
	default:
		return a.gate.state()
	}
}

// stateChanged must be called after each change that affects the state. It opens or closes the queue and announces the state.
func (a *Agent) stateChanged() {
	a.logState()
	open := a.monitor.isUp() && a.gate.state() == message.StateServing && !a.queueRejected.Load()
	a.queue.SetOpen(open, message.ReasonNotServing)
	a.announcer.stateChanged()
}

// logState logs the announced state when it or the version has changed.
func (a *Agent) logState() {
	a.logged.Lock()
	defer a.logged.Unlock()
	if state, version := a.state(), a.gate.version(); state != a.logged.state || version != a.logged.version {
		a.log.Info("upstream state changed", "from", a.logged.state, "to", state, "version", version)
		a.logged.state, a.logged.version = state, version
	}
}

// handleCrash cancels the requests that were running on an upstream process that has gone.
func (a *Agent) handleCrash(incarnation uint64) {
	lost := a.attempts.filter(func(att *attempt) bool { return att.state == attemptRunning && att.incarnation == incarnation })
	a.log.Info("upstream crashed", "incarnation", incarnation, "requests", len(lost))
	for _, att := range lost {
		att.cancel(errCrashed)
	}
}

// Run serves until ctx ends, then shuts down gracefully within the configured timeout. It returns an error when requests were still in
// progress at the timeout or the order ledger could not be flushed.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	for _, task := range a.tasks() {
		tasks.Add(1)
		go func() { defer tasks.Done(); task(work) }()
	}
	a.log.Info("agent is running", "data_centre", a.settings.DataCentre, "pool", a.settings.Agent.Pool,
		"upstream", a.settings.Agent.Upstream, "admin", a.AdminAddress())
	if !a.servesModel() {
		a.gate.Open("")
	}
	<-ctx.Done()
	a.log.Info("graceful shutdown begins")
	err := a.shutdown()
	stop()
	tasks.Wait()
	a.upstream.Close()
	if err == nil {
		a.log.Info("graceful shutdown is complete")
	}
	return err
}

// tasks returns the functions that run for the lifetime of the process, each in its own goroutine until its context ends.
func (a *Agent) tasks() []func(context.Context) {
	tasks := []func(context.Context){
		a.ledger.Run, a.monitor.run, a.announcer.run, a.expireQueued, a.followConfig, a.serveAdmin,
		func(ctx context.Context) { _ = a.syncer.Run(ctx) },
	}
	for _, address := range a.settings.Agent.Entries {
		tasks = append(tasks, func(ctx context.Context) { a.maintainLink(ctx, address) })
	}
	if a.weights != nil {
		tasks = append(tasks, a.weights.tasks()...)
	}
	return tasks
}

// shutdown announces that the agent leaves, waits for accepted requests and flushes the order ledger. Recorded responses are
// flushed even when requests in progress exceed the shutdown timeout.
func (a *Agent) shutdown() error {
	a.leaving.Store(true)
	a.logState()
	a.links.notifyStatus()
	a.updateLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Shutdown.Timeout.Std())
	defer cancel()
	idleErr := a.awaitIdle(ctx)
	a.flushLinks()
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer stop()
	return errors.CombineErrors(idleErr, a.ledger.Flush(ctx))
}

// flushLinks waits until the entries have received the last responses.
func (a *Agent) flushLinks() {
	ctx, cancel := context.WithTimeout(context.Background(), linkFlushTimeout)
	defer cancel()
	link.FlushAll(ctx, a.links.all())
}

// updateLeaving applies a change of leaving or drained. When the agent leaves, it announces this and rejects the requests that are
// still queued after queueRejectDelay, so that their entries send them to other upstreams. When the agent no longer leaves, it
// serves again.
func (a *Agent) updateLeaving() {
	a.queueRejected.Store(false)
	a.stateChanged()
	if !a.leaving.Load() && !a.drained.Load() {
		return
	}
	time.AfterFunc(queueRejectDelay, func() {
		if a.leaving.Load() || a.drained.Load() {
			a.queueRejected.Store(true)
			a.stateChanged()
		}
	})
}

const (
	// queueRejectDelay is the time from the announcement to the rejection of the queued requests. It lets short queues empty, and
	// ends one second before the time from which a leaving upstream must not receive new work.
	queueRejectDelay = time.Second
	// linkFlushTimeout limits the time for entries to receive the last responses. Entries may be silent for a second or so.
	linkFlushTimeout = 2 * time.Second
	// flushTimeout limits the time to flush the order ledger at the end of a shutdown.
	flushTimeout = 5 * time.Second
)

// awaitIdle waits until requiredIdleChecks consecutive checks have found no request queued or in progress, or ctx ends.
func (a *Agent) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	idleChecks := 0
	for idleChecks < requiredIdleChecks {
		stats := a.queue.Stats()
		idleChecks++
		if stats.Queued+stats.InFlight > 0 || len(a.attempts.filter(func(*attempt) bool { return true })) > 0 {
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

// expireQueued drops queued requests that can no longer meet their deadline or first-byte target, every expireInterval.
func (a *Agent) expireQueued(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.queue.Expire()
		}
	}
}
