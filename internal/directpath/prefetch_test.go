package directpath

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// recordingCache records the chunks that are requested, by version. Requests for the version stuckVersion, and for chunks for
// which isStuck returns true, block until their context ends.
type recordingCache struct {
	mu           sync.Mutex
	requested    map[int64][]int
	stuckVersion int64
	isStuck      func(chunk int) bool
}

func (c *recordingCache) Manifest(context.Context, string, int64) ([]string, error) {
	return make([]string, 8), nil
}

func (c *recordingCache) Chunk(ctx context.Context, _ string, version int64, chunk int) ([]byte, error) {
	c.mu.Lock()
	c.requested[version] = append(c.requested[version], chunk)
	stuck := version == c.stuckVersion || c.isStuck != nil && c.isStuck(chunk)
	c.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte{1}, nil
}

func (c *recordingCache) Progress(string, int64) (float64, time.Time) { return 0, time.Time{} }

// chunksOf returns a function that returns the requested chunks of a version.
func (c *recordingCache) chunksOf(version int64) func() []int {
	return func() []int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return slices.Clone(c.requested[version])
	}
}

// startPrefetcher prefetches chunks into cache until the test ends.
func startPrefetcher(t *testing.T, cache *recordingCache, state *fleet.State) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := &prefetcher{state: state, cache: cache}
	go p.prefetchChunks(ctx)
}

// configuredState returns a state whose configuration has the model m and in which no version is named.
func configuredState() *fleet.State {
	state := fleet.NewState(nil)
	state.ApplyConfig(&catalog.Config{Version: 1,
		Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Models: []string{"m"}}}}}, 1)
	return state
}

// Guards against upstreams that are added, or restart after a power failure of the whole fleet, and have to wait because their
// weights are read from the origin only when the first agent requests a chunk.
func TestVersionsOutsideARolloutArePrefetched(t *testing.T) {
	for name, since := range map[string]time.Duration{"first version": 0, "version named an hour ago": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			state, cache, version := configuredState(), &recordingCache{requested: map[int64][]int{}}, int64(firstVersion)
			if since > 0 {
				version = 3
				state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: version}, Revision: 2,
					NamedAt: time.Now().Add(-since)})
			}
			startPrefetcher(t, cache, state)
			g.Eventually(cache.chunksOf(version), "1s").Should(ConsistOf(0, 1, 2, 3, 4, 5, 6, 7))
		})
	}
}

// Guards against a version that cannot be fetched and delays the one named after it.
func TestNewerVersionIsPrefetchedDespiteAStuckOne(t *testing.T) {
	g := NewWithT(t)
	state, cache := configuredState(), &recordingCache{requested: map[int64][]int{}, stuckVersion: firstVersion}
	startPrefetcher(t, cache, state)
	g.Eventually(cache.chunksOf(firstVersion), "1s").ShouldNot(BeEmpty())
	state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 2,
		NamedAt: time.Now()})
	g.Eventually(cache.chunksOf(2), "1s").Should(HaveLen(8))
}

// Guards against a chunk that cannot be fetched and delays the others.
func TestStuckChunkDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	state, cache := configuredState(), &recordingCache{requested: map[int64][]int{},
		isStuck: func(chunk int) bool { return chunk == 0 }}
	startPrefetcher(t, cache, state)
	g.Eventually(cache.chunksOf(firstVersion), "1s").Should(ConsistOf(0, 1, 2, 3, 4, 5, 6, 7))
}
