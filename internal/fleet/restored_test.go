package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// restoredState returns a state that knows era 1 of the store, in which upstream "a" announced itself with sequence number 5 at revision 100,
// and upstream "gone" was removed at revision 101. Its clock is *now.
func restoredState(now *time.Time) *fleet.State {
	s := fleet.NewState(func() time.Time { return *now })
	s.ObserveEra(1)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 1, Revision: 100, Announcement: announced("a", 5, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 1, Revision: 90, Announcement: announced("gone", 5, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 1, Revision: 101})
	return s
}

// Guards against an upstream that keeps getting requests after it has announced that it drains, because the store was restored and gives out
// lower revisions than the one at which the upstream was last seen.
func TestDrainingAfterARestoreIsAccepted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := restoredState(&now)
	g.Expect(s.ObserveEra(2)).To(BeTrue())
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 60, Announcement: announced("a", 9, catalog.Draining)})).To(BeTrue())
	g.Expect(s.Snapshot().ByID("a").State).To(Equal(catalog.Draining))
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 1, Revision: 120})).To(BeFalse(), "the era of the record is over")
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 61})).To(BeTrue())
	g.Expect(s.Snapshot().ByID("a")).To(BeNil())
}

// Guards against the older announcement of the copy that a store was restored from, which turns a draining upstream back into a ready one.
func TestCopyDoesNotUndoDraining(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := restoredState(&now)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 1, Revision: 102, Announcement: announced("a", 6, catalog.Draining)})
	s.ObserveEra(2)
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 60, Announcement: announced("a", 5, catalog.Ready)})).To(BeFalse())
	g.Expect(s.Snapshot().ByID("a").State).To(Equal(catalog.Draining))
}

// Guards against a node that hears late, from another one, that an upstream drains, and ignores it because it has read the older announcement
// of the copy meanwhile.
func TestDrainingOfALostEraIsAccepted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := restoredState(&now)
	s.ObserveEra(2)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 60, Announcement: announced("a", 5, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 1, Revision: 102, Announcement: announced("a", 6, catalog.Draining)})
	g.Expect(s.Snapshot().ByID("a").State).To(Equal(catalog.Draining))
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 61, Announcement: announced("a", 7, catalog.Draining)})).
		To(BeTrue(), "the record keeps its place in the present era")
}

// Guards against an upstream that has left and gets requests again because the copy of the store still lists it, and against one that lives,
// is listed unchanged, and gets none for good.
func TestUpstreamRemovedBeforeARestoreComesBackOnlyIfItLives(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	inCopy := fleet.Listing{Era: 2, Revision: 95, Settled: true, Upstreams: []fleet.UpstreamRecord{
		{ID: "gone", Era: 2, Revision: 90, Announcement: announced("gone", 5, catalog.Ready)}}}
	s := restoredState(&now)
	s.ObserveEra(2)
	g.Expect(s.ApplyListing(inCopy)).To(BeTrue(), "another listing has to show whether it lives")
	g.Expect(s.Snapshot().ByID("gone")).To(BeNil())
	now = now.Add(5 * time.Second)
	g.Expect(s.ApplyListing(inCopy)).To(BeFalse())
	g.Expect(s.Snapshot().ByID("gone")).NotTo(BeNil(), "the store has removed what only the copy had listed by then")

	s = restoredState(&now)
	s.ObserveEra(2)
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 96, Announcement: announced("gone", 6, catalog.Ready)})).
		To(BeTrue(), "it has announced itself again")
}

// Guards against upstreams that are removed everywhere because one node lists the restored store before they have announced themselves again.
func TestListingAfterARestoreKeepsUpstreamsUntilItIsSettled(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := restoredState(&now)
	s.ObserveEra(2)
	g.Expect(s.ApplyListing(fleet.Listing{Era: 2, Revision: 95})).To(BeTrue())
	g.Expect(s.Snapshot().ByID("a")).NotTo(BeNil())
	g.Expect(s.ApplyListing(fleet.Listing{Era: 2, Revision: 97, Settled: true})).To(BeFalse())
	g.Expect(s.Snapshot().ByID("a")).To(BeNil())
}

