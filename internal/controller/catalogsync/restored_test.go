package catalogsync_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// has returns whether the state holds an upstream.
func has(s *fleet.State, id string) bool { return s.Snapshot().ByID(id) != nil }

// storeWithUpstreams returns a store with configuration 7 and announcements of the given upstreams.
func storeWithUpstreams(ids ...string) *memoryStore {
	m := newMemoryStore()
	m.put("conf", "7")
	for _, id := range ids {
		m.put("up/"+id, "1")
	}
	return m
}

// callCount returns the number of calls of List and Poll so far.
func (m *memoryStore) callCount() (calls int) {
	m.withLock(func() { calls = m.calls })
	return calls
}

// Guards against upstreams that are taken for gone because a restored store lists them only once they have announced themselves again, also
// if the store was away too briefly for an outage, and against those that stay although they have not come back.
func TestUpstreamsAreKeptAfterARestoreUntilReannouncePeriodEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("old", "lives", "ended")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		g.Expect(has(s, "ended")).To(BeTrue())
		m.restore(3, map[string]string{"conf": "6", "up/old": "1"})
		time.Sleep(time.Second)
		g.Expect(configVersion(s)()).To(Equal(int64(7)), "the older configuration of the copy is not put in force")
		g.Expect(has(s, "old") && has(s, "lives") && has(s, "ended")).To(BeTrue())
		m.put("up/lives", "2")
		m.put("conf", "8")
		time.Sleep(time.Second)
		g.Expect(configVersion(s)()).To(Equal(int64(8)))
		time.Sleep(6 * time.Second)
		g.Expect(has(s, "old") && has(s, "lives")).To(BeTrue())
		g.Expect(has(s, "ended")).To(BeFalse())
	})
}

// Guards against an upstream that has left and gets requests again while the copy of a restored store lists it, and against one that lives,
// did not change, and is left out for good.
func TestUpstreamThatOnlyTheCopyListsIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("left", "silent")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.remove("up/left")
		m.remove("up/silent")
		time.Sleep(time.Second)
		g.Expect(has(s, "left") || has(s, "silent")).To(BeFalse())
		m.restore(4, map[string]string{"conf": "7", "up/left": "1", "up/silent": "1"})
		time.AfterFunc(3600*time.Millisecond, func() { m.remove("up/left") })
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(has(s, "left")).To(BeFalse())
		}
		time.Sleep(4 * time.Second)
		g.Expect(has(s, "left")).To(BeFalse())
		g.Expect(has(s, "silent")).To(BeTrue())
	})
}

// Guards against requests to an upstream that left right after a restore, for up to a poll of 3 s longer than the reannounce period.
func TestReannouncePeriodEndsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("leaves")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.restore(2, map[string]string{"conf": "7", "up/leaves": "1"})
		time.Sleep(time.Second)
		m.remove("up/leaves")
		time.Sleep(500 * time.Millisecond)
		g.Expect(has(s, "leaves")).To(BeTrue(), "it may announce itself again")
		time.Sleep(900 * time.Millisecond)
		g.Expect(has(s, "leaves")).To(BeFalse())
	})
}

// Guards against listings without a pause between them, which overload the store, when it is restored again while some upstreams are still
// undecided.
func TestSecondRestoreDoesNotCauseListingsWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("left")
		m.listDelay = 4 * time.Millisecond
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.remove("up/left")
		time.Sleep(time.Second)
		g.Expect(has(s, "left")).To(BeFalse())
		inCopy := map[string]string{"conf": "7", "up/left": "1"}
		m.restore(4, inCopy)
		time.Sleep(3500 * time.Millisecond) // The settled listing has left the upstream undecided.
		m.restore(4, inCopy)
		before := m.callCount()
		time.Sleep(3 * time.Second)
		g.Expect(m.callCount() - before).To(BeNumerically("<", 20))
	})
}

// Guards against requests to an upstream that has left while another one is still undecided after a restore: its removal was taken for an
// announcement that the store had lost.
func TestRemovalAfterASettledListingIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("left", "leaves")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.remove("up/left")
		time.Sleep(time.Second)
		m.restore(4, map[string]string{"conf": "7", "up/left": "1", "up/leaves": "1"})
		time.Sleep(4300 * time.Millisecond) // The settled listing and the one after it have left an upstream undecided.
		g.Expect(has(s, "leaves")).To(BeTrue())
		m.remove("up/leaves")
		time.Sleep(300 * time.Millisecond)
		g.Expect(has(s, "leaves")).To(BeFalse())
	})
}

// Guards against an upstream that stays for good although the store does not list it: another node, which knows it from before the restore,
// reports it to a node that has started since.
func TestUpstreamOfALostEraFromAnotherNodeIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryStore()
		m.put("conf", "7")
		m.restore(2, map[string]string{"conf": "7"})
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(4 * time.Second)
		for _, id := range []string{"ended", "lives"} {
			s.ApplyUpstream(fleet.UpstreamRecord{ID: id, Era: 0, Revision: 9, Announcement: &catalog.Upstream{ID: id, Service: "s",
				State: catalog.Ready, Sequence: 1}})
		}
		g.Expect(has(s, "ended") && has(s, "lives")).To(BeTrue())
		time.Sleep(time.Second)
		m.put("up/lives", "2")
		time.Sleep(5 * time.Second)
		g.Expect(has(s, "ended")).To(BeFalse())
		g.Expect(has(s, "lives")).To(BeTrue())
	})
}

