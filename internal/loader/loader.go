// Package loader keeps the upstream of an agent, a model server, on the newest version of its weights: it stages verified chunks
// at the upstream, waits until the upstream may interrupt its requests, and orders the load.
package loader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// Errors of an Engine.
var (
	// ErrRefused means that the upstream refused a load order and has not started the load.
	ErrRefused = errors.New("loader: load order refused")
	// ErrUnknownOutcome means that a load order may or may not have been accepted, for example because its answer was lost.
	ErrUnknownOutcome = errors.New("loader: outcome of load order unknown")
)

// Report is the state that an upstream reports.
type Report struct {
	// Models lists the ranges of layers that are loaded, with their versions.
	Models []catalog.LoadedLayers
	// OrderRunning is set while a load order is in progress.
	OrderRunning bool
	// OrdersAccepted counts the load orders accepted since the start of the upstream.
	OrdersAccepted int64
	// StartedAtMillis is the start time of the upstream in milliseconds since the Unix epoch.
	StartedAtMillis int64
	// Queued and Active count requests. KVUsed and KVTotal are the used and total size of the KV cache in tokens times layers.
	Queued, Active  int
	KVUsed, KVTotal int64
	// Slowdown is greater than 1 if the upstream is slow, and 0 if the upstream does not report it.
	Slowdown float64
}

// HasVersion reports whether all layers of a version are loaded.
func (r Report) HasVersion(model string, version int64, layers int) bool {
	return CountLoadedLayers(r.Models, model, version) >= max(layers, 1)
}

// CountLoadedLayers returns the number of layers of a version that are loaded. A model that is reported at the version without a
// range of layers counts as fully loaded; the result is then larger than the number of layers of any model.
func CountLoadedLayers(models []catalog.LoadedLayers, model string, version int64) int {
	const allLayers = 1 << 20
	n := 0
	for _, m := range models {
		if m.Model != model || m.Version != version {
			continue
		}
		if m.From == 0 && m.To == 0 {
			return allLayers
		}
		n += m.To - m.From
	}
	return n
}

// Order asks an upstream to load the staged chunks.
type Order struct {
	Model   string
	Version int64
	// Interrupt makes the upstream load at once; otherwise it finishes the requests in progress first.
	Interrupt bool
	// OrdersAccepted is a precondition: the upstream refuses the order if its own count differs.
	OrdersAccepted int64
}

// Engine is the control interface of the agent's upstream, a model server.
type Engine interface {
	// Report requests the current state of the upstream.
	Report(ctx context.Context) (Report, error)
	// Load sends a load order and returns nil once the upstream has accepted it. Errors match ErrRefused or ErrUnknownOutcome.
	Load(ctx context.Context, order Order) error
	// Stage stores a chunk beside the upstream for a later load. It replaces the chunk that is staged under the same number.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// ReadStaged returns the staged bytes of a chunk, or nil if the chunk is not staged.
	ReadStaged(ctx context.Context, model string, chunk int) ([]byte, error)
}

// Weights provides verified weights.
type Weights interface {
	// Manifest and Chunk retry until ctx ends. A fetch in progress continues after that, and its result serves the next call.
	// Manifest returns the hex SHA-256 digests of all chunks.
	Manifest(ctx context.Context, model string, version int64) ([]string, error)
	Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error)
	// TryChunk returns a chunk if this node or a peer holds it already, otherwise chunkcache.ErrNotAvailable.
	TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error)
}

// Target is the version that the upstream should load.
type Target struct {
	Model   string
	Version int64
	Layers  int
	// NamedAt is when the operator named the version as the one to roll out.
	NamedAt time.Time
	// TurnDelay is the time after NamedAt from which this upstream may interrupt its requests to load. The upstreams of a data
	// centre load one after the other.
	TurnDelay time.Duration
	// DrainLead is how long before the end of TurnDelay entries stop sending new requests to the upstream.
	DrainLead time.Duration
	// NextVersion is a newer version that is not fully available yet and is fetched in the background; 0 if there is none.
	NextVersion int64
	// UsableUntil is the time from which no request may begin on the version, because a newer one is named; zero if there is none.
	UsableUntil time.Time
}

