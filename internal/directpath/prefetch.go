package directpath

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// manifestTimeout bounds one attempt to read a manifest. The next change of the fleet state starts another attempt.
	manifestTimeout = 3 * time.Second
	// linkWaitTime is how long after its start an entry waits for links before it prefetches chunks. Without links each entry
	// would consider itself the leader of all chunks (see mesh.Mesh.WeightPeers) and read them from the origin. Links are up
	// within a second.
	linkWaitTime = 1500 * time.Millisecond
	// chunkReaders is the number of chunks of a version that an entry reads concurrently. Four saturate the link of the origin, which
	// sends a chunk every 44 ms, and the wait for each stays far below the timeout of 1.5 s for a request to a peer.
	chunkReaders = 4
)

// weightsCache is the part of chunkcache.Cache that a prefetcher uses. Manifest and Chunk retry until ctx ends.
type weightsCache interface {
	Manifest(ctx context.Context, model string, version int64) ([]string, error)
	Chunk(ctx context.Context, model string, version int64, chunk int) ([]byte, error)
	// Progress returns the fraction of a version's chunks that are held, from 0 to 1, and when a chunk was last stored.
	Progress(model string, version int64) (float64, time.Time)
}

// prefetcher reads weights into the cache of an entry before agents request them.
type prefetcher struct {
	state *fleet.State
	cache weightsCache
	// linkWait is how long prefetchChunks waits for links before it starts.
	linkWait time.Duration
}

// prefetchManifests reads the manifest of the newest version of each model until ctx ends, so that its weights can be verified
// while the origin is unreachable.
func (p *prefetcher) prefetchManifests(ctx context.Context) {
	changed := p.state.Changed()
	fetched := map[string]int64{}
	for {
		for model, version := range p.newestVersions() {
			if fetched[model] == version {
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, manifestTimeout)
			if _, err := p.cache.Manifest(attempt, model, version); err == nil {
				fetched[model] = version
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

// prefetchChunks reads the chunks of the newest version of each model until ctx ends. That includes a version rolled out before this
// process started, as all upstreams may have lost it, and firstVersion, which added upstreams need. When a newer version is
// named, the reads of the older one are cancelled unless chunkcache.FinishThreshold of its chunks are held.
func (p *prefetcher) prefetchChunks(ctx context.Context) {
	changed := p.state.Changed()
	pause.For(ctx, p.linkWait)
	started := map[string]int64{}
	cancelReads := map[string]context.CancelFunc{}
	for {
		for model, version := range p.newestVersions() {
			if started[model] >= version {
				continue
			}
			if share, _ := p.cache.Progress(model, started[model]); cancelReads[model] != nil && share < chunkcache.FinishThreshold {
				cancelReads[model]()
			}
			readCtx, cancel := context.WithCancel(ctx)
			started[model], cancelReads[model] = version, cancel
			go p.readVersion(readCtx, model, version)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// readVersion reads the manifest of a version and starts to read its chunks in ascending order. All entries use the same order, so
// that a source sends first the chunks that all entries wait for, and no entry waits long for one.
func (p *prefetcher) readVersion(ctx context.Context, model string, version int64) {
	digests, err := p.cache.Manifest(ctx, model, version)
	if err != nil {
		return // ctx has ended.
	}
	chunks := make(chan int, len(digests))
	for chunk := range digests {
		chunks <- chunk
	}
	close(chunks)
	for range chunkReaders {
		go p.readChunks(ctx, model, version, chunks)
	}
}

// readChunks reads chunks from the channel until it is drained or ctx ends.
func (p *prefetcher) readChunks(ctx context.Context, model string, version int64, chunks <-chan int) {
	for chunk := range chunks {
		if _, err := p.cache.Chunk(ctx, model, version, chunk); err != nil {
			return // ctx has ended.
		}
	}
}

// newestVersions returns the newest named version of each model in the configuration, or firstVersion where none was named.
func (p *prefetcher) newestVersions() map[string]int64 {
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
			if v, ok := snap.NewestVersion(model); ok {
				out[model] = v.Version
			}
		}
	}
	return out
}
