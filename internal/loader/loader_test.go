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
	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/loader"
	"github.com/pimentohead/pimentohead/internal/turns"
)

const (
	model  = "m"
	layers = 16
	chunks = 6
)

// chunkData returns the correct content of a chunk.
func chunkData(version int64, chunk int) []byte { return fmt.Appendf(nil, "%d/%d", version, chunk) }

// digestOf returns the hex SHA-256 digest of data.
func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// fakeEngine is a model server that loads the staged chunks when it receives a load order.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int][]byte
	// loaded is the version that is loaded, or 0.
	loaded int64
	// mixed is set once a load found a staged chunk that is not of the ordered version, lastMixed if the last one did.
	mixed, lastMixed bool
	startedAtMillis  int64
	// orders counts the accepted orders.
	orders int64
	// refuseNext is the number of orders still to be refused.
	refuseNext int
	// loseNextAnswer makes the next accepted order return ErrUnknownOutcome.
	loseNextAnswer bool
	// delayNextOrder makes the next order return ErrUnknownOutcome and be carried out when the staged chunks are next read back. Its
	// function is delayed.
	delayNextOrder bool
	delayed        func()
	// down makes requests for a report fail.
	down bool
	// onOrder, unless nil, is called before an order is carried out.
	onOrder func(e *fakeEngine)
	// loading is a version of which the first layer is loaded beside the loaded version, or 0.
	loading int64
	// holdNextReport, unless nil, is received from, once, before the report that follows is returned.
	holdNextReport chan struct{}
	// readDelay is how long it takes to read a staged chunk back.
	readDelay time.Duration
	// onSession, unless nil, is called, once, before a session begins.
	onSession func(e *fakeEngine)
	// losePowerWhenStaged makes the engine lose its staged chunks and start anew, once, as soon as all chunks are staged.
	losePowerWhenStaged bool
}

func (e *fakeEngine) Report(context.Context) (loader.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return loader.Report{}, errors.New("connection refused")
	}
	r := loader.Report{StartedAtMillis: e.startedAtMillis, OrdersAccepted: e.orders}
	if e.loaded > 0 {
		r.Models = []catalog.LoadedLayers{{Model: model, Version: e.loaded, From: 0, To: layers}}
	}
	if e.loading > 0 {
		r.Models = append(r.Models, catalog.LoadedLayers{Model: model, Version: e.loading, From: 0, To: 1})
	}
	if hold := e.holdNextReport; hold != nil {
		e.holdNextReport = nil
		e.mu.Unlock()
		<-hold
		e.mu.Lock()
	}
	return r, nil
}

func (e *fakeEngine) NewSession() loader.Session {
	e.mu.Lock()
	onSession := e.onSession
	e.onSession = nil
	e.mu.Unlock()
	if onSession != nil {
		onSession(e)
	}
	return e
}

// corrupt makes a staged chunk turn bad.
func (e *fakeEngine) corrupt(chunk int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[chunk] = []byte("corrupt")
}

// take loads the staged chunks. The caller must hold e.mu.
func (e *fakeEngine) take(version int64) {
	e.orders, e.loaded, e.lastMixed = e.orders+1, version, false
	for i := range chunks {
		e.lastMixed = e.lastMixed || string(e.staged[i]) != string(chunkData(version, i))
	}
	e.mixed = e.mixed || e.lastMixed
}

func (e *fakeEngine) Close() {}

func (e *fakeEngine) Load(_ context.Context, order loader.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuseNext > 0 {
		e.refuseNext--
		return errors.WithStack(loader.ErrRefused)
	}
	if order.OrdersAccepted != e.orders {
		return errors.WithStack(loader.ErrRefused)
	}
	if e.delayNextOrder {
		e.delayNextOrder = false
		e.delayed = func() { e.take(order.Version) }
		return errors.WithStack(loader.ErrUnknownOutcome)
	}
	if e.onOrder != nil {
		e.onOrder(e)
	}
	e.take(order.Version)
	if e.loseNextAnswer {
		e.loseNextAnswer = false
		return errors.WithStack(loader.ErrUnknownOutcome)
	}
	return nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged == nil {
		e.staged = map[int][]byte{}
	}
	e.staged[chunk] = data
	if e.losePowerWhenStaged && len(e.staged) == chunks {
		e.losePowerWhenStaged = false
		e.startedAtMillis, e.staged, e.orders = e.startedAtMillis+1, nil, 0
	}
	return nil
}

