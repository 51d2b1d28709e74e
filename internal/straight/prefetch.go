package straight

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

const (
	// digestPatience bounds one try to read digests; the next change of the catalog starts another one.
	digestPatience = 3 * time.Second
	// settleTime is how long after its start an entry waits for links before it reads chunks ahead: without links each entry takes
	// itself for the leader of all chunks. Links are up within a second.
	settleTime = 1500 * time.Millisecond
	// readers is the number of chunks that an entry reads at once. Four keep the link of the origin busy, with 44 ms for a chunk, and
	// are far from the patience of 1.5 s.
	readers = 4
)

// weightsCache is the part of a cache that reading ahead needs. Manifest and Chunk try until ctx ends.
type weightsCache interface {
	Manifest(ctx context.Context, model string, version int64) ([]string, error)
	Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error)
	// Progress returns the share of a version's chunks that are held, 0..1, and when the newest one came.
	Progress(model string, version int64) (float64, time.Time)
}

// prefetcher reads weights into the cache of an entry before agents ask for them.
type prefetcher struct {
	state  *fleet.State
	cache  weightsCache
	settle time.Duration
}

// digests reads the digests of the versions in use, so that weights can be verified also while the origin is away.
func (p *prefetcher) digests(ctx context.Context) {
	changed := p.state.Changed()
	have := map[string]int64{}
	for {
		for model, version := range p.wantedVersions() {
			if have[model] == version {
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, digestPatience)
			if _, err := p.cache.Manifest(attempt, model, version); err == nil {
				have[model] = version
			}
			cancel()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// chunks reads the chunks of each newest version: of one that is being rolled out, of one that was rolled
// out before this process began, as all upstreams may have lost it, and of the first one, which added upstreams need.
func (p *prefetcher) chunks(ctx context.Context) {
	changed := p.state.Changed()
	pause.For(ctx, p.settle)
	begun := map[string]int64{}
	abandon := map[string]context.CancelFunc{}
	for {
		for model, version := range p.wantedVersions() {
			if begun[model] >= version {
				continue
			}
			if share, _ := p.cache.Progress(model, begun[model]); abandon[model] != nil && share < pieces.FinishThreshold {
				abandon[model]()
			}
			reading, cancel := context.WithCancel(ctx)
			begun[model], abandon[model] = version, cancel
			go p.readAhead(reading, model, version)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// readAhead reads the chunks of a version in order until ctx ends. All entries go through them in the same order, so that the source
// sends those first that everybody waits for, and nobody waits long for one.
func (p *prefetcher) readAhead(ctx context.Context, model string, version int64) {
	digests, err := p.cache.Manifest(ctx, model, version)
	if err != nil {
		return // ctx has ended.
	}
	chunks := make(chan int, len(digests))
	for chunk := range digests {
		chunks <- chunk
	}
	close(chunks)
	for range readers {
		go p.read(ctx, model, version, chunks)
	}
}

// read reads chunks until there are no more or ctx ends.
func (p *prefetcher) read(ctx context.Context, model string, version int64, chunks <-chan int) {
	for chunk := range chunks {
		if _, err := p.cache.Chunk(ctx, model, version, chunk); err != nil {
			return // ctx has ended.
		}
	}
}

// wantedVersions returns the newest version of each model of the configuration.
func (p *prefetcher) wantedVersions() map[string]int64 {
	snap := p.state.Snapshot()
	out := map[string]int64{}
	if snap.Index == nil {
		return out
	}
	for _, service := range snap.Index.Config.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			out[model] = firstVersion
			if v, ok := snap.Newest(model); ok {
				out[model] = v.Version
			}
		}
	}
	return out
}
