package straight

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

// recordingCache records the chunks that are asked for. The version stuck never delivers any; slow chunks never come.
type recordingCache struct {
	mu    sync.Mutex
	asked map[int64][]int
	stuck int64
	slow  func(chunk int) bool
}

func (c *recordingCache) Manifest(context.Context, string, int64) ([]string, error) {
	return make([]string, 8), nil
}

func (c *recordingCache) Chunk(ctx context.Context, _ string, version int64, chunk int) ([]byte, error) {
	c.mu.Lock()
	c.asked[version] = append(c.asked[version], chunk)
	stuck := version == c.stuck || c.slow != nil && c.slow(chunk)
	c.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte{1}, nil
}

func (c *recordingCache) Progress(string, int64) (float64, time.Time) { return 0, time.Time{} }

func (c *recordingCache) chunksOf(version int64) func() []int {
	return func() []int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return slices.Clone(c.asked[version])
	}
}

func startPrefetcher(t *testing.T, cache *recordingCache, state *fleet.State) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := &prefetcher{state: state, cache: cache}
	go p.chunks(ctx)
}

func configured() *fleet.State {
	state := fleet.NewState(nil)
	state.ApplyConfig(&catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Models: []string{"m"}}}}}, 1)
	return state
}

// Guards against upstreams that are added, or start again after all have lost power, and whose weights begin to leave the origin only
// when the first agent asks for a chunk.
func TestVersionsOutsideOfARolloutAreReadAhead(t *testing.T) {
	for name, since := range map[string]time.Duration{"first version": 0, "version of long ago": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			state, cache, version := configured(), &recordingCache{asked: map[int64][]int{}}, int64(firstVersion)
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

// Guards against a version that holds up the one named after it.
func TestANewerVersionIsReadAheadBesideAStuckOne(t *testing.T) {
	g := NewWithT(t)
	state, cache := configured(), &recordingCache{asked: map[int64][]int{}, stuck: firstVersion}
	startPrefetcher(t, cache, state)
	g.Eventually(cache.chunksOf(firstVersion), "1s").ShouldNot(BeEmpty())
	state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 2, NamedAt: time.Now()})
	g.Eventually(cache.chunksOf(2), "1s").Should(HaveLen(8))
}

// Guards against one chunk that its leader does not get, and that holds up the others.
func TestAStuckChunkDoesNotHoldUpTheOthers(t *testing.T) {
	g := NewWithT(t)
	state, cache := configured(), &recordingCache{asked: map[int64][]int{}, slow: func(chunk int) bool { return chunk == 0 }}
	startPrefetcher(t, cache, state)
	g.Eventually(cache.chunksOf(firstVersion), "1s").Should(ConsistOf(0, 1, 2, 3, 4, 5, 6, 7))
}
