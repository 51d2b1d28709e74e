package loader_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loader"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

const (
	model  = "m"
	layers = 16
	chunks = 6
)

func chunkData(version int64, chunk int) []byte { return fmt.Appendf(nil, "%d/%d", version, chunk) }

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// engine is a model server: it loads what is staged when the order comes.
type engine struct {
	mu       sync.Mutex
	staged   map[int][]byte
	held     int64
	mixed    bool
	born     int64
	orders   int64
	refuse   int
	loseNext bool
	dead     bool
	// onOrder is called before an order is carried out.
	onOrder func(e *engine)
}

func (e *engine) Report(context.Context) (loader.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return loader.Report{}, errors.New("connection refused")
	}
	r := loader.Report{StartedAtMillis: e.born, OrdersAccepted: e.orders}
	if e.held > 0 {
		r.Models = []catalog.Loaded{{Model: model, Version: e.held, From: 0, To: layers}}
	}
	return r, nil
}

func (e *engine) Load(_ context.Context, o loader.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse > 0 {
		e.refuse--
		return errors.WithStack(loader.ErrRefused)
	}
	if o.OrdersAccepted != e.orders {
		return errors.WithStack(loader.ErrRefused)
	}
	if e.onOrder != nil {
		e.onOrder(e)
	}
	e.orders++
	for i := range chunks {
		e.mixed = e.mixed || string(e.staged[i]) != string(chunkData(o.Version, i))
	}
	e.held = o.Version
	if e.loseNext {
		e.loseNext = false
		return errors.WithStack(loader.ErrUnknownOutcome)
	}
	return nil
}

func (e *engine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged == nil {
		e.staged = map[int][]byte{}
	}
	e.staged[chunk] = data
	return nil
}

func (e *engine) ReadStaged(_ context.Context, _ string, chunk int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staged[chunk], nil
}

func (e *engine) state() (held int64, mixed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held, e.mixed
}

// weights hands out any version, and counts.
type weights struct {
	mu    sync.Mutex
	reads int
	// newest is the highest version that was read.
	newest int64
	// block holds back a version until it is closed.
	block map[int64]chan struct{}
}

func (w *weights) Manifest(_ context.Context, _ string, version int64) ([]string, error) {
	var out []string
	for i := range chunks {
		out = append(out, digestOf(chunkData(version, i)))
	}
	return out, nil
}

func (w *weights) Chunk(ctx context.Context, _ string, version int64, chunk int) ([]byte, error) {
	w.mu.Lock()
	w.reads++
	w.newest = max(w.newest, version)
	block := w.block[version]
	w.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return chunkData(version, chunk), nil
}

func (w *weights) TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	w.mu.Lock()
	blocked := w.block[version] != nil
	w.mu.Unlock()
	if blocked {
		return nil, errors.WithStack(pieces.ErrNotAvailable)
	}
	return w.Chunk(ctx, model, version, chunk)
}

type wanted struct {
	mu sync.Mutex
	t  loader.Target
}

func (w *wanted) set(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t = loader.Target{Model: model, Version: version, Layers: layers, NamedAt: time.Now()}
}

func (w *wanted) get() (loader.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.t, w.t.Version > 0
}

// start runs a loader until the test ends.
func start(t *testing.T, e *engine, w *weights, want *wanted) *loader.Loader {
	l := loader.New(e, w, logr.Discard(), want.get, func(loader.Report, bool, bool) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

func held(e *engine) func() int64 { return func() int64 { v, _ := e.state(); return v } }

// Pattern: a burst of empty servers. Each is loaded as soon as it answers.
func TestEmptyServerIsLoaded(t *testing.T) {
	g := NewWithT(t)
	e, want := &engine{born: 1}, &wanted{}
	want.set(1)
	start(t, e, &weights{}, want)
	g.Eventually(held(e), "3s").Should(Equal(int64(1)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Pattern: a burst of empty servers. Weights are fetched while the server still starts.
func TestWeightsAreFetchedBeforeTheServerAnswers(t *testing.T) {
	g := NewWithT(t)
	e, want, w := &engine{born: 1, dead: true}, &wanted{}, &weights{}
	want.set(1)
	start(t, e, w, want)
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.reads }, "3s").Should(BeNumerically(">=", chunks))
}

// Pattern: after a loss of power an agent learns the named version late. It must not go on asking for the version that it assumed, which
// nobody has any more. Trace: 557 failed reads of version 1 in 18 s at one entry.
func TestFetchBeforeTheServerAnswersFollowsTheTarget(t *testing.T) {
	g := NewWithT(t)
	e, want, w := &engine{born: 1, dead: true}, &wanted{}, &weights{block: map[int64]chan struct{}{1: make(chan struct{})}}
	want.set(1)
	start(t, e, w, want)
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.reads }, "3s").Should(BeNumerically(">", 0))
	want.set(2)
	g.Eventually(func() int64 { w.mu.Lock(); defer w.mu.Unlock(); return w.newest }, "3s").Should(Equal(int64(2)))
}

// Guards against weights that turned bad while they lay staged: what does not fit is staged again before the order.
func TestSpoiltStagedChunkIsMended(t *testing.T) {
	g := NewWithT(t)
	e, want := &engine{born: 1, staged: map[int][]byte{}}, &wanted{}
	for i := range chunks {
		e.staged[i] = chunkData(2, i)
	}
	e.staged[3] = []byte("rotten")
	want.set(2)
	w := &weights{}
	start(t, e, w, want)
	g.Eventually(held(e), "3s").Should(Equal(int64(2)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
	g.Expect(w.reads).To(Equal(1), "what lies there already is not fetched")
}

// Guards against an old version that holds up the newest one.
func TestNewerVersionAbandonsOlder(t *testing.T) {
	g := NewWithT(t)
	e, want := &engine{born: 1}, &wanted{}
	w := &weights{block: map[int64]chan struct{}{2: make(chan struct{})}}
	want.set(2)
	start(t, e, w, want)
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.reads }, "2s").Should(BeNumerically(">", 0))
	want.set(3)
	g.Eventually(held(e), "3s").Should(Equal(int64(3)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against a server that stays empty after a restart under the same ID, and after an order that was refused or whose
// answer was lost.
func TestRestartRefusalAndLostAnswer(t *testing.T) {
	g := NewWithT(t)
	e, want := &engine{born: 1, refuse: 1, loseNext: true}, &wanted{}
	want.set(1)
	start(t, e, &weights{}, want)
	g.Eventually(held(e), "4s").Should(Equal(int64(1)))
	e.mu.Lock()
	e.born, e.held, e.orders, e.staged = 2, 0, 0, nil
	e.mu.Unlock()
	g.Eventually(held(e), "4s").Should(Equal(int64(1)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against all servers of a data centre loading at once: one that serves waits for its turn.
func TestServingServerWaitsForItsTurn(t *testing.T) {
	g := NewWithT(t)
	e, want := &engine{born: 1, held: 1}, &wanted{}
	want.set(2)
	want.t.TurnDelay, want.t.DrainLead = 900*time.Millisecond, 300*time.Millisecond
	start(t, e, &weights{}, want)
	g.Consistently(held(e), "600ms").Should(Equal(int64(1)))
	g.Eventually(held(e), "2s").Should(Equal(int64(2)))
}