func (e *fakeEngine) ReadStaged(_ context.Context, _ string, chunk int) ([]byte, error) {
	time.Sleep(e.readDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delayed != nil {
		e.delayed()
		e.delayed = nil
	}
	return e.staged[chunk], nil
}

func (e *fakeEngine) state() (loaded int64, mixed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded, e.mixed
}

// fakeWeights provides any version and counts reads of chunks.
type fakeWeights struct {
	mu    sync.Mutex
	reads int
	// newest is the highest version of which a chunk was read.
	newest int64
	// block delays all chunks of a version until its channel is closed.
	block map[int64]chan struct{}
}

func (w *fakeWeights) Manifest(_ context.Context, _ string, version int64) ([]string, error) {
	var out []string
	for i := range chunks {
		out = append(out, digestOf(chunkData(version, i)))
	}
	return out, nil
}

func (w *fakeWeights) Chunk(ctx context.Context, _ string, version int64, chunk int) ([]byte, error) {
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

func (w *fakeWeights) TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	w.mu.Lock()
	blocked := w.block[version] != nil
	w.mu.Unlock()
	if blocked {
		return nil, errors.WithStack(chunkcache.ErrNotAvailable)
	}
	return w.Chunk(ctx, model, version, chunk)
}

// targetVersion is the target that the loader is given.
type targetVersion struct {
	mu     sync.Mutex
	target loader.Target
}

func (v *targetVersion) set(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target = loader.Target{Model: model, Version: version, Layers: layers, NamedAt: time.Now()}
}

func (v *targetVersion) get() (loader.Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.target, v.target.Version > 0
}

// start runs a loader until the test ends.
func start(t *testing.T, e *fakeEngine, w loader.Weights, target *targetVersion) *loader.Loader {
	return startPublishing(t, e, w, target, func(loader.Report, bool, bool) {})
}

// startPublishing runs a loader that publishes its reports until the test ends.
func startPublishing(t *testing.T, e *fakeEngine, w loader.Weights, target *targetVersion, publish func(loader.Report, bool, bool)) *loader.Loader {
	l := loader.New(e, w, logr.Discard(), target.get, publish)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// loadedVersion returns a function that returns the version loaded into e.
func loadedVersion(e *fakeEngine) func() int64 {
	return func() int64 { loaded, _ := e.state(); return loaded }
}

// Guards against an upstream that starts without weights and is not loaded as soon as it answers, as in a burst of new upstreams.
func TestEmptyServerIsLoaded(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
	target.set(1)
	start(t, e, &fakeWeights{}, target)
	g.Eventually(loadedVersion(e), "3s").Should(Equal(int64(1)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against a new upstream that waits for weights because fetching began only after it had started, as in a burst of new
// upstreams.
func TestWeightsArePrefetchedBeforeTheServerAnswers(t *testing.T) {
	g := NewWithT(t)
	e, target, w := &fakeEngine{startedAtMillis: 1, down: true}, &targetVersion{}, &fakeWeights{}
	target.set(1)
	start(t, e, w, target)
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.reads }, "3s").Should(BeNumerically(">=", chunks))
}

// Guards against an agent that learns the named version late after a power failure and keeps requesting the version that it
// assumed, which no node has any more. One entry saw 557 failed reads of version 1 in 18 s.
func TestPrefetchBeforeTheServerAnswersFollowsTheTarget(t *testing.T) {
	g := NewWithT(t)
	e, target, w := &fakeEngine{startedAtMillis: 1, down: true}, &targetVersion{},
		&fakeWeights{block: map[int64]chan struct{}{1: make(chan struct{})}}
	target.set(1)
	start(t, e, w, target)
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.reads }, "3s").Should(BeNumerically(">", 0))
	target.set(2)
	g.Eventually(func() int64 { w.mu.Lock(); defer w.mu.Unlock(); return w.newest }, "3s").Should(Equal(int64(2)))
}

// Guards against loading a chunk that was corrupted after it was staged: chunks that do not match their digests are staged again
// before the load order.
func TestCorruptStagedChunkIsStagedAgain(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, staged: map[int][]byte{}}, &targetVersion{}
	for i := range chunks {
		e.staged[i] = chunkData(2, i)
	}
	e.staged[3] = []byte("corrupt")
	target.set(2)
	w := &fakeWeights{}
	start(t, e, w, target)
	g.Eventually(loadedVersion(e), "3s").Should(Equal(int64(2)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
	g.Expect(w.reads).To(Equal(1), "chunks that are staged already are not fetched")
}

// Guards against an older version that delays the newest one.
func TestNewerVersionCancelsOlderOne(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
	w := &fakeWeights{block: map[int64]chan struct{}{2: make(chan struct{})}}
	target.set(2)
	start(t, e, w, target)
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.reads }, "2s").Should(BeNumerically(">", 0))
	target.set(3)
	g.Eventually(loadedVersion(e), "3s").Should(Equal(int64(3)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against an upstream that stays without weights after a restart under the same ID, after a refused load order, or after an
// order whose answer was lost.
func TestLoadRecoversFromRestartRefusalAndLostAnswer(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, refuseNext: 1, loseNextAnswer: true}, &targetVersion{}
	target.set(1)
	start(t, e, &fakeWeights{}, target)
	g.Eventually(loadedVersion(e), "4s").Should(Equal(int64(1)))
	e.mu.Lock()
	e.startedAtMillis, e.loaded, e.orders, e.staged = 2, 0, 0, nil
	e.mu.Unlock()
	g.Eventually(loadedVersion(e), "4s").Should(Equal(int64(1)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against a second order, which interrupts requests once more, for a version that was loaded meanwhile by an order without an answer.
func TestOrderThatIsCarriedOutLateIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, loaded: 1, delayNextOrder: true}, &targetVersion{}
	target.set(2)
	start(t, e, &fakeWeights{}, target)
	g.Eventually(loadedVersion(e), "4s", "1ms").Should(Equal(int64(2)))
	g.Consistently(func() int64 { e.mu.Lock(); defer e.mu.Unlock(); return e.orders }, "300ms", "10ms").Should(Equal(int64(1)))
}

// Guards against an order to an upstream that has lost its staged chunks since they were verified: it loaded nothing, or other bytes, and
// reported the version as loaded.
func TestUpstreamThatRestartsAfterStagingIsStagedAgain(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, losePowerWhenStaged: true}, &targetVersion{}
	target.set(1)
	start(t, e, &fakeWeights{}, target)
	g.Eventually(loadedVersion(e), "4s").Should(Equal(int64(1)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against all upstreams of a data centre loading at once: an upstream that serves requests waits for its turn.
func TestServingServerWaitsForItsTurn(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, loaded: 1}, &targetVersion{}
	target.set(2)
	target.target.Turn, target.target.DrainLead = turns.Turn{Delay: 900 * time.Millisecond}, 300*time.Millisecond
	start(t, e, &fakeWeights{}, target)
	g.Consistently(loadedVersion(e), "600ms").Should(Equal(int64(1)))
	g.Eventually(loadedVersion(e), "2s").Should(Equal(int64(2)))
}

// Guards against an older version that is loaded when no request may begin on it any more: staging can take longer than expected.
func TestVersionIsNotLoadedAfterTheEndOfItsUse(t *testing.T) {
	for name, test := range map[string]struct {
		use  time.Duration
		want int64
	}{"use ends while a chunk is missing": {loader.LoadDuration + 100*time.Millisecond, 0}, "long use": {time.Hour, 2}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
			w := &partialWeights{missing: map[int]bool{0: true}, released: make(chan struct{})}
			target.set(2)
			target.target.NextVersion, target.target.UsableUntil = 3, time.Now().Add(test.use)
			start(t, e, w, target)
			time.Sleep(200 * time.Millisecond)
			close(w.released)
			time.Sleep(500 * time.Millisecond)
			g.Expect(loadedVersion(e)()).To(Equal(test.want))
			target.set(3)
			g.Eventually(loadedVersion(e), "2s").Should(Equal(int64(3)))
		})
	}
}

// Guards against an agent that cannot tell which version it has begun to stage, and abandons it halfway.
func TestLastTargetIsTheOneBeingStaged(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
	w := &partialWeights{missing: map[int]bool{0: true}, released: make(chan struct{})}
	target.set(2)
	target.target.NextVersion = 3
	l := start(t, e, w, target)
	g.Eventually(func() int64 { return l.LastTarget().Version }, "1s").Should(Equal(int64(2)))
	g.Expect(l.LastTarget().NextVersion).To(Equal(int64(3)))
	close(w.released)
	g.Eventually(loadedVersion(e), "2s").Should(Equal(int64(2)))
}

// Guards against an older version that replaces a newer one, when an agent has restarted and the naming of the newer version is known to no
// node any more, and against a server that then stays on its version after the next naming.
func TestNewerVersionIsNotReplacedByAnOlderOne(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, loaded: 3}, &targetVersion{}
	target.set(2)
	start(t, e, &fakeWeights{}, target)
	g.Consistently(loadedVersion(e), "600ms", "5ms").Should(Equal(int64(3)))
	target.set(4)
	g.Eventually(loadedVersion(e), "3s").Should(Equal(int64(4)))
}

// Guards against an older version that replaces a complete newer one, because some layers of a third version are loaded beside that.
func TestCompleteNewerVersionIsKeptBesideAnIncompleteOne(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, loaded: 3, loading: 4}, &targetVersion{}
	target.set(2)
	start(t, e, &fakeWeights{}, target)
	g.Consistently(loadedVersion(e), "600ms", "5ms").Should(Equal(int64(3)))
}

