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
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/turns"
)

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
	// Turn says from when this upstream may interrupt its requests to load. The upstreams of a data centre load one after the other.
	Turn turns.Turn
	// DrainLead is how long before its turn entries stop sending new requests to the upstream.
	DrainLead time.Duration
	// NextVersion is a newer version that is not fully available yet and is fetched in the background; 0 if there is none.
	NextVersion int64
	// UsableUntil is the time from which no request may begin on the version, because a newer one is named; zero if there is none.
	UsableUntil time.Time
}

// sinceNaming returns the time since the version was named, 0 for one that nobody has named.
func (t Target) sinceNaming() time.Duration {
	if t.NamedAt.IsZero() {
		return 0
	}
	return time.Since(t.NamedAt)
}

// turnAt returns when the upstream may interrupt its requests to load if it is ready at the given time.
func (t Target) turnAt(ready time.Time) time.Time { return t.Turn.At(t.NamedAt, ready) }

// isTooLate reports whether a load that is ordered now would complete when the version may not be used any more.
func (t Target) isTooLate(now time.Time) bool {
	return !t.UsableUntil.IsZero() && now.Add(LoadDuration).After(t.UsableUntil)
}

// LoadDuration is how long a model server takes to load a version that is staged.
const LoadDuration = 300 * time.Millisecond

const (
	// loadingInterval is the time between requests for a report during a load, and between checks of the target.
	loadingInterval = 25 * time.Millisecond
	// retryPause is the pause before a retry after a failed staging or load.
	retryPause = 100 * time.Millisecond
	// repeatPause is the pause before a version is loaded once more that an upstream has refused to load again. Some upstreams always refuse that, so
	// that only another version or a restart brings them back into service.
	repeatPause = 10 * time.Second
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

	// publishMu is held while a result is recorded and published, so that both happen in the same order.
	publishMu sync.Mutex

	mu     sync.Mutex
	report Report
	// reportRequestedAt is when report was requested.
	reportRequestedAt time.Time
	// hasReport is set once a report was received.
	hasReport bool
	// failures counts consecutive failed report requests.
	failures int
	// answeredAt is when a report was last received, or when the Loader was created. failedAt is when a request last failed.
	answeredAt, failedAt time.Time
	calls                settling
	swapping             bool
	// nextTurn is when the upstream interrupts its requests to load another version, zero if none is to be loaded.
	nextTurn time.Time
	// lastTarget is the target that was last staged, whether or not that has completed.
	lastTarget Target

	// doubt is the newest load that is doubtful, nil if there is none.
	doubt *doubtfulLoad

	// nextRepeat is when a version that is loaded already may be ordered again. Only reconcile uses it.
	nextRepeat time.Time
	// loggedOlder is the version of the target that was last logged as older than the loaded one. Only reconcile uses it.
	loggedOlder int64
	// loggedWait is what logWait found last. Only reconcile uses it.
	loggedWait string
}

// New returns a Loader for engine. target and publish are called from the goroutines of Run; see the fields of Loader.
func New(engine Engine, weights Weights, log logr.Logger, target func() (Target, bool),
	publish func(report Report, swapping, down bool)) *Loader {
	return &Loader{engine: engine, weights: weights, log: log, target: target, publish: publish, answeredAt: time.Now()}
}

// Run polls the upstream and loads the target version whenever the upstream lacks it, until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); l.poll(ctx) }()
	l.reconcile(ctx)
	wg.Wait()
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

// NextTurn returns when the upstream interrupts its requests to load another version, as far as is known, or the zero time if none is to be
// loaded.
func (l *Loader) NextTurn() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextTurn
}

func (l *Loader) setNextTurn(at time.Time) {
	l.mu.Lock()
	l.nextTurn = at
	l.mu.Unlock()
}

