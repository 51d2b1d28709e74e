package mesh_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// countedStore is a store with one configuration and one upstream that counts the listings.
type countedStore struct{ listings atomic.Int64 }

// firstStartDecoder decodes the documents of a countedStore.
type firstStartDecoder struct{}

func (firstStartDecoder) Prefixes() []catalogsync.Prefix {
	return []catalogsync.Prefix{{Name: "conf"}, {Name: "upstreams", HoldsUpstreams: true}}
}

func (firstStartDecoder) Decode(key string, _ []byte, _ bool) (catalogsync.Document, error) {
	if key == "conf" {
		return catalogsync.Document{Config: &catalog.Config{Version: 1}}, nil
	}
	return catalogsync.Document{UpstreamID: key, Upstream: &catalog.Upstream{ID: key, Service: "s", DataCentre: "z1"}}, nil
}

func (s *countedStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	s.listings.Add(1)
	pause.For(ctx, 4*time.Millisecond)
	return store.Listing{KVs: []store.KV{{Key: prefix, ModRevision: 1}}, Cursor: store.Cursor{Revision: 1}}, nil
}

func (s *countedStore) Poll(ctx context.Context, _ string, after store.Cursor, wait time.Duration) ([]store.Event, store.Cursor, error) {
	pause.For(ctx, wait)
	return nil, after, ctx.Err()
}

// Guards against a first start at which every entry lists the whole store: 942 calls with 98 entries, and all upstreams over the links between
// regions once for each entry.
func TestFewEntriesListTheStoreAtTheFirstStart(t *testing.T) {
	const startWait = 1500 * time.Millisecond
	onVirtualTime(t, func(t *testing.T, entries int) {
		g := NewWithT(t)
		network, documents := newNetwork(uint64(entries)), &countedStore{}
		var nodes []*node
		for i := range entries {
			n := startNode(t, options{id: entryID(i), dataCentre: "z1", role: message.RoleEntry, network: network, startWait: startWait,
				seeds: []string{entryID(0), entryID(1), entryID(2)}})
			go catalogsync.New(documents, firstStartDecoder{}, n.state, logr.Discard(), n.ShouldWatchStore, 0).
				WaitForPeers(startWait).Run(t.Context())
			nodes = append(nodes, n)
		}
		time.Sleep(startWait + time.Second)
		for _, n := range nodes {
			g.Expect(n.state.Snapshot().Ready()).To(BeTrue(), "%s of %d", n.id, entries)
		}
		const prefixes, watchers = 2, 4 // One entry watches; others may have ranked first until all links were up.
		g.Expect(documents.listings.Load()).To(BeNumerically("<=", prefixes*watchers), "listings of %d entries", entries)
	})
}
