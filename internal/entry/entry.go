// Package entry implements the entry process: the HTTP servers for callers and operators, the links to agents and other entries,
// and the background tasks that keep configuration and routing up to date.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/certificate"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/controller/rollout"
	"github.com/pimentohead/pimentohead/internal/dispatch"
	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/quarantine"
	"github.com/pimentohead/pimentohead/internal/routing"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// DefaultShutdownDelay is how long an entry that shuts down still accepts requests, so that the load balancer and the other entries
// notice that it is leaving.
const DefaultShutdownDelay = 2 * time.Second

// ErrListen means that a listen address could not be bound.
var ErrListen = errors.New("entry: cannot listen")

// Options are the inputs of New.
type Options struct {
	Settings *settings.Settings
	Log      logr.Logger
	// Store is the key-value store. If it is nil, the entry receives the configuration from other entries only, accepts no
	// submissions of configurations, and runs no rollout controller.
	Store store.Store
	// ShutdownDelay overrides DefaultShutdownDelay if it is positive.
	ShutdownDelay time.Duration
	// StartupTimeout overrides DefaultStartupTimeout if it is positive: the longest time for which a starting entry waits for
	// upstreams before it reports ready.
	StartupTimeout time.Duration
	// BodyTimeout overrides filter.DefaultBodyTimeout if it is positive.
	BodyTimeout time.Duration
}

// Entry is an entry process. It receives requests from callers and dispatches them to upstreams.
type Entry struct {
	settings      *settings.Settings
	log           logr.Logger
	shutdownDelay time.Duration
	hooks         Hooks
	// self identifies this process to its peers.
	self    message.Hello
	linkCfg link.Config
	// leaving is set when the graceful shutdown begins.
	leaving atomic.Bool
	// startup determines when the entry first reports ready.
	startup startup

	// holder holds the configuration in force.
	holder       *config.Holder
	syncer       *confsync.Syncer
	rollout      *rollout.Controller
	table        *membership.Table
	router       *routing.Router
	quarantine   *quarantine.List
	dispatcher   *dispatch.Dispatcher
	chain        filter.Handler
	links        *linkSet
	traffic      *link.Traffic
	peerViews    *peerViews
	crashReports *crashQueue
	telemetry    *telemetry.Metrics
	metrics      *metrics

	callerListener, adminListener, linkListener net.Listener
	// callerConns tracks the connections of callers. net/http enforces their idle timeout.
	callerConns *callerconn.Tracker
	// certificate is used by the caller and admin listeners; nil means that they do not use TLS.
	certificate *certificate.Source
	// shutdown is cancelled by endRequests when the shutdown timeout ends the requests in progress.
	shutdown    context.Context
	endRequests context.CancelFunc
	// tasks counts the running goroutines that Run has started, directly or not.
	tasks sync.WaitGroup
}

