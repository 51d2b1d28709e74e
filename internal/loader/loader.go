// Package loader brings the model server beside an agent to the newest version of its weights: it stages verified chunks, waits
// for the server's turn, and orders the load.
package loader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

// Errors of an Engine.
var (
	// ErrRefused means that an order was refused and has not begun.
	ErrRefused = errors.New("loader: order refused")
	// ErrUnknownOutcome means that an order may have begun.
	ErrUnknownOutcome = errors.New("loader: outcome of the order unknown")
)

// Report is what a model server says of itself.
type Report struct {
	Models []catalog.Loaded
	// OrderRunning tells that an order is in progress.
	OrderRunning bool
	// OrdersAccepted counts orders since the start of the server.
	OrdersAccepted int64
	// StartedAtMillis is the start of the server in milliseconds since the epoch.
	StartedAtMillis int64
	// Queued and Active count requests. KVUsed and KVTotal count tokens times layers.
	Queued, Active  int
	KVUsed, KVTotal int64
	// Slowdown is over 1 if the server is slow; 0 if it does not say.
	Slowdown float64
}

// HasVersion tells whether all layers of a version are loaded.
func (r Report) HasVersion(model string, version int64, layers int) bool {
	return LoadedLayers(r.Models, model, version) >= max(layers, 1)
}

// LoadedLayers counts the layers of a version that are loaded. A model without ranges of layers counts as whole if it has a version.
func LoadedLayers(models []catalog.Loaded, model string, version int64) int {
	const whole = 1 << 20
	n := 0
	for _, m := range models {
		if m.Model != model || m.Version != version {
			continue
		}
		if m.From == 0 && m.To == 0 {
			return whole
		}
		n += m.To - m.From
	}
	return n
}

// Order asks a model server to load what is staged.
type Order struct {
	Model   string
	Version int64
	// Interrupt loads at once; otherwise the server finishes first what is running.
	Interrupt bool
	// OrdersAccepted is the count that the server must still have.
	OrdersAccepted int64
}

// Engine is the model server beside the agent.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Load returns ErrRefused or ErrUnknownOutcome.
	Load(ctx context.Context, order Order) error
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// ReadStaged returns nil if nothing is staged.
	ReadStaged(ctx context.Context, model string, chunk int) ([]byte, error)
}

// Weights hands out verified weights.
type Weights interface {
	// Manifest and Chunk try until ctx ends. A fetch that was begun goes on after that, and serves the next call.
	Manifest(ctx context.Context, model string, version int64) ([]string, error)
	Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error)
	// TryChunk returns a chunk that can be had without waiting, else pieces.ErrNotAvailable.
	TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error)
}

// Target is the version that the server should hold.
type Target struct {
	Model   string
	Version int64
	Layers  int
	// NamedAt is when the version was named.
	NamedAt time.Time
	// TurnDelay is the time after Named at which this server may interrupt its work to load.
	TurnDelay time.Duration
	// DrainLead is how long before its turn the server should get no new requests.
	DrainLead time.Duration
	// NextVersion is a newer version that cannot be had yet and is to be fetched meanwhile; 0 if there is none.
	NextVersion int64
}

const (
	// reportInterval is the time between reports, which are free from the same machine.
	reportInterval = 100 * time.Millisecond
	// loadingInterval is the time between reports while a load runs, which takes 300 ms.
	loadingInterval = 25 * time.Millisecond
	// downAfter is the number of failed reports in a row after which the server counts as down.
	downAfter = 2
	// orderPatience is how long an order may run before it is given again.
	orderPatience = 8 * time.Second
	// retryPause is the pause after a failed step.
	retryPause = 100 * time.Millisecond
)

// Loader runs the duties of one agent.
type Loader struct {
	engine  Engine
	weights Weights
	log     logr.Logger
	// target returns the wanted version, and false if none is known.
	target func() (Target, bool)
	// publish receives each report; down tells that the server does not answer.
	publish func(report Report, swapping, down bool)

	mu       sync.Mutex
	report   Report
	known    bool
	failures int
	swapping bool
	changed  chan struct{}
}

// New returns a Loader.
func New(engine Engine, weights Weights, log logr.Logger, target func() (Target, bool),
	publish func(report Report, swapping, down bool)) *Loader {
	return &Loader{engine: engine, weights: weights, log: log, target: target, publish: publish, changed: make(chan struct{}, 1)}
}

