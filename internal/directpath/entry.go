package directpath

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/controller/checkpoint"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/membudget"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/internal/request"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

// EntryConfig holds the settings of an entry.
type EntryConfig struct {
	Node
	// CallerAddress is the TCP address on which callers are served, ReadyAddress the one of the readiness check.
	CallerAddress, ReadyAddress string
	// ReadyPath is the path of the readiness check that the load balancer requests at ReadyAddress.
	ReadyPath string
	Decoder   catalogsync.Decoder
	Codec     request.Codec
	Origin    chunkcache.Origin
	// In any RetryBudgetWindow, all entries together may send RetryBudgetRatio times the number of requests to a service, plus
	// the fixed number RetryBudgetFixed, as retries.
	RetryBudgetRatio, RetryBudgetFixed float64
	RetryBudgetWindow                  time.Duration
	// Regions maps each data centre to its region. Requests that are restricted to regions run in no data centre that it lacks.
	Regions map[string]string
	// In any one second, all entries together may send ColdOverrun times the rate that the configuration gives for a cold upstream, plus
	// ColdSlack requests.
	ColdOverrun, ColdSlack float64
	// MemoryBytes is the memory limit of the process, 0 if there is none. memoryShare of it is the budget for what callers send and read.
	MemoryBytes int64
}

const (
	// readHeaderTimeout bounds the time to read the header of a request, and the time until the first request on a new
	// connection.
	readHeaderTimeout = 15 * time.Second
	// drainDelay is how long a stopping entry accepts new connections, at most half of GracePeriod. The load balancer notices that
	// the entry is leaving within two readiness checks and opens no connections after that.
	drainDelay = 3 * time.Second
	// servedFraction is the fraction of GracePeriod after which requests whose response has not begun are ended with a final response.
	// drainFraction is the one after which the other requests are ended and all connections are closed. What remains is for the process to
	// end by itself.
	servedFraction = 0.88
	drainFraction  = 0.92
	// sweepInterval is the time between checks for idle connections.
	sweepInterval = time.Second
	// memoryShare is the fraction of MemoryBytes that may be held for callers. An entry uses 34 to 51 MB for itself, and the heap limit of
	// the runtime is 0.6 of MemoryBytes: at 184 MB, budget and own use together stay below it.
	memoryShare = 0.25
	// unreadInterval is the time between measurements of what callers have not read.
	unreadInterval = 250 * time.Millisecond
)

// Entry is the process that accepts the requests of callers and sends them to upstreams.
type Entry struct {
	cfg EntryConfig
	*components
	pool    *h1.Pool
	relay   *relay.Relay
	budget  *relay.RetryBudget
	warmup  *warmup.Limiter
	leaving atomic.Bool
	// entriesListed is set once the entries in the store have been listed.
	entriesListed atomic.Bool
	// servedUntil is when a leaving entry ends the requests in progress; nil before.
	servedUntil atomic.Pointer[time.Time]
	conns       *callerconn.Tracker
	// memory is the budget for what is held for callers; nil without a memory limit.
	memory *membudget.Budget
}

// NewEntry returns an entry. Run starts it.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	e := &Entry{cfg: cfg, pool: h1.NewPool(), memory: membudget.New(int64(memoryShare * float64(cfg.MemoryBytes)))}
	c, err := cfg.newComponents(message.RoleEntry, cfg.LinkAddress, cfg.Origin, e.leaving.Load, nil)
	if err != nil {
		return nil, err
	}
	e.components = c
	e.conns = callerconn.NewTracker(e.idleLimit)
	if e.memory != nil {
		e.conns.LimitBuffers()
		e.pool.LimitBuffers()
	}
	metrics, err := relay.NewMetrics(c.metrics.Meter)
	if err != nil {
		return nil, err
	}
	c.rateLimits.Observe(func(r message.RateLimit) {
		cfg.Log.Info("rate limit of upstream changed", "upstream", r.Upstream, "started", r.StartedAtMillis, "per_second", r.PerSecond,
			"lifted", r.Lifted, "age_ms", r.AgeMillis)
	})
	e.budget = relay.NewRetryBudget(cfg.RetryBudgetRatio, cfg.RetryBudgetFixed, cfg.RetryBudgetWindow, c.mesh.EntryCount, nil)
	if !cfg.FirstStart {
		e.budget.AfterPredecessor()
	}
	e.warmup = e.newWarmup()
	if err := observeCold(c.metrics.Meter, e.warmup.Cold); err != nil {
		return nil, err
	}
	e.relay = relay.New(relay.Config{
		Codec: cfg.Codec, State: c.state, Loads: c.loads, PeerWork: c.peerWork, Tracker: c.tracker, Pool: e.pool,
		PriorityLimiter: placement.NewPriorityLimiter(nil),
		RetryBudget:     e.budget,
		Poison:          c.poison, RateLimits: c.rateLimits, Warmup: e.warmup, Refusals: c.refusals, Observed: loadview.NewObservedTable(nil),
		MemoryBudget: e.memory, Log: cfg.Log, Metrics: metrics, DataCentre: cfg.DataCentre, Regions: cfg.Regions, VersionApplyWindow: cfg.VersionApply,
		ServedUntil: e.endOfService,
	})
	c.explanations = e.relay.ExplanationHandler(cfg.ID)
	return e, observeMemory(c.metrics.Meter, e.memory, e.relay.FullStreams)
}