// Guards against requests to an upstream that has left, from a node that takes over the watch long after a restore of which it knows from other
// nodes: it waited for announcements that the store had lost.
func TestTakeoverLongAfterARestoreRemovesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("left")
		var active atomic.Bool
		s := startSyncer(t, m, active.Load)
		time.Sleep(time.Second)
		m.restore(2, map[string]string{"conf": "7", "up/left": "1"})
		s.ObserveEra(1)
		s.ApplyUpstream(fleet.UpstreamRecord{ID: "left", Era: 1, Revision: 2, Announcement: &catalog.Upstream{ID: "left", Service: "s",
			State: catalog.Ready, Sequence: 1}})
		time.Sleep(10 * time.Second)
		m.remove("up/left")
		active.Store(true)
		time.Sleep(300 * time.Millisecond)
		g.Expect(has(s, "left")).To(BeFalse())
	})
}

// Guards against an upstream that has left and gets requests again because the store, which lists it since a restore, was away once more, so that
// the lease of its announcement has not ended yet.
func TestOutageAfterARestoreProlongsTheDistrustOfTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("left")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.remove("up/left")
		time.Sleep(time.Second)
		m.restore(4, map[string]string{"conf": "7", "up/left": "1"})
		time.Sleep(time.Second)
		m.withLock(func() { m.down = true })
		time.Sleep(5 * time.Second)
		m.withLock(func() { m.down = false })
		time.AfterFunc(3600*time.Millisecond, func() { m.remove("up/left") })
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(has(s, "left")).To(BeFalse())
		}
	})
}

// Guards against requests to an upstream that has left, later than it has to serve them: its removal was read right after a restore and put off
// until the end of the reannounce period.
func TestRemovalInTheReannouncePeriodIsNotPutOffForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("leaves", "lives")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.restore(3, map[string]string{"conf": "7", "up/leaves": "1", "up/lives": "1"})
		time.Sleep(50 * time.Millisecond)
		m.remove("up/leaves")
		m.remove("up/lives")
		time.AfterFunc(1500*time.Millisecond, func() { m.put("up/lives", "2") })
		for range 39 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(has(s, "lives")).To(BeTrue())
		}
		g.Expect(has(s, "leaves")).To(BeFalse(), "1.95 s after its removal")
	})
}

// Guards against upstreams that live and are removed on all nodes because the store was away or restored again before they could announce
// themselves: their removal was read between the two.
func TestRemovalBeforeAnotherOutageOrRestoreWaitsForAListing(t *testing.T) {
	for _, second := range []string{"outage", "restore"} {
		t.Run(second, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := storeWithUpstreams("lives")
				s := startSyncer(t, m, alwaysActive)
				time.Sleep(time.Second)
				m.restore(2, map[string]string{"conf": "7", "up/lives": "1"})
				time.Sleep(50 * time.Millisecond)
				m.remove("up/lives")
				time.Sleep(time.Second)
				announceAfter := 1800 * time.Millisecond
				if second == "outage" {
					m.withLock(func() { m.down = true })
					time.AfterFunc(4*time.Second, func() { m.withLock(func() { m.down = false }) })
					announceAfter += 4 * time.Second
				} else {
					m.restore(2, map[string]string{"conf": "7"})
				}
				time.AfterFunc(announceAfter, func() { m.put("up/lives", "2") })
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(has(s, "lives")).To(BeTrue())
				}
			})
		})
	}
}

// Guards against weights that go back to an older version, or count as named again, and against upstreams that are removed, when the store is
// restored twice between two calls, so that its era rises by more than one.
func TestTwoRestoresBetweenTwoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryStore()
		m.put("conf", "7")
		m.put("conf/weights", "2")
		m.put("up/lives", "1")
		s := startSyncer(t, m, alwaysActive)
		time.Sleep(time.Second)
		m.put("conf/weights", "3")
		time.Sleep(time.Second)
		named, _ := s.Snapshot().NewestVersion("m")
		m.withLock(func() { m.down = true })
		time.Sleep(time.Second)
		m.restore(4, map[string]string{"conf": "7", "conf/weights": "2", "up/lives": "1"})
		m.restore(2, map[string]string{"conf": "6"})
		m.withLock(func() { m.down = false })
		time.AfterFunc(1800*time.Millisecond, func() {
			m.put("conf/weights", "2")
			m.put("conf/weights", "3")
			m.put("up/lives", "1")
		})
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			newest, _ := s.Snapshot().NewestVersion("m")
			g.Expect(newest.Version).To(Equal(int64(3)))
			g.Expect(newest.NamedAt).To(Equal(named.NamedAt))
			g.Expect(has(s, "lives")).To(BeTrue())
			g.Expect(configVersion(s)()).To(Equal(int64(7)))
		}
		g.Expect(s.Era()).To(Equal(int64(2)))
		m.put("conf", "8")
		time.Sleep(100 * time.Millisecond)
		g.Expect(configVersion(s)()).To(Equal(int64(8)))
	})
}
