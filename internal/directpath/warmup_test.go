package directpath

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

// recordTravel is longer than the time for which package warmup takes a record for one that was made before.
const recordTravel = 120 * time.Millisecond

// Guards against an entry whose limiter of cold upstreams does not follow the state: the rate in the configuration, records from the store and from
// other nodes, repeated or not, upstreams that were removed, the end of an evacuation, and whether the other entries are known.
func TestLimiterOfColdUpstreamsFollowsTheState(t *testing.T) {
	g := NewWithT(t)
	c, err := Node{ID: "e", DataCentre: "z", Log: logr.Discard()}.newComponents(message.RoleEntry, "10.0.0.1:1", nil, nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	e := &Entry{cfg: EntryConfig{ColdOverrun: 1.5, ColdSlack: 5}, components: c}
	limiter := e.newWarmup()
	u := warmup.Upstream{ID: "u", StartedAtMillis: 1, Service: "s", DataCentre: "z"}
	announce := func(sequence int64, coldLeft time.Duration) {
		time.Sleep(recordTravel)
		e.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 10 * sequence, Announcement: &catalog.Upstream{ID: "u", Service: "s",
			DataCentre: "z", StartedAtMillis: 1, Sequence: sequence, ColdLeft: coldLeft}})
	}
	announce(1, time.Minute)
	g.Expect(limiter.IsCold(u)).To(BeFalse(), "no rate is configured")
	e.state.ApplyConfig(&catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s", ColdStart: 3 * time.Second, ColdPerSecond: 26}}}, 1)
	g.Expect(limiter.IsCold(u)).To(BeTrue())
	announce(2, 0)
	g.Expect(limiter.IsCold(u)).To(BeFalse())
	announce(1, time.Minute)
	g.Expect(limiter.IsCold(u)).To(BeFalse(), "the record is repeated")
	e.state.ApplyEvacuation(fleet.EvacuationRecord{DataCentre: "z", Active: true, Revision: 50, Observed: true})
	e.state.ApplyEvacuation(fleet.EvacuationRecord{DataCentre: "z", Revision: 60, Observed: true})
	g.Expect(limiter.IsCold(u)).To(BeTrue(), "the data centre was evacuated")
	announce(7, 0)
	g.Expect(limiter.IsCold(u)).To(BeFalse())
	e.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 75})
	g.Expect(limiter.Cold()).To(BeEmpty())
	announce(8, 0)
	g.Expect(limiter.IsCold(u)).To(BeTrue(), "the upstream was missing")
	g.Expect(limiter.Cold()).To(Equal(map[string]int{"s": 1}))
	g.Expect(limiter.KnowsEntries()).To(BeFalse())
	e.mesh.AddMembers([]message.Member{{NodeID: "e2", Role: message.RoleEntry, DataCentre: "z", Address: "10.0.0.2:1"}})
	g.Expect(limiter.KnowsEntries()).To(BeTrue())
}