// Run polls the server and loads versions until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); l.poll(ctx) }()
	l.control(ctx)
	wg.Wait()
}

// poll asks the server for reports and publishes them.
func (l *Loader) poll(ctx context.Context) {
	for ctx.Err() == nil {
		l.ask(ctx)
		pause.For(ctx, reportInterval)
	}
}

// ask fetches one report.
func (l *Loader) ask(ctx context.Context) {
	report, err := l.engine.Report(ctx)
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	wasDown := l.failures >= downAfter
	restarted := false
	if err != nil {
		l.failures++
	} else {
		restarted = l.known && l.report.StartedAtMillis != report.StartedAtMillis
		l.report, l.known, l.failures = report, true, 0
	}
	down, swapping, last := l.failures >= downAfter, l.swapping, l.report
	l.mu.Unlock()
	switch {
	case down && !wasDown:
		l.log.Info("upstream does not answer", "cause", err.Error())
	case wasDown && !down:
		l.log.Info("upstream answers again", "born", report.StartedAtMillis)
	case restarted:
		l.log.Info("upstream was restarted", "born", report.StartedAtMillis)
	}
	l.publish(last, swapping || last.OrderRunning, down)
}

// ServesVersion tells whether the server holds layers of a version.
func (l *Loader) ServesVersion(model string, version int64) bool {
	report, _ := l.current()
	return LoadedLayers(report.Models, model, version) > 0
}

// current returns the newest report, and false if the server does not answer.
func (l *Loader) current() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, l.known && l.failures == 0
}

// silent tells whether the server has been asked and has not answered.
func (l *Loader) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures > 0
}

func (l *Loader) setSwapping(swapping bool) {
	l.mu.Lock()
	l.swapping = swapping
	l.mu.Unlock()
}

// control compares the server with the target and loads what is missing.
func (l *Loader) control(ctx context.Context) {
	for ctx.Err() == nil {
		report, up := l.current()
		target, ok := l.target()
		if !up && ok && l.silent() {
			l.prepare(ctx, target)
		}
		if !up || !ok || report.HasVersion(target.Model, target.Version, target.Layers) {
			pause.For(ctx, loadingInterval)
			continue
		}
		if err := l.bring(ctx, target, report); err != nil && ctx.Err() == nil {
			l.log.Info("load failed, trying again", "model", target.Model, "version", target.Version, "cause", err.Error())
			pause.For(ctx, retryPause)
		}
	}
}

// prepare reads weights into memory while the server does not answer: it is about to start or starts again, and then needs them.
func (l *Loader) prepare(parent context.Context, target Target) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	go func() {
		for ctx.Err() == nil {
			now, ok := l.target()
			if _, up := l.current(); up || !ok || now.Version != target.Version || now.Model != target.Model {
				cancel(errAbandoned)
				return
			}
			pause.For(ctx, loadingInterval)
		}
	}()
	l.fetch(ctx, target)
}

// fetch reads the weights of a version into memory.
func (l *Loader) fetch(ctx context.Context, target Target) {
	digests, err := l.weights.Manifest(ctx, target.Model, target.Version)
	if err != nil {
		return // The context has ended.
	}
	c := &collector{weights: l.weights, target: target}
	if err := c.run(ctx, len(digests)); err != nil && ctx.Err() == nil {
		l.log.Info("weights were not read ahead", "model", target.Model, "version", target.Version, "cause", err.Error())
	}
}

// errAbandoned means that the target or the server has changed meanwhile.
var errAbandoned = errors.New("loader: abandoned, the target or the upstream has changed")

// bring stages and loads one version. It returns errAbandoned as soon as another version is wanted or the server has restarted.
func (l *Loader) bring(parent context.Context, target Target, report Report) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	go l.abandon(ctx, cancel, target, report.StartedAtMillis)
	if target.NextVersion > 0 {
		next := target
		next.Version = target.NextVersion
		go l.fetch(ctx, next)
	}
	started := time.Now()
	err := l.stage(ctx, target)
	if err == nil {
		l.log.Info("weights staged", "model", target.Model, "version", target.Version, "took_ms", time.Since(started).Milliseconds())
		err = l.waitTurn(ctx, target)
	}
	if err == nil {
		l.setSwapping(true)
		err = l.load(ctx, target)
	}
	l.setSwapping(false)
	if cause := context.Cause(ctx); cause != nil && parent.Err() == nil {
		return cause
	}
	return err
}