// isTooLate reports whether a load that is ordered now would complete when the version may not be used any more.
func (t Target) isTooLate(now time.Time) bool {
	return !t.UsableUntil.IsZero() && now.Add(LoadDuration).After(t.UsableUntil)
}

// LoadDuration is how long a model server takes to load a version that is staged.
const LoadDuration = 300 * time.Millisecond

const (
	// reportInterval is the time between requests for a report. They cost nothing, as the upstream runs on the same instance.
	reportInterval = 100 * time.Millisecond
	// loadingInterval is the time between requests for a report during a load, and between checks of the target.
	loadingInterval = 25 * time.Millisecond
	// maxFailedReports is the number of consecutive failed report requests after which the upstream counts as down.
	maxFailedReports = 2
	// orderTimeout is how long a load order may run before it is repeated.
	orderTimeout = 8 * time.Second
	// retryPause is the pause before a retry after a failed staging or load.
	retryPause = 100 * time.Millisecond
)

// Loader polls one upstream and loads the target version into it.
type Loader struct {
	engine  Engine
	weights Weights
	log     logr.Logger
	// target returns the version to load, and false if none is known.
	target func() (Target, bool)
	// publish receives the newest report after each poll. swapping is set while a load is imminent or running, down once
	// maxFailedReports consecutive requests for a report have failed.
	publish func(report Report, swapping, down bool)
	// link limits the chunks that are in transfer for one version.
	link linkMeter

	mu     sync.Mutex
	report Report
	// hasReport is set once a report was received.
	hasReport bool
	// failures counts consecutive failed report requests.
	failures int
	swapping bool
	// lastTarget is the target that was last staged, whether or not that has completed.
	lastTarget Target
}

// New returns a Loader for engine. target and publish are called from the goroutines of Run; see the fields of Loader.
func New(engine Engine, weights Weights, log logr.Logger, target func() (Target, bool),
	publish func(report Report, swapping, down bool)) *Loader {
	return &Loader{engine: engine, weights: weights, log: log, target: target, publish: publish}
}

// Run polls the upstream and loads the target version whenever the upstream lacks it, until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); l.poll(ctx) }()
	l.reconcile(ctx)
	wg.Wait()
}

// poll fetches and publishes a report every reportInterval.
func (l *Loader) poll(ctx context.Context) {
	for ctx.Err() == nil {
		l.pollOnce(ctx)
		pause.For(ctx, reportInterval)
	}
}

// pollOnce fetches one report, records it, logs changes of the upstream's reachability, and publishes the result.
func (l *Loader) pollOnce(ctx context.Context) {
	report, err := l.engine.Report(ctx)
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	wasDown := l.failures >= maxFailedReports
	restarted := false
	if err != nil {
		l.failures++
	} else {
		restarted = l.hasReport && l.report.StartedAtMillis != report.StartedAtMillis
		l.report, l.hasReport, l.failures = report, true, 0
	}
	down, swapping, last := l.failures >= maxFailedReports, l.swapping, l.report
	l.mu.Unlock()
	switch {
	case down && !wasDown:
		l.log.Info("upstream does not answer", "cause", err.Error())
	case wasDown && !down:
		l.log.Info("upstream answers again", "born", report.StartedAtMillis)
	case restarted:
		l.log.Info("upstream was restarted", "born", report.StartedAtMillis)
	}
	if err != nil && !down {
		return // The last report is not news: published again, it would show an upstream that has just ended as running.
	}
	l.publish(last, swapping || last.OrderRunning, down)
}

// ServesVersion reports whether any layers of a version are loaded, according to the newest report.
func (l *Loader) ServesVersion(model string, version int64) bool {
	report, _ := l.current()
	return CountLoadedLayers(report.Models, model, version) > 0
}

// ServesAnyVersion reports whether layers of any version of a model are loaded, according to the newest report.
func (l *Loader) ServesAnyVersion(model string) bool {
	report, _ := l.current()
	return servesAnyVersion(report, model)
}

// current returns the newest report, and whether the upstream is answering: false if the last request for a report failed or none
// has succeeded yet.
func (l *Loader) current() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, l.hasReport && l.failures == 0
}

// lastReportFailed reports whether the last report request failed. It is false before the first one.
func (l *Loader) lastReportFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures > 0
}

// LastTarget returns the target whose staging began last, whether or not it has completed. It is zero before the first one.
func (l *Loader) LastTarget() Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastTarget
}

