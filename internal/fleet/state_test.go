package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

func entry(id string, beat int64, state catalog.State) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "z", State: state, Born: 100, Sequence: beat}
}

// Guards against a configuration that goes back when facts arrive out of order from the store and from several nodes.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	g.Expect(s.ApplyConfig(&catalog.Config{Version: 4}, 20)).To(BeTrue())
	g.Expect(s.ApplyConfig(&catalog.Config{Version: 3}, 10)).To(BeFalse())
	g.Expect(s.ApplyConfig(&catalog.Config{Version: 4}, 20)).To(BeFalse())
	g.Expect(s.ApplyConfig(&catalog.Config{Version: 3}, 30)).To(BeFalse())
	g.Expect(s.Snapshot().Index.Config.Version).To(Equal(int64(4)))
	g.Expect(s.ApplyConfig(&catalog.Config{Version: 9}, 31)).To(BeTrue())
	g.Expect(s.Snapshot().ConfigRevision).To(Equal(int64(31)))
}

// Guards against an announcement of the past that turns a leaving upstream back into a ready one.
func TestLateAnnouncementDoesNotUndoLeaving(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 1, Announcement: entry("a", 5, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 2, Announcement: entry("a", 6, catalog.Draining)})
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 3, Announcement: entry("a", 5, catalog.Ready)})).To(BeFalse())
	g.Expect(s.Snapshot().Upstreams("s")[0].State).To(Equal(catalog.Draining))
	reborn := entry("a", 1, catalog.Ready)
	reborn.Born = 200
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 4, Announcement: reborn})).To(BeTrue(), "a new start counts anew")
	g.Expect(s.Snapshot().ByAddress("10.0.0.1:1").Born).To(Equal(int64(200)))
}

// Guards against upstreams that stay in use though a complete list lacks them, and against a list that undoes newer facts.
func TestListingRemovesWhatItLacks(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Revision: 5, Announcement: entry("gone", 1, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "new", Revision: 12, Announcement: entry("new", 1, catalog.Ready)})
	s.ApplyListing([]fleet.UpstreamRecord{{ID: "kept", Revision: 7, Announcement: entry("kept", 1, catalog.Ready)}}, 10)
	g.Expect(s.Snapshot().ByID("gone")).To(BeNil())
	g.Expect(s.Snapshot().ByID("new")).NotTo(BeNil())
	g.Expect(s.Snapshot().ByID("kept")).NotTo(BeNil())
	g.Expect(s.Snapshot().UpstreamsComplete).To(BeTrue())
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Revision: 5, Announcement: entry("gone", 1, catalog.Ready)})).To(BeFalse())
}

// Guards against requests on old weights after the time for a rollout, and against a version that seems younger on each node
// that hears of it.
func TestRequiredVersion(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := fleet.NewState(func() time.Time { return now })
	name := func(v, rev int64, ago time.Duration) bool {
		return s.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: v}, Revision: rev, NamedAt: now.Add(-ago)})
	}
	g.Expect(name(2, 5, 4*time.Second)).To(BeTrue())
	g.Expect(name(3, 6, 2*time.Second)).To(BeTrue())
	g.Expect(name(2, 5, 6*time.Second)).To(BeFalse())
	g.Expect(name(2, 5, time.Second)).To(BeFalse())
	snap := s.Snapshot()
	g.Expect(snap.MinVersion("m", now, 8*time.Second)).To(BeZero())
	g.Expect(snap.MinVersion("m", now.Add(2*time.Second), 8*time.Second)).To(Equal(int64(2)), "the earlier time counts")
	g.Expect(snap.MinVersion("m", now.Add(6*time.Second), 8*time.Second)).To(Equal(int64(3)))
	newest, ok := snap.NewestVersion("m")
	g.Expect(ok).To(BeTrue())
	g.Expect(newest.Version).To(Equal(int64(3)))
	previous, _ := snap.PreviousVersion("m")
	g.Expect(previous.Version).To(Equal(int64(2)))
	g.Expect(name(1, 4, time.Hour)).To(BeFalse(), "an older version is not named anew")
}

// Guards against observers that miss a change, which other nodes would then never learn.
func TestObserversSeeEachChangeOnce(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	var seen []fleet.Change
	s.Observe(func(c fleet.Change) { seen = append(seen, c) })
	s.ApplyConfig(&catalog.Config{Version: 1}, 1)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 2, Announcement: entry("a", 1, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 2, Announcement: entry("a", 1, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 3})
	g.Expect(seen).To(HaveLen(3))
	config, revision, upstreams, _ := s.Records()
	g.Expect(config.Version).To(Equal(int64(1)))
	g.Expect(revision).To(Equal(int64(1)))
	g.Expect(upstreams).To(HaveLen(1), "the end of an upstream is passed on too")
	g.Expect(upstreams[0].Announcement).To(BeNil())
}
