package catalogsync_test

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// testDecoder decodes the key "conf", whose value is the version of the configuration, the key "conf/weights", whose value is the
// named version of model m, and the keys "up/ID", whose value is the sequence number of the upstream's announcement. A value that is
// not a number cannot be decoded.
type testDecoder struct{}

func (testDecoder) Prefixes() []catalogsync.Prefix {
	return []catalogsync.Prefix{{Name: "conf"}, {Name: "up/", HoldsUpstreams: true}}
}

func (testDecoder) Decode(key string, value []byte, deleted bool) (catalogsync.Document, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if key == "conf" {
		return catalogsync.Document{Config: &catalog.Config{Version: n}}, err
	}
	if key == "conf/weights" {
		return catalogsync.Document{Version: &catalog.NamedVersion{Model: "m", Version: n}}, err
	}
	document := catalogsync.Document{UpstreamID: strings.TrimPrefix(key, "up/")}
	if deleted || err != nil {
		return document, err
	}
	document.Upstream = &catalog.Upstream{ID: document.UpstreamID, Service: "s", State: catalog.Ready, Sequence: n}
	return document, nil
}

// memoryStore is a store in memory. Poll waits until there are changes, the timeout has passed or ctx ends.
type memoryStore struct {
	mu sync.Mutex
	// era is the era of the store; see restore.
	era      int64
	revision int64
	keys     map[string]store.KV
	events   []store.Event
	// compactedBefore is the revision below which polls return store.ErrCompacted.
	compactedBefore int64
	// down makes all calls return store.ErrUnavailable, after failureDelay.
	down         bool
	failureDelay time.Duration
	// silentPrefixes are the prefixes for which calls get no answer: they fail 1.2 s after the end of their wait.
	silentPrefixes []string
	// listDelay is the time that List takes.
	listDelay time.Duration
	// calls counts the calls of List and Poll.
	calls int
}

func newMemoryStore() *memoryStore { return &memoryStore{revision: 1, keys: map[string]store.KV{}} }

func (m *memoryStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	kv := store.KV{Key: key, Value: []byte(value), ModRevision: m.revision, Era: m.era}
	m.keys[key] = kv
	m.events = append(m.events, store.Event{KV: kv})
}

func (m *memoryStore) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.keys, key)
	m.events = append(m.events, store.Event{KV: store.KV{Key: key, ModRevision: m.revision, Era: m.era}, Deleted: true})
}

// restore begins a new era at a lower revision, in which the store holds only the given keys and values, with the revisions up to it.
func (m *memoryStore) restore(revision int64, keys map[string]string) {
	m.withLock(func() {
		m.era++
		m.revision, m.keys, m.events = revision-int64(len(keys)), map[string]store.KV{}, nil
	})
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		m.put(key, keys[key])
	}
}

func (m *memoryStore) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memoryStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	pause.For(ctx, m.listDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if slices.Contains(m.silentPrefixes, prefix) {
		m.mu.Unlock()
		err := m.awaitTimeout(ctx, time.Now())
		m.mu.Lock()
		return store.Listing{}, err
	}
	if m.down {
		return store.Listing{}, errors.WithStack(store.ErrUnavailable)
	}
	out := store.Listing{Cursor: store.Cursor{Era: m.era, Revision: m.revision}}
	for _, kv := range m.keys {
		if strings.HasPrefix(kv.Key, prefix) {
			out.KVs = append(out.KVs, kv)
		}
	}
	return out, nil
}

