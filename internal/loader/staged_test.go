package loader_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loader"
)

// Guards against a load of chunks that turned bad while the rest was staged, at an upstream that has no version to serve meanwhile: the origin was away
// for 6 s, chunks staged before turned bad, and the upstream answered from them (WHOLE, review/1). A crash keeps the staged chunks.
func TestChunkThatTurnsBadDuringStagingIsNotLoaded(t *testing.T) {
	for name, crash := range map[string]bool{"upstream added": false, "upstream crashed before": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
			w := &partialWeights{missing: map[int]bool{chunks - 1: true}, released: make(chan struct{})}
			target.set(2)
			start(t, e, w, target)
			g.Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.staged) }, "1s").Should(Equal(chunks - 1))
			if crash {
				e.mu.Lock()
				e.startedAtMillis++
				e.mu.Unlock()
				time.Sleep(300 * time.Millisecond) // The staged chunks are verified.
			}
			e.corrupt(0)
			time.Sleep(time.Second) // The origin is away.
			close(w.released)
			g.Eventually(loadedVersion(e), "3s").Should(Equal(int64(2)))
			_, mixed := e.state()
			g.Expect(mixed).To(BeFalse())
		})
	}
}

// Guards against an order that follows long after the verification, as the upstream was silent in between.
func TestSilenceBeforeTheOrderMakesTheVerificationRepeat(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1}, &targetVersion{}
	e.onSession = func(e *fakeEngine) {
		time.Sleep(time.Second)
		e.corrupt(2)
	}
	target.set(2)
	start(t, e, &fakeWeights{}, target)
	g.Eventually(loadedVersion(e), "4s").Should(Equal(int64(2)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against an upstream without weights for good, or for long, because it takes longer to read all chunks back than a verification may be old.
func TestUpstreamWithSlowReadsIsLoaded(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, readDelay: 600 * time.Millisecond}, &targetVersion{}
	target.set(2)
	start(t, e, &fakeWeights{}, target)
	g.Eventually(loadedVersion(e), "9s").Should(Equal(int64(2)))
	_, mixed := e.state()
	g.Expect(mixed).To(BeFalse())
}

// Guards against an upstream that serves from chunks that turned bad between the verification and an order that it carried out late, after its
// answer was given up: it counts as swapping until it has loaded matching chunks.
func TestOrderCarriedOutLateWithBadChunksIsRepeated(t *testing.T) {
	g := NewWithT(t)
	e, target := &fakeEngine{startedAtMillis: 1, delayNextOrder: true}, &targetVersion{}
	e.onSession = func(e *fakeEngine) { e.corrupt(2) }
	target.set(2)
	var mu sync.Mutex
	served := 0
	startPublishing(t, e, &fakeWeights{}, target, func(r loader.Report, swapping, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		if e.mu.Lock(); e.lastMixed && r.HasVersion(model, 2, layers) && !swapping {
			served++
		}
		e.mu.Unlock()
	})
	g.Eventually(func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.loaded == 2 && !e.lastMixed }, "5s", "5ms").Should(BeTrue())
	g.Consistently(func() int64 { e.mu.Lock(); defer e.mu.Unlock(); return e.orders }, "300ms", "10ms").Should(Equal(int64(2)))
	mu.Lock()
	defer mu.Unlock()
	g.Expect(served).To(BeZero(), "reports that show bad layers as ready")
}