// New opens the listeners and creates the parts of the process. Run serves the listeners. New returns an error marked ErrListen when
// an address cannot be bound.
func New(options Options) (*Entry, error) {
	exporter, err := telemetry.NewMetrics("pimentohead/entry")
	if err != nil {
		return nil, err
	}
	s := options.Settings
	e := &Entry{
		settings:      s,
		log:           options.Log,
		shutdownDelay: options.ShutdownDelay,
		telemetry:     exporter,
		holder:        config.NewHolder(),
		table:         membership.NewTable(),
		quarantine:    quarantine.New(nil, s.Entry.QuarantineRetention.Std()),
		links:         newLinkSet(s.ID, s.Link.HeartbeatInterval.Std()),
		peerViews:     newPeerViews(),
		crashReports:  newCrashQueue(),
		callerConns:   callerconn.NewTracker(func() time.Duration { return 0 }),
		traffic:       &link.Traffic{},
		linkCfg: link.Config{
			Secret:            []byte(s.Link.Secret),
			HeartbeatInterval: s.Link.HeartbeatInterval.Std(),
			SilenceTimeout:    s.Link.SilenceTimeout.Std(),
		},
	}
	e.shutdown, e.endRequests = context.WithCancel(context.Background())
	if e.shutdownDelay <= 0 {
		e.shutdownDelay = DefaultShutdownDelay
	}
	e.startup.timeout = options.StartupTimeout
	if e.startup.timeout <= 0 {
		e.startup.timeout = DefaultStartupTimeout
	}
	e.linkCfg.Traffic = e.traffic
	if e.metrics, err = newMetrics(exporter.Meter); err != nil {
		return nil, err
	}
	if err := e.loadCertificate(); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = message.Hello{
		NodeID: s.ID, Role: message.RoleEntry, DataCentre: s.DataCentre, Region: s.Region, Address: e.advertisedAddress(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	e.syncer = e.newSyncer(options)
	e.rollout = e.newRollout(options)
	e.buildRequestPath(options)
	return e, exporter.RegisterNodeMetrics(e.nodeMetricSources(options))
}

// buildRequestPath creates the router, the dispatcher and the filter chain.
func (e *Entry) buildRequestPath(options Options) {
	e.router = routing.New(e.settings.DataCentre, e.table, e.holder, nil)
	if e.settings.Entry.BaselineRouting {
		e.router.DisableAffinity()
	}
	e.router.Outliers().OnEject(e.metrics.recordEjection)
	e.dispatcher = dispatch.New(dispatch.Options{
		Table: e.table, Router: e.router, RemoteEntries: e, Quarantine: e.quarantine, Incarnation: e.self.Incarnation,
		Events: dispatch.Events{Retry: e.metrics.recordRetry, LateMessage: e.metrics.recordLateMessage, Crash: e.reportCrash},
	})
	e.chain = filter.Chain(
		filter.RequestID{},
		filter.Response{Log: e.log, OnDone: e.metrics.recordRequest},
		filter.Authentication{Holder: e.holder},
		filter.SizeLimit{BodyTimeout: options.BodyTimeout},
		filter.Classify{},
		filter.Quarantine{List: e.quarantine},
		filter.NewCallerLimit(e.liveEntries),
		filter.Forward{Dispatcher: e.dispatcher},
	)
}

// SetHooks sets the optional parts that other packages create from the parts of this entry. It must be called before Run.
func (e *Entry) SetHooks(hooks Hooks) { e.hooks = hooks }

// Holder returns the holder of the configuration in force.
func (e *Entry) Holder() *config.Holder { return e.holder }

// Table returns the table of the nodes that have a link to this entry.
func (e *Entry) Table() *membership.Table { return e.table }

// Hello returns the handshake message by which this process identifies itself to its peers.
func (e *Entry) Hello() message.Hello { return e.self }

// Metrics returns the metrics of the process.
func (e *Entry) Metrics() *telemetry.Metrics { return e.telemetry }

// CallerAddress returns the address of the listener for callers, as host:port.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// AdminAddress returns the address of the admin listener, as host:port.
func (e *Entry) AdminAddress() string { return e.adminListener.Addr().String() }

// LinkAddress returns the address of the listener for links, as host:port.
func (e *Entry) LinkAddress() string { return e.linkListener.Addr().String() }

// liveEntries returns the number of live entries, this one included.
func (e *Entry) liveEntries() int {
	n := 1
	for _, other := range e.table.Entries() {
		if !other.Leaving {
			n++
		}
	}
	return n
}

// listen opens the three listeners, or none.
func (e *Entry) listen() error {
	for _, l := range []struct {
		address string
		target  *net.Listener
	}{
		{e.settings.Listen.Caller, &e.callerListener},
		{e.settings.Listen.Admin, &e.adminListener},
		{e.settings.Listen.Link, &e.linkListener},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			e.closeListeners()
			return errors.Mark(errors.Wrapf(err, "listen on %s", l.address), ErrListen)
		}
		*l.target = listener
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.adminListener, e.linkListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// advertisedAddress returns the link address at which other nodes reach this entry. Unless the settings specify a different one, it
// is the address of the listener, so that with port 0 the port actually bound is advertised.
func (e *Entry) advertisedAddress() string {
	if a := e.settings.Link.AdvertiseAddress; a != "" && a != e.settings.Listen.Link {
		return a
	}
	return e.LinkAddress()
}

// startTask runs task in a goroutine. task has to return when ctx ends; if it returns an error before that, the error is logged.
func (e *Entry) startTask(ctx context.Context, name string, task func(ctx context.Context) error) {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		if err := task(ctx); err != nil && ctx.Err() == nil {
			e.log.Error(err, "background task failed", "duty", name)
		}
	}()
}
