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

// recordingCache records the chunks that are asked for. A version in stuck never delivers any.
type recordingCache struct {
	mu    sync.Mutex
	asked map[int64][]int
	stuck int64
}

func (c *recordingCache) Manifest(context.Context, string, int64) ([]string, error) {
	return make([]string, 8), nil
}

func (c *recordingCache) Chunk(ctx context.Context, _ string, version int64, chunk int) ([]byte, error) {
	c.mu.Lock()
	c.asked[version] = append(c.asked[version], chunk)
	stuck := version == c.stuck
	c.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []byte{1}, nil
}

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
	p := &prefetcher{state: state, cache: cache, leads: func(_ string, _ int64, chunk int) bool { return chunk%2 == 0 }}
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
				state.ApplyVersion(fleet.Version{NamedVersion: catalog.NamedVersion{Model: "m", Version: version}, Revision: 2,
					Since: time.Now().Add(-since)})
			}
			startPrefetcher(t, cache, state)
			g.Eventually(cache.chunksOf(version), "1s").Should(Equal([]int{0, 2, 4, 6}), "only what this entry leads for")
		})
	}
}

// Guards against a version that holds up the one named after it.
func TestANewerVersionIsReadAheadBesideAStuckOne(t *testing.T) {
	g := NewWithT(t)
	state, cache := configured(), &recordingCache{asked: map[int64][]int{}, stuck: firstVersion}
	startPrefetcher(t, cache, state)
	g.Eventually(cache.chunksOf(firstVersion), "1s").Should(HaveLen(1))
	state.ApplyVersion(fleet.Version{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 2, Since: time.Now()})
	g.Eventually(cache.chunksOf(2), "1s").Should(HaveLen(4))
}