// Run serves callers until ctx ends, then drains. It returns an error if a listener cannot be opened or serving callers fails.
func (e *Entry) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, err := listen(ctx, e.cfg.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := listen(ctx, e.cfg.ReadyAddress)
	if err != nil {
		return err
	}
	if err := e.serveLinks(serveCtx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	prefetcher := &prefetcher{state: e.state, cache: e.cache, linkWait: linkWaitTime}
	registry := &registry{store: e.Store, lister: e.Store, state: e.state, mesh: e.mesh, self: e.self, ledger: e.poison, log: e.Log,
		onFirst: e.budget.WithoutPredecessor, onListed: func() { e.entriesListed.Store(true) }, startWait: e.startWait()}
	verdicts := &verdictWriter{store: e.Store, state: e.state, mesh: e.mesh, ledger: e.poison, log: e.Log}
	checkpoints := checkpoint.NewWriter(checkpoint.WriterConfig{Store: e.Store, Prefix: checkpointsPrefix, State: e.state,
		Position: e.mesh.Position, Log: e.Log, StartWait: e.startWait(), AssumedAge: e.assumedVersionAge()})
	for _, run := range []func(context.Context){e.stalls.Run, e.mesh.Run, e.syncer(e.cfg.Decoder).Run, registry.announce, registry.discover,
		verdicts.run, checkpoints.Run, e.sweep, e.measureUnread, e.serveMetrics, prefetcher.prefetchManifests, prefetcher.prefetchChunks} {
		wg.Add(1)
		go func() { defer wg.Done(); run(serveCtx) }()
	}
	readyServer := &http.Server{Handler: e.readiness(), ReadHeaderTimeout: time.Second}
	go func() { _ = readyServer.Serve(ready) }()
	server := &http.Server{Handler: e.relay, ReadHeaderTimeout: readHeaderTimeout, ConnState: e.conns.ConnState, ConnContext: e.conns.ConnContext,
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(e.Log.V(1)), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(e.conns.Listener(callers)) }()
	e.Log.Info("entry started", "node", e.ID, "data_centre", e.DataCentre)
	select {
	case err := <-served:
		return errors.Wrap(err, "directpath: serve callers")
	case <-ctx.Done():
	}
	e.drain(callers, server)
	cancel()
	_ = readyServer.Close()
	wg.Wait()
	return nil
}

// serveLinks accepts links on LinkAddress and SeedAddress until ctx ends.
func (e *Entry) serveLinks(ctx context.Context) error {
	for _, address := range []string{e.LinkAddress, e.SeedAddress} {
		if address == "" {
			continue
		}
		l, err := listen(ctx, address)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = l.Close() })
		go e.mesh.Serve(ctx, l)
	}
	return nil
}

// drain makes the readiness check fail, accepts new connections for drainDelay, and waits for the requests in progress. Until
// servedFraction of GracePeriod the relay serves requests that it can finish in time; then it answers those in progress. Responses that
// have begun go on until drainFraction. Connections are closed once they have no request: http.Server.Shutdown would also close those from
// which it has just read one.
func (e *Entry) drain(callers net.Listener, server *http.Server) {
	started, closedBefore := time.Now(), e.conns.ClosedIdle()
	servedUntil := started.Add(time.Duration(float64(e.GracePeriod) * servedFraction))
	e.servedUntil.Store(&servedUntil)
	e.leaving.Store(true)
	e.Log.Info("entry is leaving", "node", e.ID)
	time.Sleep(min(drainDelay, e.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), servedUntil)
	defer cancel()
	_ = e.conns.CloseListener(ctx, callers)
	if inUse := e.conns.Drain(ctx); inUse > 0 {
		e.Log.Info("requests were still in progress at the end of the grace time", "connections", inUse)
		e.relay.AnswerRequests()
		ctx, cancel := context.WithDeadline(context.Background(), started.Add(time.Duration(float64(e.GracePeriod)*drainFraction)))
		defer cancel()
		e.conns.Drain(ctx)
	}
	e.relay.EndRequests()
	_ = server.Close()
	e.Log.Info("entry stopped", "node", e.ID, "took_ms", time.Since(started).Milliseconds(), "idle_closed", e.conns.ClosedIdle()-closedBefore)
}

// endOfService returns servedUntil, or the zero time while the entry is not leaving.
func (e *Entry) endOfService() time.Time {
	if until := e.servedUntil.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// readiness returns the handler of the readiness check. It answers 503 while the entry is leaving or its fleet state is not
// ready.
func (e *Entry) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if e.leaving.Load() || !e.state.Snapshot().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// sweep closes idle connections to upstreams and from callers, and updates what is known of cold upstreams, until ctx ends.
func (e *Entry) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepInterval)
		e.pool.CloseExpired()
		e.warmup.Sweep()
		before := e.conns.ClosedIdle()
		e.conns.CloseExpired()
		if closed := e.conns.ClosedIdle() - before; closed > 0 {
			e.Log.Info("idle connections of callers closed", "connections", closed, "idle_limit_ms", e.idleLimit().Milliseconds())
		}
	}
}

// measureUnread counts what callers have not read towards the memory budget until ctx ends.
func (e *Entry) measureUnread(ctx context.Context) {
	for e.memory != nil && ctx.Err() == nil {
		e.memory.SetUnread(e.conns.Unread())
		pause.For(ctx, unreadInterval)
	}
}

// idleLimit returns how long the connection of a caller may stay idle according to the configuration in force, 0 for no limit.
func (e *Entry) idleLimit() time.Duration {
	index := e.state.Snapshot().Index
	if index == nil {
		return 0
	}
	return index.Config.Limits.IdleTimeout
}