func (m *memoryStore) Poll(ctx context.Context, prefix string, after store.Cursor, wait time.Duration) (
	[]store.Event, store.Cursor, error) {
	deadline := time.Now().Add(wait)
	m.withLock(func() { m.calls++ })
	for {
		m.mu.Lock()
		if slices.Contains(m.silentPrefixes, prefix) {
			m.mu.Unlock()
			return nil, after, m.awaitTimeout(ctx, deadline)
		}
		if m.down {
			delay := m.failureDelay
			m.mu.Unlock()
			pause.For(ctx, delay)
			return nil, after, errors.WithStack(store.ErrUnavailable)
		}
		if after.Era != m.era {
			m.mu.Unlock()
			return nil, after, errors.WithStack(store.ErrRestored)
		}
		if after.Revision < m.compactedBefore {
			m.mu.Unlock()
			return nil, after, errors.WithStack(store.ErrCompacted)
		}
		var out []store.Event
		for _, e := range m.events {
			if e.KV.ModRevision > after.Revision && strings.HasPrefix(e.KV.Key, prefix) {
				out = append(out, e)
			}
		}
		revision := m.revision
		m.mu.Unlock()
		if len(out) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return out, store.Cursor{Era: after.Era, Revision: revision}, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitTimeout returns the error of a call that gets no answer, 1.2 s after the end of the call's wait.
func (*memoryStore) awaitTimeout(ctx context.Context, deadline time.Time) error {
	pause.For(ctx, time.Until(deadline)+1200*time.Millisecond)
	return errors.WithStack(store.ErrUnavailable)
}

// startSyncer runs a Syncer until the test ends and returns the state that it keeps up to date.
func startSyncer(t *testing.T, m *memoryStore, active func() bool) *fleet.State {
	state := fleet.NewState(nil)
	syncer := catalogsync.New(m, testDecoder{}, state, logr.Discard(), active, testVersionAge)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return state
}

// testVersionAge is the age that versions named before the start of the syncer are assumed to have then.
const testVersionAge = 5 * time.Second

func alwaysActive() bool { return true }

// configVersion returns a function that reads the version of the configuration in force, or 0.
func configVersion(s *fleet.State) func() int64 {
	return func() int64 {
		if index := s.Snapshot().Index; index != nil {
			return index.Config.Version
		}
		return 0
	}
}

// upstreamIDs returns a function that reads the IDs of the upstreams of service "s".
func upstreamIDs(s *fleet.State) func() []string {
	return func() []string {
		out := []string{}
		for _, u := range s.Snapshot().Upstreams("s") {
			out = append(out, u.ID)
		}
		return out
	}
}

// Guards against missed changes, also after a document that cannot be decoded.
func TestChangesAreApplied(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	m.put("up/a", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(configVersion(s), "2s").Should(Equal(int64(1)))
	g.Eventually(func() bool { return s.Snapshot().Ready() }, "2s").Should(BeTrue())
	m.put("conf", "malformed")
	m.put("up/b", "malformed")
	m.put("conf", "2")
	m.put("up/c", "1")
	m.remove("up/a")
	g.Eventually(configVersion(s), "2s").Should(Equal(int64(2)))
	g.Eventually(upstreamIDs(s), "2s").Should(Equal([]string{"c"}))
}

// Guards against a state that stays outdated because the store has compacted the revisions from which the watcher would
// continue.
func TestListsAgainAfterCompaction(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	m.put("up/a", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(upstreamIDs(s), "2s").Should(Equal([]string{"a"}))
	m.withLock(func() {
		m.revision += 10
		m.compactedBefore = m.revision
		m.events = nil
		delete(m.keys, "up/a")
		m.keys["up/b"] = store.KV{Key: "up/b", Value: []byte("1"), ModRevision: m.revision}
		m.keys["conf"] = store.KV{Key: "conf", Value: []byte("5"), ModRevision: m.revision}
	})
	g.Eventually(configVersion(s), "6s").Should(Equal(int64(5)))
	g.Eventually(upstreamIDs(s), "6s").Should(Equal([]string{"b"}))
}

// Guards against removing upstreams whose announcements expired during an outage of the store, and against keeping those that do
// not announce themselves again after it.
func TestUpstreamsAreKeptAfterOutageUntilReannouncePeriodEnds(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	m.put("up/alive", "1")
	m.put("up/dead", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(upstreamIDs(s), "2s").Should(Equal([]string{"alive", "dead"}))
	m.withLock(func() { m.down = true })
	time.Sleep(2 * time.Second) // Longer than outageThreshold, 1.5 s.
	m.remove("up/alive")
	m.remove("up/dead")
	m.withLock(func() { m.down = false })
	// 1200 ms are within reannouncePeriod, 2.2 s.
	g.Consistently(upstreamIDs(s), "1200ms").Should(Equal([]string{"alive", "dead"}))
	m.put("up/alive", "2")
	g.Eventually(upstreamIDs(s), "6s").Should(Equal([]string{"alive"}))
}

// Guards against every node watching the store: calls are limited and billed.
func TestOnlyActiveNodesWatch(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	var active atomic.Bool
	s := startSyncer(t, m, active.Load)
	g.Eventually(configVersion(s), "2s").Should(Equal(int64(1)), "every node lists once")
	time.Sleep(100 * time.Millisecond)
	m.put("conf", "2")
	g.Consistently(configVersion(s), "400ms").Should(Equal(int64(1)))
	var calls int
	m.withLock(func() { calls = m.calls })
	g.Expect(calls).To(Equal(2)) // One listing of each of the two prefixes.
	active.Store(true)
	g.Eventually(configVersion(s), "2s").Should(Equal(int64(2)), "a node that becomes active lists again first")
}

// namedVersion returns a function that reads the newest version of model m.
func namedVersion(s *fleet.State) func() int64 {
	return func() int64 { v, _ := s.Snapshot().NewestVersion("m"); return v.Version }
}

// Guards against requests that begin on old weights long after all entries have restarted: a version that was named before the start
// has to be assumed the older, the later the store is read.
func TestVersionNamedBeforeTheStartIsAssumedToBeOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryStore()
		m.put("conf/weights", "2")
		m.down = true
		started := time.Now()
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(300 * time.Millisecond)
		m.withLock(func() { m.down = false })
		g.Eventually(namedVersion(s), "3s").Should(Equal(int64(2)))
		v, _ := s.Snapshot().NewestVersion("m")
		g.Expect(v.AgeAssumed).To(BeTrue())
		g.Expect(v.NamedAt).To(BeTemporally("~", started.Add(-testVersionAge), 50*time.Millisecond))
		g.Eventually(func() bool { _, known := s.Staleness(); return known }, "2s").Should(BeTrue())
		m.put("conf/weights", "3")
		g.Eventually(namedVersion(s), "2s").Should(Equal(int64(3)))
		v, _ = s.Snapshot().NewestVersion("m")
		g.Expect(v.AgeAssumed).To(BeFalse(), "the naming was seen")
		g.Expect(time.Since(v.NamedAt)).To(BeNumerically("<", time.Second))
	})
}

// Guards against a rollout that is cut short because the node that watches the store had to list it again: the version was named after
// the state was last up to date.
func TestVersionFoundByALaterListingIsNotAssumedToBeOld(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(func() bool { _, known := s.Staleness(); return known }, "2s").Should(BeTrue())
	m.withLock(func() {
		m.revision++
		m.keys["conf/weights"] = store.KV{Key: "conf/weights", Value: []byte("2"), ModRevision: m.revision}
		m.compactedBefore = m.revision
	})
	g.Eventually(namedVersion(s), "4s").Should(Equal(int64(2)))
	v, _ := s.Snapshot().NewestVersion("m")
	g.Expect(v.AgeAssumed).To(BeTrue())
	g.Expect(time.Since(v.NamedAt)).To(BeNumerically("<", testVersionAge/2))
}

// Guards against a node that is cut off from the store and still counts as up to date while it retries, so that no other node
// starts to watch.
func TestRetriesOfFailedCallsDoNotMarkTheStateUpToDate(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
	m.withLock(func() { m.down, m.failureDelay = true, 500*time.Millisecond })
	// The polls that were under way have failed after 600 ms.
	time.Sleep(600 * time.Millisecond)
	start, _ := s.Staleness()
	time.Sleep(2 * time.Second)
	end, _ := s.Staleness()
	g.Expect(end - start).To(BeNumerically(">=", 1900*time.Millisecond))
	m.withLock(func() { m.down = false })
	g.Eventually(isUpToDate(s), "5s").Should(BeTrue())
}

// Guards against a node whose connections to the store have gone silent and that counts as up to date until its polls fail, so that
// no other node reads a change within 2 s.
func TestSilentPollDoesNotMarkTheStateUpToDate(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
	m.withLock(func() { m.silentPrefixes = []string{"conf", "up/"} })
	time.Sleep(1200 * time.Millisecond)
	staleness, _ := s.Staleness()
	g.Expect(staleness).To(BeNumerically(">=", 1200*time.Millisecond))
}

// Guards against a node that counts as up to date though the connection for one of the prefixes has gone silent.
func TestSilentPollOfUpstreamsEndsFreshness(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
	m.withLock(func() { m.silentPrefixes = []string{"up/"} })
	time.Sleep(4 * time.Second) // Longer than upstreamPollTimeout, 3 s.
	staleness, _ := s.Staleness()
	g.Expect(staleness).To(BeNumerically(">=", time.Second))
	time.Sleep(2 * time.Second) // The first poll has failed and is being retried.
	staleness, _ = s.Staleness()
	g.Expect(staleness).To(BeNumerically(">=", 1500*time.Millisecond))
}

// Guards against a node that becomes active again and counts as up to date before it has read the list of upstreams.
func TestReactivatedNodeIsUpToDateOnlyAfterReadingEveryPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryStore()
		m.put("conf", "1")
		var active atomic.Bool
		active.Store(true)
		s := startSyncer(t, m, active.Load)
		g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
		active.Store(false)
		// A change ends the polls that are under way, so that both watchers find that the node is inactive.
		m.put("conf", "2")
		m.put("up/a", "1")
		time.Sleep(400 * time.Millisecond)
		m.withLock(func() { m.silentPrefixes = []string{"up/"} })
		active.Store(true)
		time.Sleep(500 * time.Millisecond)
		staleness, _ := s.Staleness()
		g.Expect(staleness).To(BeNumerically(">=", 800*time.Millisecond))
	})
}

// Guards against nodes that take over the watch of a healthy store because it has no changes, and against many calls to keep them
// from it.
func TestStateStaysUpToDateWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryStore()
		m.put("conf", "1")
		s := startSyncer(t, m, alwaysActive)
		g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
		var before, after int
		m.withLock(func() { before = m.calls })
		staleness := func() time.Duration {
			age, _ := s.Staleness()
			return age
		}
		g.Consistently(staleness, "6s", "20ms").Should(BeNumerically("<", 800*time.Millisecond))
		m.withLock(func() { after = m.calls })
		g.Expect(after - before).To(BeNumerically("<=", 13)) // Ten polls of one prefix and two of the other in 6 s.
	})
}

// isUpToDate returns a function that reports whether the state was up to date within the last 100 ms.
func isUpToDate(s *fleet.State) func() bool {
	return func() bool {
		staleness, known := s.Staleness()
		return known && staleness < 100*time.Millisecond
	}
}
