package catalogsync_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// documents reads keys "conf" (a version) and "up/ID" (a beat; "torn" cannot be read).
type documents struct{}

func (documents) Prefixes() []catalogsync.Prefix {
	return []catalogsync.Prefix{{Name: "conf"}, {Name: "up/", HoldsUpstreams: true}}
}

func (documents) Decode(key string, value []byte, deleted bool) (catalogsync.Document, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if key == "conf" {
		return catalogsync.Document{Config: &catalog.Config{Version: n}}, err
	}
	f := catalogsync.Document{UpstreamID: strings.TrimPrefix(key, "up/")}
	if deleted || err != nil {
		return f, err
	}
	f.Upstream = &catalog.Upstream{ID: f.UpstreamID, Service: "s", State: catalog.Ready, Sequence: n}
	return f, nil
}

// memory is a store in memory whose polls wait.
type memory struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]store.KV
	events   []store.Event
	oldest   int64
	down     bool
	calls    int
}

func newMemory() *memory { return &memory{revision: 1, keys: map[string]store.KV{}} }

func (m *memory) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	kv := store.KV{Key: key, Value: []byte(value), ModRevision: m.revision}
	m.keys[key] = kv
	m.events = append(m.events, store.Event{KV: kv})
}

func (m *memory) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.keys, key)
	m.events = append(m.events, store.Event{KV: store.KV{Key: key, ModRevision: m.revision}, Deleted: true})
}

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memory) List(_ context.Context, prefix string) (store.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return store.Listing{}, errors.WithStack(store.ErrUnavailable)
	}
	out := store.Listing{Revision: m.revision}
	for _, kv := range m.keys {
		if strings.HasPrefix(kv.Key, prefix) {
			out.KVs = append(out.KVs, kv)
		}
	}
	return out, nil
}

func (m *memory) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	until := time.Now().Add(wait)
	m.set(func() { m.calls++ })
	for {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			return nil, 0, errors.WithStack(store.ErrUnavailable)
		}
		if after < m.oldest {
			m.mu.Unlock()
			return nil, 0, errors.WithStack(store.ErrCompacted)
		}
		var out []store.Event
		for _, e := range m.events {
			if e.KV.ModRevision > after && strings.HasPrefix(e.KV.Key, prefix) {
				out = append(out, e)
			}
		}
		revision := m.revision
		m.mu.Unlock()
		if len(out) > 0 || time.Now().After(until) || ctx.Err() != nil {
			return out, revision, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func start(t *testing.T, m *memory, active func() bool) *fleet.State {
	state := fleet.NewState(nil)
	s := catalogsync.New(m, documents{}, state, logr.Discard(), active, 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return state
}

func always() bool { return true }

func version(s *fleet.State) func() int64 {
	return func() int64 {
		if x := s.Snapshot().Index; x != nil {
			return x.Config.Version
		}
		return 0
	}
}

func ids(s *fleet.State) func() []string {
	return func() []string {
		out := []string{}
		for _, u := range s.Snapshot().Upstreams("s") {
			out = append(out, u.ID)
		}
		return out
	}
}

// Guards against changes that a watcher misses, also when one cannot be read.
func TestChangesArrive(t *testing.T) {
	g := NewWithT(t)
	m := newMemory()
	m.put("conf", "1")
	m.put("up/a", "1")
	s := start(t, m, always)
	g.Eventually(version(s), "2s").Should(Equal(int64(1)))
	g.Eventually(func() bool { return s.Snapshot().Ready() }, "2s").Should(BeTrue())
	m.put("conf", "torn")
	m.put("up/b", "torn")
	m.put("conf", "2")
	m.put("up/c", "1")
	m.remove("up/a")
	g.Eventually(version(s), "2s").Should(Equal(int64(2)))
	g.Eventually(ids(s), "2s").Should(Equal([]string{"c"}))
}

// Guards against a view that stays old after the store has dropped the history that a watcher needs.
func TestListsAgainWhenHistoryIsGone(t *testing.T) {
	g := NewWithT(t)
	m := newMemory()
	m.put("conf", "1")
	m.put("up/a", "1")
	s := start(t, m, always)
	g.Eventually(ids(s), "2s").Should(Equal([]string{"a"}))
	m.set(func() {
		m.revision += 10
		m.oldest = m.revision
		m.events = nil
		delete(m.keys, "up/a")
		m.keys["up/b"] = store.KV{Key: "up/b", Value: []byte("1"), ModRevision: m.revision}
		m.keys["conf"] = store.KV{Key: "conf", Value: []byte("5"), ModRevision: m.revision}
	})
	g.Eventually(version(s), "6s").Should(Equal(int64(5)))
	g.Eventually(ids(s), "6s").Should(Equal([]string{"b"}))
}

// Guards against dropping upstreams whose announcements lapsed with the store, and against keeping those that do not return.
func TestLapsedUpstreamsAreHeldUntilTheyHadTimeToReturn(t *testing.T) {
	g := NewWithT(t)
	m := newMemory()
	m.put("conf", "1")
	m.put("up/alive", "1")
	m.put("up/dead", "1")
	s := start(t, m, always)
	g.Eventually(ids(s), "2s").Should(Equal([]string{"alive", "dead"}))
	m.set(func() { m.down = true })
	time.Sleep(2 * time.Second)
	m.remove("up/alive")
	m.remove("up/dead")
	m.set(func() { m.down = false })
	g.Consistently(ids(s), "1200ms").Should(Equal([]string{"alive", "dead"}))
	m.put("up/alive", "2")
	g.Eventually(ids(s), "6s").Should(Equal([]string{"alive"}))
}

// Guards against every node watching the store: calls are limited and priced.
func TestOnlyActiveNodesWatch(t *testing.T) {
	g := NewWithT(t)
	m := newMemory()
	m.put("conf", "1")
	var active atomic.Bool
	s := start(t, m, active.Load)
	g.Eventually(version(s), "2s").Should(Equal(int64(1)), "every node lists once")
	time.Sleep(100 * time.Millisecond)
	m.put("conf", "2")
	g.Consistently(version(s), "400ms").Should(Equal(int64(1)))
	var calls int
	m.set(func() { calls = m.calls })
	g.Expect(calls).To(Equal(2))
	active.Store(true)
	g.Eventually(version(s), "2s").Should(Equal(int64(2)), "a node that has to watch lists again first")
}