// Guards against an older version that replaces a newer one whose load the agent's previous process had ordered, and which completes while
// the older one is staged.
func TestNewerVersionThatIsLoadedMeanwhileIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
	w := &fakeWeights{block: map[int64]chan struct{}{2: make(chan struct{})}}
	target.set(2)
	start(t, e, w, target)
	time.Sleep(300 * time.Millisecond) // The agent is staging version 2.
	e.mu.Lock()
	e.loaded = 3
	e.mu.Unlock()
	w.mu.Lock()
	close(w.block[2])
	delete(w.block, 2)
	w.mu.Unlock()
	g.Consistently(loadedVersion(e), "2s", "5ms").Should(Equal(int64(3)))
}

// Guards against a report that was requested earlier and arrives later than another one, and puts the state of the upstream back: entries
// then took it for one without the version that it had loaded.
func TestLateReportDoesNotReplaceANewerOne(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, holdNextReport: make(chan struct{})}, &targetVersion{}
	held := e.holdNextReport
	var mu sync.Mutex
	var published []bool
	l := loader.New(e, &fakeWeights{}, logr.Discard(), target.get, func(r loader.Report, _, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		published = append(published, r.HasVersion(model, 2, layers))
	})
	go loader.PollOnce(l, t.Context())
	g.Eventually(func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.holdNextReport == nil }, "1s").Should(BeTrue())
	e.mu.Lock()
	e.loaded = 2
	e.mu.Unlock()
	loader.PollOnce(l, t.Context())
	close(held)
	g.Consistently(func() []bool { mu.Lock(); defer mu.Unlock(); return published }, "50ms").ShouldNot(ContainElement(false))
	g.Expect(published).NotTo(BeEmpty())
	g.Expect(l.ServesVersion(model, 2)).To(BeTrue())
}
