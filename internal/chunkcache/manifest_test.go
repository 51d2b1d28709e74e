package chunkcache_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/message"
)

// slowPeers answer each request for a manifest after the delay of the node.
type slowPeers struct {
	fakePeers
	delays map[string]time.Duration
}

func (p *slowPeers) FetchWeights(ctx context.Context, from chunkcache.Source, _ string, version int64, _ int) (*message.WeightsReply, error) {
	select {
	case <-time.After(p.delays[from.NodeID]):
		return &message.WeightsReply{Digests: digests(version, 4)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against nodes that wait for each other when a fleet starts: a node asked a peer that lacked the manifest itself, and waited 1.5 s before
// it asked one that had it. Also guards against a node that never gets the manifest because its link is slow.
func TestManifestIsRequestedElsewhereSoon(t *testing.T) {
	for name, c := range map[string]struct {
		delays map[string]time.Duration
		within time.Duration
	}{
		"the first two lack it": {map[string]time.Duration{"a": time.Hour, "b": time.Hour, "c": 5 * time.Millisecond}, 700 * time.Millisecond},
		"slow link":             {map[string]time.Duration{"a": time.Second, "b": time.Second, "c": time.Second}, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				peers := &slowPeers{fakePeers: fakePeers{order: []string{"a", "b", "c"}}, delays: c.delays}
				started := time.Now()
				_, err := chunkcache.New(testOrigin, nil, peers, logr.Discard()).Manifest(testContext(t), "m", 2)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(time.Since(started)).To(BeNumerically("<", c.within))
			})
		})
	}
}
