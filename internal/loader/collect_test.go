package loader_test

import (
	"context"
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