// reconcile compares the upstream's state with the target and loads the target version if the upstream lacks it.
func (l *Loader) reconcile(ctx context.Context) {
	for ctx.Err() == nil {
		report, answering := l.current()
		target, ok := l.target()
		l.logWait(answering, ok, report.Models)
		if !answering && ok && l.lastReportFailed() {
			l.prefetchWhileDown(ctx, target)
		}
		loaded := ok && report.HasVersion(target.Model, target.Version, target.Layers) &&
			(!l.isDoubtful(report) || time.Now().Before(l.nextRepeat))
		if !answering || !ok || loaded || l.keepsNewer(report, target) {
			pause.For(ctx, loadingInterval)
			continue
		}
		if err := l.stageAndLoad(ctx, target, report); err != nil && ctx.Err() == nil {
			l.log.Info("load failed, will retry", "model", target.Model, "version", target.Version, "cause", err.Error())
			if current, _ := l.current(); report.HasVersion(target.Model, target.Version, target.Layers) && l.isBad(current) {
				l.nextRepeat = time.Now().Add(repeatPause)
			}
			pause.For(ctx, retryPause)
		}
	}
}

// logWait logs what the loader waits for before it can stage weights, whenever that changes, while the upstream has no weights.
func (l *Loader) logWait(answering, hasTarget bool, loaded []catalog.LoadedLayers) {
	waitsFor := ""
	switch {
	case len(loaded) > 0:
	case !hasTarget:
		waitsFor = "configuration"
	case !answering:
		waitsFor = "upstream"
	}
	if waitsFor != l.loggedWait && waitsFor != "" {
		l.log.Info("upstream without weights waits", "for", waitsFor)
	}
	l.loggedWait = waitsFor
}

// keepsNewer reports whether the upstream keeps a version that is newer than the target. As versions only rise, it has been named too, but no
// node that this one is linked to knows that any more, or yet. It is logged once for each target.
func (l *Loader) keepsNewer(report Report, target Target) bool {
	newest := report.NewestCompleteVersion(target.Model, target.Layers)
	if newest <= target.Version {
		return false
	}
	if l.loggedOlder != target.Version {
		l.loggedOlder = target.Version
		l.log.Info("upstream keeps a newer version than the one named", "model", target.Model, "version", target.Version, "loaded_version", newest)
	}
	return true
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

// errNewerLoaded means that a version was not loaded because the upstream has loaded a newer one meanwhile.
var errNewerLoaded = errors.New("loader: load not ordered because the upstream has loaded a newer version")

// stageAndLoad stages and loads one version. It returns errAbandoned as soon as the target changes or the upstream restarts.
func (l *Loader) stageAndLoad(parent context.Context, target Target, report Report) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	l.setLastTarget(target)
	if l.ServesAnyVersion(target.Model) {
		l.setNextTurn(target.turnAt(time.Now()))
		defer l.setNextTurn(time.Time{})
	}
	go l.cancelWhenObsolete(ctx, cancel, target, report.StartedAtMillis)
	if target.NextVersion > 0 {
		next := target
		next.Version = target.NextVersion
		go l.prefetch(ctx, next)
	}
	l.awaitSettled(ctx)
	if report.HasVersion(target.Model, target.Version, target.Layers) {
		if err := l.confirmLoad(ctx, target); !errors.Is(err, errBadLoad) {
			return err
		}
	}
	started, verified := time.Now(), &verification{}
	l.log.Info("staging weights", "model", target.Model, "version", target.Version, "after_naming_ms", target.sinceNaming().Milliseconds())
	err := l.stage(ctx, target, verified)
	if err == nil {
		l.log.Info("weights staged", "model", target.Model, "version", target.Version, "took_ms", time.Since(started).Milliseconds(),
			"oldest_verification_ms", verified.age(time.Now()).Milliseconds())
		err = l.waitTurn(ctx, target, verified)
	}
	if err == nil {
		l.setSwapping(true)
		current, _ := l.current()
		err = l.load(ctx, plannedLoad{Target: target, startedAtMillis: report.StartedAtMillis, verified: verified, repeat: l.isBad(current)})
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
