package chunkcache_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a manifest or chunk that is returned as fetched, without content, because corrupt chunks of another fetch made the cache
// drop the version at the same moment: an agent staged nothing and ordered the load.
func TestVersionThatIsDroppedMeanwhileIsNotReturnedEmpty(t *testing.T) {
	answer := func(chunk int) (*message.WeightsReply, error) {
		switch chunk {
		case message.WholeManifest:
			return &message.WeightsReply{Digests: digests(2, 4)}, nil
		case 3:
			return &message.WeightsReply{Data: []byte("corrupt")}, nil
		default:
			return &message.WeightsReply{Data: chunkData(2, chunk)}, nil
		}
	}
	peers := &fakePeers{order: []string{"a"}, nodes: map[string]func(int) (*message.WeightsReply, error){"a": answer}}
	c := chunkcache.New(testOrigin, nil, peers, logr.Discard())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				if worker%2 == 0 { // Chunk 3 is always corrupt, so that the version is dropped over and over.
					_, _ = c.TryChunk(ctx, "m", 2, 3)
					continue
				}
				if list, err := c.Manifest(ctx, "m", 2); err == nil && len(list) == 0 {
					t.Error("empty manifest")
					return
				}
				if data, err := c.TryChunk(ctx, "m", 2, worker%3); err == nil && data == nil {
					t.Error("empty chunk")
					return
				}
			}
		})
	}
	wg.Wait()
}
