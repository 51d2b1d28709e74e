package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// announced returns an announcement of the upstream with the given ID. All upstreams have the same address.
func announced(id string, sequence int64, state catalog.State) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "z", State: state, StartedAtMillis: 100,
		Sequence: sequence}
}

// Guards against a configuration that is replaced by an older one when records arrive out of order from the store and from
// several nodes.
func TestOlderConfigurationIsRejected(t *testing.T) {
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

// Guards against an outdated announcement that turns a draining upstream back into a ready one.
func TestOutdatedAnnouncementDoesNotUndoDraining(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 1, Announcement: announced("a", 5, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 2, Announcement: announced("a", 6, catalog.Draining)})
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 3, Announcement: announced("a", 5, catalog.Ready)})).To(BeFalse())
	g.Expect(s.Snapshot().Upstreams("s")[0].State).To(Equal(catalog.Draining))
	restarted := announced("a", 1, catalog.Ready)
	restarted.StartedAtMillis = 200
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 4, Announcement: restarted})).To(BeTrue(),
		"a restart begins a new sequence")
	g.Expect(s.Snapshot().ByAddress("10.0.0.1:1").StartedAtMillis).To(Equal(int64(200)))
}

// Guards against upstreams that stay in use although a complete list lacks them, and against a list that overrides newer
// records.
func TestListingRemovesMissingUpstreams(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Revision: 5, Announcement: announced("gone", 1, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "new", Revision: 12, Announcement: announced("new", 1, catalog.Ready)})
	s.ApplyListing(fleet.Listing{Revision: 10,
		Upstreams: []fleet.UpstreamRecord{{ID: "kept", Revision: 7, Announcement: announced("kept", 1, catalog.Ready)}}})
	g.Expect(s.Snapshot().ByID("gone")).To(BeNil())
	g.Expect(s.Snapshot().ByID("new")).NotTo(BeNil())
	g.Expect(s.Snapshot().ByID("kept")).NotTo(BeNil())
	g.Expect(s.Snapshot().UpstreamsComplete).To(BeTrue())
	g.Expect(s.ApplyUpstream(fleet.UpstreamRecord{ID: "gone", Revision: 5,
		Announcement: announced("gone", 1, catalog.Ready)})).To(BeFalse())
}

// Guards against requests that start on old weights after the time for a rollout, and against a version whose age is reset on
// each node that receives it.
func TestMinVersion(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := fleet.NewState(func() time.Time { return now })
	applyVersion := func(version, revision int64, age time.Duration) bool {
		return s.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: version}, Revision: revision,
			NamedAt: now.Add(-age)})
	}
	g.Expect(applyVersion(2, 5, 4*time.Second)).To(BeTrue())
	g.Expect(applyVersion(3, 6, 2*time.Second)).To(BeTrue())
	g.Expect(applyVersion(2, 5, 6*time.Second)).To(BeFalse())
	g.Expect(applyVersion(2, 5, time.Second)).To(BeFalse())
	snap := s.Snapshot()
	g.Expect(snap.MinVersion("m", now, 8*time.Second)).To(BeZero())
	g.Expect(snap.MinVersion("m", now.Add(2*time.Second), 8*time.Second)).To(Equal(int64(2)), "the earliest time reported is used")
	g.Expect(snap.MinVersion("m", now.Add(6*time.Second), 8*time.Second)).To(Equal(int64(3)))
	newest, ok := snap.NewestVersion("m")
	g.Expect(ok).To(BeTrue())
	g.Expect(newest.Version).To(Equal(int64(3)))
	previous, _ := snap.PreviousVersion("m")
	g.Expect(previous.Version).To(Equal(int64(2)))
	g.Expect(applyVersion(1, 4, time.Hour)).To(BeTrue())
	g.Expect(applyVersion(1, 4, time.Hour)).To(BeFalse())
	newest, _ = s.Snapshot().NewestVersion("m")
	g.Expect(newest.Version).To(Equal(int64(3)), "an older record does not replace a newer one")
	previous, _ = s.Snapshot().PreviousVersion("m")
	g.Expect(previous.Version).To(Equal(int64(2)))
}

