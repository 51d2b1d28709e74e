package loader_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loader"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

// partial is a source that lacks some chunks until released is closed.
type partial struct {
	weights
	lacks    map[int]bool
	released chan struct{}
}

func (p *partial) here(chunk int) bool {
	select {
	case <-p.released:
		return true
	default:
		return !p.lacks[chunk]
	}
}

func (p *partial) TryChunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	if !p.here(chunk) {
		return nil, errors.WithStack(pieces.ErrNotAvailable)
	}
	return p.weights.Chunk(ctx, model, version, chunk)
}

func (p *partial) Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	if !p.here(chunk) {
		select {
		case <-p.released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return p.weights.Chunk(ctx, model, version, chunk)
}

// Guards against chunks that lie ready and are not brought, as each fetcher waits for a chunk that its source does not have yet.
func TestChunksThatAreThereDoNotWaitForOthers(t *testing.T) {
	g := NewWithT(t)
	e := &engine{born: 1}
	p := &partial{lacks: map[int]bool{0: true, 1: true, 2: true}, released: make(chan struct{})}
	target := &wanted{}
	target.set(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loader.New(e, p, logr.Discard(), target.get, func(loader.Report, bool, bool) {}).Run(ctx)
	staged := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.staged)
	}
	g.Eventually(staged, "1s", "5ms").Should(Equal(chunks - len(p.lacks)))
	g.Consistently(staged, "300ms").Should(Equal(chunks - len(p.lacks)))
	close(p.released)
	began := time.Now()
	g.Eventually(func() int64 { held, _ := e.state(); return held }, "2s", "5ms").Should(Equal(int64(1)))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "what comes late is brought at once")
}
