package catalogsync_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

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

// Guards against a node that stood still while a version was named and takes the time at which it reads the change for the time of the naming.
func TestVersionReadAfterAStallIsAssumedToBeOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const delay = 900 * time.Millisecond
		m, state := newMemoryStore(), fleet.NewState(nil)
		runSyncer(t, catalogsync.New(m, testDecoder{}, state, logr.Discard(), alwaysActive, testVersionAge).
			WithReadDelay(func() time.Duration { return delay }))
		g.Eventually(func() bool { _, known := state.Staleness(); return known }, "2s").Should(BeTrue())
		named := time.Now()
		m.put("conf/weights", "2")
		g.Eventually(namedVersion(state), "2s").Should(Equal(int64(2)))
		v, _ := state.Snapshot().NewestVersion("m")
		g.Expect(v.AgeAssumed).To(BeTrue())
		g.Expect(v.NamedAt).To(BeTemporally("~", named.Add(-delay), 100*time.Millisecond))
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
