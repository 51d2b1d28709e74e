package mesh_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against an agent that stays without links in its own data centre for as long as it runs: it joined through an entry of another
// data centre before any entry of its own had, and was not told when one did. Its load then reached no entry of its own data centre.
func TestAgentLinksToAnEntryOfItsDataCentreThatJoinsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const upstream, joinInterval = "10.0.0.1:1", 2 * time.Second
		network := newNetwork(1)
		start := func(id, dataCentre string, role message.Role, addr string) *node {
			return startNode(t, options{id: id, dataCentre: dataCentre, role: role, addr: addr, seeds: []string{"remote"}, network: network})
		}
		remote := start("remote", "z1", message.RoleEntry, "")
		agent := start("agent", "z2", message.RoleAgent, upstream)
		time.Sleep(joinInterval)
		g.Expect(agent.LinkedEntryCount()).To(Equal(1))
		local := start("local", "z2", message.RoleEntry, "")
		for _, n := range []*node{remote, local} {
			n.state.ApplyUpstream(fleet.UpstreamRecord{ID: "u", Revision: 1,
				Announcement: &catalog.Upstream{ID: "u", Service: "s", Address: upstream, DataCentre: "z2"}})
		}
		time.Sleep(joinInterval)
		for range int(settleTime / maxViewAge) {
			agent.ReportLoad(message.UpstreamLoad{Address: upstream, Active: 7})
			time.Sleep(maxViewAge)
		}
		for _, n := range []*node{local, remote} {
			load, age, ok := n.loads.Get(upstream)
			g.Expect(ok).To(BeTrue(), n.id)
			g.Expect(load.Active).To(Equal(7), n.id)
			g.Expect(age).To(BeNumerically("<=", 2*maxViewAge), n.id)
		}
	})
}

// Guards against an agent without an entry in its data centre that knows only those entries of another one which were there when it joined, and
// has no links once they end.
func TestAgentWithoutLocalEntryLearnsOfRemoteOnesThatJoinLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		t.Cleanup(func() { time.Sleep(settleTime) })
		const joinInterval = 2 * time.Second
		network := newNetwork(1)
		start := func(id, dataCentre string, role message.Role) *node {
			return startNode(t, options{id: id, dataCentre: dataCentre, role: role, seeds: []string{"first"}, network: network})
		}
		start("first", "z1", message.RoleEntry)
		agent := start("agent", "z2", message.RoleAgent)
		time.Sleep(joinInterval)
		g.Expect(agent.LinkedEntryCount()).To(Equal(1))
		start("second", "z1", message.RoleEntry)
		time.Sleep(joinInterval)
		g.Expect(agent.LinkedEntryCount()).To(Equal(2))
	})
}