// Guards against an upstream that has left and stays in the list of a node that read the copy first: the nodes that knew of its removal before
// the restore did not tell the others that it holds in the new era too. The copy lists the last announcement or an earlier one.
func TestSettledListingConfirmsRemovalsOfAnEarlierEra(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for _, sequence := range []int64{5, 4} {
		s, started := restoredState(&now), fleet.NewState(func() time.Time { return now })
		inCopy := fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 90, Announcement: announced("gone", sequence, catalog.Ready)}
		started.ObserveEra(2)
		started.ApplyUpstream(inCopy)
		s.Observe(func(c fleet.Change) { started.ApplyUpstream(*c.Upstream) })
		s.ObserveEra(2)
		s.ApplyUpstream(inCopy)
		s.ApplyListing(fleet.Listing{Era: 2, Revision: 95})
		g.Expect(started.Snapshot().ByID("gone")).NotTo(BeNil(), "it may announce itself again")
		s.ApplyListing(fleet.Listing{Era: 2, Revision: 97, Settled: true})
		g.Expect(started.Snapshot().ByID("gone")).To(BeNil(), "sequence %d", sequence)
	}
}

// Guards against an upstream that lives, is listed unchanged by the copy, and stays out of the list of a node that does not watch the store for
// good: another node reports it only once, before this one accepts it.
func TestUnchangedUpstreamIsAcceptedOnceTheCopyHasSettled(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for _, removedMeanwhile := range []bool{false, true} {
		s := restoredState(&now)
		s.ObserveEra(2)
		inCopy := fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 90, Announcement: announced("gone", 5, catalog.Ready)}
		g.Expect(s.ApplyUpstream(inCopy)).To(BeFalse())
		now = now.Add(4 * time.Second)
		s.MarkUpToDate(now)
		g.Expect(s.Snapshot().ByID("gone")).To(BeNil(), "it may have left")
		if removedMeanwhile {
			s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 97})
		}
		now = now.Add(time.Second)
		s.MarkUpToDate(now)
		g.Expect(s.Snapshot().ByID("gone") == nil).To(Equal(removedMeanwhile))
	}
}

// Guards against a node that has started on the copy and never hears that an upstream drains: a node that knew it from before the restore has
// read the copy too, and reports the upstream with the same place in the history.
func TestDrainingReachesANodeThatHasReadTheCopy(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s, started := restoredState(&now), fleet.NewState(func() time.Time { return now })
	inCopy := fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 60, Announcement: announced("a", 5, catalog.Ready)}
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 1, Revision: 102, Announcement: announced("a", 6, catalog.Draining)})
	for _, state := range []*fleet.State{s, started} {
		state.ObserveEra(2)
		state.ApplyUpstream(inCopy)
	}
	_, _, records, _ := s.Records()
	for _, u := range records {
		started.ApplyUpstream(u)
	}
	g.Expect(started.Snapshot().ByID("a").State).To(Equal(catalog.Draining))
	started.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Era: 2, Revision: 61})
	g.Expect(started.Snapshot().ByID("a")).To(BeNil())
}

// Guards against an upstream that has left and gets requests again because the copy of the store lists it: a node that has started after the
// removal knows only that from other nodes, and not the announcement before.
func TestCopyDoesNotReviveAnUpstreamKnownByItsRemovalOnly(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	restored := func() *fleet.State {
		s := fleet.NewState(func() time.Time { return now })
		s.ObserveEra(1)
		s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 1, Revision: 101})
		s.ObserveEra(2)
		return s
	}
	inCopy := fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 90, Announcement: announced("gone", 5, catalog.Ready)}
	s := restored()
	g.Expect(s.ApplyListing(fleet.Listing{Era: 2, Revision: 95, Settled: true, Upstreams: []fleet.UpstreamRecord{inCopy}})).To(BeTrue(),
		"another listing has to show whether it lives")
	g.Expect(s.Snapshot().ByID("gone")).To(BeNil())
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 96, Announcement: announced("gone", 6, catalog.Ready)})).
		To(BeTrue(), "it has announced itself again")

	s = restored()
	s.ApplyUpstream(inCopy)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Era: 2, Revision: 96})
	now = now.Add(5 * time.Second)
	s.MarkUpToDate(now)
	g.Expect(s.Snapshot().ByID("gone")).To(BeNil(), "the store has removed it")

	s = restored()
	s.ApplyUpstream(inCopy)
	now = now.Add(5 * time.Second)
	s.MarkUpToDate(now)
	g.Expect(s.Snapshot().ByID("gone")).NotTo(BeNil(), "it lives")
}
