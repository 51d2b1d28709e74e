package mesh

import (
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against an upstream that stays in the list after its removal, because the node that watches the store is of a release that does not
// know eras.
func TestRemovalFromANodeThatKnowsNoErasIsAccepted(t *testing.T) {
	g := NewWithT(t)
	state := fleet.NewState(nil)
	m := New(Config{Self: message.Hello{NodeID: "b", Role: message.RoleAgent, DataCentre: "z"}, State: state, Log: logr.Discard()})
	state.ObserveEra(3)
	state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Era: 3, Revision: 50, Announcement: &catalog.Upstream{ID: "u", Service: "s"}})
	from := &peer{hello: message.Hello{NodeID: "old", Role: message.RoleEntry, DataCentre: "z"}}
	m.mergeState(from, &message.FleetState{Upstreams: []message.FleetUpstream{{ID: "u", Revision: 49}}})
	g.Expect(state.Snapshot().ByID("u")).NotTo(BeNil(), "the removal is outdated")
	m.mergeState(from, &message.FleetState{Upstreams: []message.FleetUpstream{{ID: "u", Revision: 60}}})
	g.Expect(state.Snapshot().ByID("u")).To(BeNil())
	state.ApplyUpstream(fleet.UpstreamRecord{ID: "v", Era: 3, Revision: 70, Announcement: &catalog.Upstream{ID: "v", Service: "s"}})
	state.ObserveEra(4)
	m.mergeState(from, &message.FleetState{Upstreams: []message.FleetUpstream{{ID: "v", Revision: 80}}})
	g.Expect(state.Snapshot().ByID("v")).NotTo(BeNil(), "after a restore, its revisions may be those of the lost era")
}
