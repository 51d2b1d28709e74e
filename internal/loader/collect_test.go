package loader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/loader"
)

// partialWeights provides weights of which some chunks are missing until released is closed.
type partialWeights struct {
	fakeWeights
	missing  map[int]bool
	released chan struct{}
}

// available reports whether the source has a chunk.
func (p *partialWeights) available(chunk int) bool {
	select {
	case <-p.released:
		return true
	default:
		return !p.missing[chunk]
	}
}

func (p *partialWeights) TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	if !p.available(chunk) {
		return nil, errors.WithStack(chunkcache.ErrNotAvailable)
	}
	return p.fakeWeights.Chunk(ctx, model, version, chunk)
}

func (p *partialWeights) Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	if !p.available(chunk) {
		select {
		case <-p.released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return p.fakeWeights.Chunk(ctx, model, version, chunk)
}

// Guards against available chunks that are not fetched because each worker waits for a chunk that its source does not have yet.
func TestAvailableChunksDoNotWaitForMissingOnes(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{startedAtMillis: 1}
	p := &partialWeights{missing: map[int]bool{0: true, 1: true, 2: true}, released: make(chan struct{})}
	target := &targetVersion{}
	target.set(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loader.New(e, p, logr.Discard(), target.get, func(loader.Report, bool, bool) {}).Run(ctx)
	staged := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.staged)
	}
	g.Eventually(staged, "1s", "5ms").Should(Equal(chunks - len(p.missing)))
	g.Consistently(staged, "300ms").Should(Equal(chunks - len(p.missing)))
	close(p.released)
	releasedAt := time.Now()
	g.Eventually(func() int64 { loaded, _ := e.state(); return loaded }, "2s", "5ms").Should(Equal(int64(1)))
	g.Expect(time.Since(releasedAt)).To(BeNumerically("<", time.Second), "chunks that become available late are fetched at once")
}

// narrowWeights delivers chunks over a link on which each takes transferTime and waits for those before it. It records the largest
// number of chunks that were on the link at once.
type narrowWeights struct {
	fakeWeights
	transferTime time.Duration
	link         sync.Mutex

	mu sync.Mutex
	// onLink and most are guarded by mu.
	onLink, most int
}

// enter counts a chunk that starts to use the link, leave one that has arrived.
func (n *narrowWeights) enter() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLink++
	n.most = max(n.most, n.onLink)
}

func (n *narrowWeights) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLink--
}

func (n *narrowWeights) TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	n.enter()
	defer n.leave()
	n.link.Lock()
	defer n.link.Unlock()
	time.Sleep(n.transferTime)
	return n.fakeWeights.Chunk(ctx, model, version, chunk)
}

func (n *narrowWeights) Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	return n.TryChunk(ctx, model, version, chunk)
}

// Guards against requests that reach the upstream long after their callers have left, because they wait on a slow link behind several
// chunks. On a fast link, two chunks are fetched at once.
func TestChunksOnLinkAreLimitedByItsSpeed(t *testing.T) {
	for name, tc := range map[string]struct {
		transferTime time.Duration
		most         int
	}{"slow link": {330 * time.Millisecond, 1}, "fast link": {40 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &fakeEngine{startedAtMillis: 1}
			n := &narrowWeights{transferTime: tc.transferTime}
			target := &targetVersion{}
			target.set(1)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go loader.New(e, n, logr.Discard(), target.get, func(loader.Report, bool, bool) {}).Run(ctx)
			g.Eventually(func() int64 { loaded, _ := e.state(); return loaded }, "10s", "5ms").Should(Equal(int64(1)))
			n.mu.Lock()
			defer n.mu.Unlock()
			g.Expect(n.most).To(Equal(tc.most), "chunks on the link at once")
		})
	}
}

// cachedWeights delivers the chunks with an even index from memory, without using the link.
type cachedWeights struct{ narrowWeights }

func (c *cachedWeights) TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	if chunk%2 == 0 {
		return c.fakeWeights.Chunk(ctx, model, version, chunk)
	}
	return c.narrowWeights.TryChunk(ctx, model, version, chunk)
}

// Guards against a slow link that is taken for a fast one because a chunk came from the cache of the node.
func TestCachedChunkDoesNotCountAsTransfer(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{startedAtMillis: 1}
	c := &cachedWeights{narrowWeights{transferTime: 330 * time.Millisecond}}
	target := &targetVersion{}
	target.set(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loader.New(e, c, logr.Discard(), target.get, func(loader.Report, bool, bool) {}).Run(ctx)
	g.Eventually(func() int64 { loaded, _ := e.state(); return loaded }, "10s", "5ms").Should(Equal(int64(1)))
	c.mu.Lock()
	defer c.mu.Unlock()
	g.Expect(c.most).To(Equal(1), "chunks on the link at once")
}