func (l *Loader) setLastTarget(target Target) {
	l.mu.Lock()
	l.lastTarget = target
	l.mu.Unlock()
}

func (l *Loader) setSwapping(swapping bool) {
	l.mu.Lock()
	l.swapping = swapping
	l.mu.Unlock()
}

// reconcile compares the upstream's state with the target and loads the target version if the upstream lacks it.
func (l *Loader) reconcile(ctx context.Context) {
	for ctx.Err() == nil {
		report, answering := l.current()
		target, ok := l.target()
		if !answering && ok && l.lastReportFailed() {
			l.prefetchWhileDown(ctx, target)
		}
		if !answering || !ok || report.HasVersion(target.Model, target.Version, target.Layers) {
			pause.For(ctx, loadingInterval)
			continue
		}
		if err := l.stageAndLoad(ctx, target, report); err != nil && ctx.Err() == nil {
			l.log.Info("load failed, will retry", "model", target.Model, "version", target.Version, "cause", err.Error())
			pause.For(ctx, retryPause)
		}
	}
}

// prefetchWhileDown reads the target version into memory until the upstream answers or the target changes. An upstream that does
// not answer is starting or restarting, and needs the weights as soon as it is up.
func (l *Loader) prefetchWhileDown(parent context.Context, target Target) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	go func() {
		for ctx.Err() == nil {
			current, ok := l.target()
			if _, answering := l.current(); answering || !ok || current.Version != target.Version || current.Model != target.Model {
				cancel(errAbandoned)
				return
			}
			pause.For(ctx, loadingInterval)
		}
	}()
	l.prefetch(ctx, target)
}

// prefetch reads the weights of a version into memory without staging them.
func (l *Loader) prefetch(ctx context.Context, target Target) {
	digests, err := l.weights.Manifest(ctx, target.Model, target.Version)
	if err != nil {
		return // The context has ended.
	}
	c := &collector{weights: l.weights, target: target, link: &l.link}
	if err := c.run(ctx, len(digests)); err != nil && ctx.Err() == nil {
		l.log.Info("weights prefetch failed", "model", target.Model, "version", target.Version, "cause", err.Error())
	}
}

// errAbandoned means that work on a version ended because the target changed or the upstream restarted.
var errAbandoned = errors.New("loader: load abandoned because the target changed or the upstream restarted")

// errTooLate means that a version was not loaded because it may not be used any more once it is loaded.
var errTooLate = errors.New("loader: load not ordered because the version may not be used any more when it completes")

// stageAndLoad stages and loads one version. It returns errAbandoned as soon as the target changes or the upstream restarts.
func (l *Loader) stageAndLoad(parent context.Context, target Target, report Report) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	l.setLastTarget(target)
	go l.cancelWhenObsolete(ctx, cancel, target, report.StartedAtMillis)
	if target.NextVersion > 0 {
		next := target
		next.Version = target.NextVersion
		go l.prefetch(ctx, next)
	}
	started := time.Now()
	err := l.stage(ctx, target)
	if err == nil {
		l.log.Info("weights staged", "model", target.Model, "version", target.Version, "took_ms", time.Since(started).Milliseconds())
		err = l.waitTurn(ctx, target)
	}
	if err == nil {
		l.setSwapping(true)
		err = l.load(ctx, target, report.StartedAtMillis)
	}
	l.setSwapping(false)
	if cause := context.Cause(ctx); cause != nil && parent.Err() == nil {
		return cause
	}
	return err
}

// cancelWhenObsolete calls cancel with errAbandoned once the target differs from the given one, or the upstream has another start
// time than startedAtMillis.
func (l *Loader) cancelWhenObsolete(ctx context.Context, cancel context.CancelCauseFunc, target Target, startedAtMillis int64) {
	for ctx.Err() == nil {
		current, ok := l.target()
		report, answering := l.current()
		if !ok || current.Model != target.Model || current.Version != target.Version ||
			answering && report.StartedAtMillis != startedAtMillis {
			cancel(errAbandoned)
			return
		}
		pause.For(ctx, loadingInterval)
	}
}

