// Package entry composes the entry process: HTTP for callers, links to agents and other entries, and the duties that keep
// routing up to date.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

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

// DefaultShutdownDelay is how long a leaving entry keeps accepting, so that the balancer and other entries notice.
const DefaultShutdownDelay = 2 * time.Second

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("entry: cannot listen")

// Options are the inputs of New.
type Options struct {
	Settings *settings.Settings
	Log      logr.Logger
	// Store is the key-value service; nil learns the configuration from peers only and accepts no submissions.
	Store store.Store
	// ShutdownDelay replaces DefaultSettleTime when positive.
	ShutdownDelay time.Duration
	// StartupTimeout replaces DefaultStartupWait, when positive, as the time for which a starting entry waits for upstreams.
	StartupTimeout time.Duration
	// BodyTimeout replaces filter.DefaultBodyTimeout when positive.
	BodyTimeout time.Duration
}

// Entry is one entry process.
type Entry struct {
	settings *settings.Settings
	log      logr.Logger
	settle   time.Duration
	hooks    Hooks
	self     message.Hello
	linkCfg  link.Config
	leaving  atomic.Bool
	startup  startup

	holder     *config.Holder
	syncer     *confsync.Syncer
	rollout    *rollout.Controller
	table      *membership.Table
	router     *routing.Router
	quarantine *quarantine.List
	dispatcher *dispatch.Dispatcher
	chain      filter.Handler
	links      *links
	traffic    *link.Traffic
	views      *views
	crashes    *crashes
	telemetry  *telemetry.Metrics
	metrics    *metrics

	callerListener, adminListener, linkListener net.Listener
	// certificate is nil when callers and operators are served without TLS.
	certificate *certificate.Source
	// duties counts the goroutines that Run started.
	duties sync.WaitGroup
}

// New opens the listeners and composes the process. Run serves them.
func New(o Options) (*Entry, error) {
	exporter, err := telemetry.NewMetrics("pimentohead/entry")
	if err != nil {
		return nil, err
	}
	s := o.Settings
	e := &Entry{
		settings:   s,
		log:        o.Log,
		settle:     o.ShutdownDelay,
		telemetry:  exporter,
		holder:     config.NewHolder(),
		table:      membership.NewTable(),
		quarantine: quarantine.New(nil, s.Entry.QuarantineRetention.Std()),
		links:      newLinks(s.ID, s.Link.HeartbeatInterval.Std()),
		views:      newViews(),
		crashes:    newCrashes(),
		traffic:    &link.Traffic{},
		linkCfg: link.Config{
			Secret:            []byte(s.Link.Secret),
			HeartbeatInterval: s.Link.HeartbeatInterval.Std(),
			SilenceTimeout:    s.Link.SilenceTimeout.Std(),
		},
	}
	if e.settle <= 0 {
		e.settle = DefaultShutdownDelay
	}
	e.startup.bound = o.StartupTimeout
	if e.startup.bound <= 0 {
		e.startup.bound = DefaultStartupTimeout
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
		NodeID: s.ID, Role: message.RoleEntry, DataCentre: s.DataCentre, Region: s.Region, Address: e.advertised(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	e.syncer = e.newSyncer(o)
	e.rollout = e.newRollout(o)
	e.compose(o)
	return e, exporter.ObserveNode(e.nodeSources(o))
}

// compose wires the request path.
func (e *Entry) compose(o Options) {
	e.router = routing.New(e.settings.DataCentre, e.table, e.holder, nil)
	if e.settings.Entry.BaselineRouting {
		e.router.DisableAffinity()
	}
	e.router.Outliers().OnEject(e.metrics.ejected)
	e.dispatcher = dispatch.New(dispatch.Options{
		Table: e.table, Router: e.router, Remote: e, Quarantine: e.quarantine, Incarnation: e.self.Incarnation,
		Events: dispatch.Events{Retry: e.metrics.retried, Late: e.metrics.lateMessage, Crash: e.reportCrash},
	})
	e.chain = filter.Chain(
		filter.RequestID{},
		filter.Response{Log: e.log, OnDone: e.metrics.done},
		filter.Authentication{Holder: e.holder},
		filter.SizeLimit{BodyTimeout: o.BodyTimeout},
		filter.Classify{},
		filter.Quarantine{List: e.quarantine},
		filter.NewCallerLimit(e.liveEntries),
		filter.Forward{Dispatcher: e.dispatcher},
	)
}

// SetHooks wires the parts of other packages, which need the entry's own parts first. It must be called before Run.
func (e *Entry) SetHooks(hooks Hooks) { e.hooks = hooks }

// Holder returns the configuration in force.
func (e *Entry) Holder() *config.Holder { return e.holder }

// Table returns the membership table.
func (e *Entry) Table() *membership.Table { return e.table }

// Hello returns the identity of this process.
func (e *Entry) Hello() message.Hello { return e.self }

// Metrics returns the telemetry of the process.
func (e *Entry) Metrics() *telemetry.Metrics { return e.telemetry }

// CallerAddress returns the address that callers use.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// AdminAddress returns the address of the admin listener.
func (e *Entry) AdminAddress() string { return e.adminListener.Addr().String() }

// LinkAddress returns the address that accepts links.
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

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.adminListener, e.linkListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// advertised is the link address that others use. A listener on port 0 advertises the port that it got.
func (e *Entry) advertised() string {
	if a := e.settings.Link.AdvertiseAddress; a != "" && a != e.settings.Listen.Link {
		return a
	}
	return e.LinkAddress()
}

// spawn runs a duty until ctx ends.
func (e *Entry) spawn(ctx context.Context, name string, duty func(ctx context.Context) error) {
	e.duties.Add(1)
	go func() {
		defer e.duties.Done()
		if err := duty(ctx); err != nil && ctx.Err() == nil {
			e.log.Error(err, "duty ended", "duty", name)
		}
	}()
}
