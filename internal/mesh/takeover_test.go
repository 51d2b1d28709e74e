package mesh_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// configDecoder decodes the key "conf", whose value is the version of the configuration as one byte.
type configDecoder struct{}

func (configDecoder) Prefixes() []catalogsync.Prefix { return []catalogsync.Prefix{{Name: "conf"}} }

func (configDecoder) Decode(_ string, value []byte, _ bool) (catalogsync.Document, error) {
	return catalogsync.Document{Config: &catalog.Config{Version: int64(value[0])}}, nil
}

// configStore is a store in memory that holds only the configuration.
type configStore struct {
	mu      sync.Mutex
	version byte
}

func (s *configStore) put(version byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

func (s *configStore) kv() store.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.KV{Key: "conf", Value: []byte{s.version}, ModRevision: int64(s.version)}
}

// storeClient is the connection of one node to a configStore. Once silent is closed, calls fail 1.2 s after the end of their wait.
type storeClient struct {
	*configStore
	silent chan struct{}
}

func (c *storeClient) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// fail returns the error of a call that gets no answer, 1.2 s after the end of the call's wait.
func (c *storeClient) fail(ctx context.Context, wait time.Duration) error {
	pause.For(ctx, wait+1200*time.Millisecond)
	return errors.WithStack(store.ErrUnavailable)
}

func (c *storeClient) List(ctx context.Context, _ string) (store.Listing, error) {
	if c.isSilent() {
		return store.Listing{}, c.fail(ctx, 0)
	}
	kv := c.kv()
	return store.Listing{KVs: []store.KV{kv}, Cursor: store.Cursor{Revision: kv.ModRevision}}, nil
}

func (c *storeClient) Poll(ctx context.Context, _ string, after store.Cursor, wait time.Duration) ([]store.Event, store.Cursor, error) {
	for deadline := time.Now().Add(wait); ; pause.For(ctx, 5*time.Millisecond) {
		if c.isSilent() {
			return nil, after, c.fail(ctx, time.Until(deadline))
		}
		if kv := c.kv(); kv.ModRevision > after.Revision {
			return []store.Event{{KV: kv}}, store.Cursor{Revision: kv.ModRevision}, nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return nil, after, ctx.Err()
		}
	}
}

// Guards against a change that no node reads for more than 2 s because the connection of the watching node to the store has gone
// silent just before it.
func TestChangeIsReadInTimeWhenTheWatcherLosesTheStore(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	g.Eventually(a.LinkedEntryCount, "3s").Should(Equal(1))
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(1))
	documents := &configStore{version: 1}
	clients := map[*node]*storeClient{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, n := range []*node{a, b} {
		clients[n] = &storeClient{configStore: documents, silent: make(chan struct{})}
		syncer := catalogsync.New(clients[n], configDecoder{}, n.state, logr.Discard(), n.ShouldWatchStore, 0)
		go syncer.Run(ctx)
	}
	time.Sleep(time.Second) // The standby has listed once and receives the staleness of the watcher.
	g.Expect(a.ShouldWatchStore()).NotTo(Equal(b.ShouldWatchStore()), "one node watches")
	watcher := a
	if b.ShouldWatchStore() {
		watcher = b
	}
	close(clients[watcher].silent)
	documents.put(2)
	for _, n := range []*node{a, b} {
		g.Eventually(configVersion(n), "1800ms", "10ms").Should(Equal(int64(2)), n.id)
	}
}