// abandon cancels the work on a target that is no longer wanted.
func (l *Loader) abandon(ctx context.Context, cancel context.CancelCauseFunc, target Target, born int64) {
	for ctx.Err() == nil {
		now, ok := l.target()
		report, up := l.current()
		if !ok || now.Model != target.Model || now.Version != target.Version || up && report.StartedAtMillis != born {
			cancel(errAbandoned)
			return
		}
		pause.For(ctx, loadingInterval)
	}
}

// stage makes sure that all chunks lie at the server. What already lies there is read back and kept if it fits.
func (l *Loader) stage(ctx context.Context, target Target) error {
	digests, err := l.weights.Manifest(ctx, target.Model, target.Version)
	if err != nil {
		return err
	}
	c := &collector{weights: l.weights, target: target,
		present: func(ctx context.Context, chunk int) bool { return l.isStaged(ctx, target, chunk, digests[chunk]) },
		place: func(ctx context.Context, chunk int, data []byte) error {
			return l.engine.Stage(ctx, target.Model, chunk, data)
		},
	}
	return c.run(ctx, len(digests))
}

// isStaged reads back what lies at the server and tells whether it fits.
func (l *Loader) isStaged(ctx context.Context, target Target, chunk int, digest string) bool {
	data, err := l.engine.ReadStaged(ctx, target.Model, chunk)
	return err == nil && data != nil && pieces.MatchesDigest(data, digest)
}

// waitTurn waits until a server that serves an older version may interrupt its work. Shortly before, what is staged is read back
// once more and mended where it is spoilt.
func (l *Loader) waitTurn(ctx context.Context, target Target) error {
	report, _ := l.current()
	if !serves(report, target.Model) {
		return nil
	}
	turn := target.NamedAt.Add(target.TurnDelay)
	pause.For(ctx, time.Until(turn.Add(-target.DrainLead)))
	if ctx.Err() == nil {
		l.setSwapping(true)
		l.ask(ctx)
		if err := l.stage(ctx, target); err != nil {
			return err
		}
		pause.For(ctx, time.Until(turn))
	}
	return ctx.Err()
}

// serves tells whether the server holds layers of any version.
func serves(r Report, model string) bool {
	for _, m := range r.Models {
		if m.Model == model && (m.To > m.From || m.From == 0 && m.To == 0 && m.Version > 0) {
			return true
		}
	}
	return false
}

// load orders the load and waits for it.
func (l *Loader) load(ctx context.Context, target Target) error {
	report, err := l.engine.Report(ctx)
	if err != nil {
		return err
	}
	order := Order{Model: target.Model, Version: target.Version, Interrupt: true, OrdersAccepted: report.OrdersAccepted}
	l.log.Info("load ordered", "model", target.Model, "version", target.Version, "active", report.Active, "queued", report.Queued)
	if err := l.engine.Load(ctx, order); err != nil {
		if !errors.Is(err, ErrUnknownOutcome) {
			return err
		}
		l.log.Info("answer to the order is missing", "cause", err.Error())
	}
	return l.awaitLoad(ctx, target, report.OrdersAccepted)
}

// awaitLoad waits until the version is loaded or the order has ended without it.
func (l *Loader) awaitLoad(ctx context.Context, target Target, before int64) error {
	started := time.Now()
	for time.Since(started) < orderPatience {
		pause.For(ctx, loadingInterval)
		l.ask(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		report, up := l.current()
		switch {
		case !up:
			return errors.New("loader: upstream stopped answering during a load")
		case report.HasVersion(target.Model, target.Version, target.Layers):
			l.log.Info("version loaded", "model", target.Model, "version", target.Version,
				"took_ms", time.Since(started).Milliseconds(), "after_naming_ms", time.Since(target.NamedAt).Milliseconds())
			return nil
		case !report.OrderRunning && time.Since(started) > time.Second:
			return errors.Newf("loader: the order ended without the version, %d orders before and %d after", before, report.OrdersAccepted)
		}
	}
	return errors.New("loader: the order takes too long")
}