// Guards against an entry that has restarted, knows only the newest version, and lets requests begin on the oldest of three versions
// when they have to begin on the second one.
func TestVersionsBetweenArriveAfterTheNewestOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := fleet.NewState(func() time.Time { return now })
	applyVersion := func(version int64, age time.Duration) {
		s.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: version}, Revision: version,
			NamedAt: now.Add(-age)})
	}
	applyVersion(3, 6*time.Second)
	applyVersion(2, 8*time.Second)
	g.Expect(s.Snapshot().MinVersion("m", now, 8*time.Second)).To(Equal(int64(2)))
	previous, _ := s.Snapshot().PreviousVersion("m")
	g.Expect(previous.Version).To(Equal(int64(2)))
}

// Guards against changes that observers miss, which would never be sent to other nodes, and against repeated records that count as
// changes.
func TestObserversAreCalledOncePerChange(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewState(nil)
	var observed []fleet.Change
	s.Observe(func(c fleet.Change) { observed = append(observed, c) })
	s.ApplyConfig(&catalog.Config{Version: 1}, 1)
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 2, Announcement: announced("a", 1, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 2, Announcement: announced("a", 1, catalog.Ready)})
	s.ApplyUpstream(fleet.UpstreamRecord{ID: "a", Revision: 3})
	g.Expect(observed).To(HaveLen(3))
	config, revision, upstreams, _ := s.Records()
	g.Expect(config.Version).To(Equal(int64(1)))
	g.Expect(revision).To(Equal(int64(1)))
	g.Expect(upstreams).To(HaveLen(1), "the removal of an upstream is sent too")
	g.Expect(upstreams[0].Announcement).To(BeNil())
}

// Guards against an age that one node only assumes and that hides the age another node knows, so that requests begin on old weights for
// too long or a rollout is cut short on all nodes.
func TestKnownAgeReplacesAnAssumedOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for _, known := range []time.Duration{time.Second, 7 * time.Second} {
		s := fleet.NewState(func() time.Time { return now })
		apply := func(age time.Duration, assumed bool) time.Duration {
			s.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 5,
				NamedAt: now.Add(-age), AgeAssumed: assumed})
			v, _ := s.Snapshot().NewestVersion("m")
			return now.Sub(v.NamedAt)
		}
		g.Expect(apply(4*time.Second, true)).To(Equal(4 * time.Second))
		g.Expect(apply(3*time.Second, true)).To(Equal(4*time.Second), "of two assumed ages the greater one counts")
		g.Expect(apply(5*time.Second, true)).To(Equal(5 * time.Second))
		g.Expect(apply(known, false)).To(Equal(known))
		g.Expect(apply(9*time.Second, true)).To(Equal(known), "a known age is not replaced by an assumed one")
		g.Expect(apply(8*time.Second, false)).To(Equal(8*time.Second), "of two known ages the greater one counts")
	}
}

// Guards against a corrected age that stays on the node that received it, and against small differences that nodes send each other
// without end.
func TestObserversAreToldOfACorrectedAge(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := fleet.NewState(func() time.Time { return now })
	var observed []fleet.Change
	s.Observe(func(c fleet.Change) { observed = append(observed, c) })
	apply := func(age time.Duration, assumed bool) {
		s.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, Revision: 5,
			NamedAt: now.Add(-age), AgeAssumed: assumed})
	}
	apply(5*time.Second, true)
	apply(time.Second, false)
	g.Expect(observed).To(HaveLen(2))
	g.Expect(observed[1].Version.NamedAt).To(Equal(now.Add(-time.Second)))
	g.Expect(observed[1].Version.AgeAssumed).To(BeFalse())
	apply(1050*time.Millisecond, false)
	g.Expect(observed).To(HaveLen(2), "the record took this long on its way")
	apply(3*time.Second, false)
	g.Expect(observed).To(HaveLen(3), "a node heard of the version late")
}