// stage makes sure that all chunks are staged at the upstream. Chunks that are staged already are read back, and staged again only
// if they do not match their digests.
func (l *Loader) stage(ctx context.Context, target Target) error {
	digests, err := l.weights.Manifest(ctx, target.Model, target.Version)
	if err != nil {
		return err
	}
	c := &collector{weights: l.weights, target: target, link: &l.link,
		isStored: func(ctx context.Context, chunk int) bool { return l.isStaged(ctx, target, chunk, digests[chunk]) },
		store: func(ctx context.Context, chunk int, data []byte) error {
			return l.engine.Stage(ctx, target.Model, chunk, data)
		},
	}
	return c.run(ctx, len(digests))
}

// isStaged reads a staged chunk back and reports whether it matches its digest.
func (l *Loader) isStaged(ctx context.Context, target Target, chunk int, digest string) bool {
	data, err := l.engine.ReadStaged(ctx, target.Model, chunk)
	return err == nil && data != nil && chunkcache.MatchesDigest(data, digest)
}

// waitTurn waits until an upstream that serves another version may interrupt its requests. DrainLead before that, it reports the
// upstream as swapping, verifies the staged chunks once more, and stages corrupt ones again. An upstream without a version need
// not wait.
func (l *Loader) waitTurn(ctx context.Context, target Target) error {
	if !l.ServesAnyVersion(target.Model) {
		return nil
	}
	turn := target.NamedAt.Add(target.TurnDelay)
	pause.For(ctx, time.Until(turn.Add(-target.DrainLead)))
	if ctx.Err() == nil {
		l.setSwapping(true)
		l.pollOnce(ctx)
		if err := l.stage(ctx, target); err != nil {
			return err
		}
		pause.For(ctx, time.Until(turn))
	}
	return ctx.Err()
}

// servesAnyVersion reports whether layers of any version of a model are loaded.
func servesAnyVersion(r Report, model string) bool {
	for _, m := range r.Models {
		if m.Model == model && (m.To > m.From || m.From == 0 && m.To == 0 && m.Version > 0) {
			return true
		}
	}
	return false
}

// load sends the load order and waits until the load has completed. An order with an unknown outcome is treated as accepted. It returns
// errAbandoned without an order if the upstream is not the process that started at startedAtMillis, whose staged data was verified: its
// count of orders need not tell, as it starts anew. It returns errTooLate without an order if the version could not be used any more.
func (l *Loader) load(ctx context.Context, target Target, startedAtMillis int64) error {
	report, err := l.engine.Report(ctx)
	if err != nil {
		return err
	}
	if report.StartedAtMillis != startedAtMillis {
		return errAbandoned
	}
	if target.isTooLate(time.Now()) {
		return errTooLate
	}
	order := Order{Model: target.Model, Version: target.Version, Interrupt: true, OrdersAccepted: report.OrdersAccepted}
	l.log.Info("load ordered", "model", target.Model, "version", target.Version, "active", report.Active, "queued", report.Queued)
	if err := l.engine.Load(ctx, order); err != nil {
		if !errors.Is(err, ErrUnknownOutcome) {
			return err
		}
		l.log.Info("load order outcome unknown", "cause", err.Error())
	}
	return l.awaitLoad(ctx, target, report.OrdersAccepted)
}

// awaitLoad waits until the version is loaded. It returns an error if the order ended without loading the version, the upstream
// stopped answering, or orderTimeout has passed. The order counts as ended if the upstream reports no order in progress more than
// 1 s after the wait began. ordersBefore is the upstream's count of accepted orders before this order.
func (l *Loader) awaitLoad(ctx context.Context, target Target, ordersBefore int64) error {
	started := time.Now()
	for time.Since(started) < orderTimeout {
		pause.For(ctx, loadingInterval)
		l.pollOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		report, answering := l.current()
		switch {
		case !answering:
			return errors.New("loader: upstream stopped answering during a load")
		case report.HasVersion(target.Model, target.Version, target.Layers):
			l.log.Info("version loaded", "model", target.Model, "version", target.Version,
				"took_ms", time.Since(started).Milliseconds(), "after_naming_ms", time.Since(target.NamedAt).Milliseconds())
			return nil
		case !report.OrderRunning && time.Since(started) > time.Second:
			return errors.Newf("loader: load order ended without loading the version (orders accepted: %d before, %d after)",
				ordersBefore, report.OrdersAccepted)
		}
	}
	return errors.New("loader: load order timed out")
}
