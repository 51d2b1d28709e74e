package overlay_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/overlay"
)

// sizes are numbers of entries in a data centre.
var sizes = []int{1, 8, 13, 14, 20, 60, 138}

// known returns the entries of some data centres.
func known(dataCentres, entries int) []overlay.Entry {
	var out []overlay.Entry
	for d := range dataCentres {
		for i := range entries {
			out = append(out, overlay.Entry{ID: fmt.Sprintf("z%d-e%d", d, i), DataCentre: fmt.Sprintf("z%d", d)})
		}
	}
	return out
}

// others returns all entries but the one with the given index.
func others(list []overlay.Entry, self int) []overlay.Entry {
	return slices.Delete(slices.Clone(list), self, self+1)
}

// links returns who is linked to whom if every entry follows its plan.
func links(list []overlay.Entry) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	link := func(a, b string) {
		if out[a] == nil {
			out[a] = map[string]bool{}
		}
		out[a][b] = true
	}
	for i, e := range list {
		for _, id := range (overlay.Node{ID: e.ID, DataCentre: e.DataCentre, IsEntry: true}).Plan(others(list, i)) {
			link(e.ID, id)
			link(id, e.ID)
		}
	}
	return out
}

// Guards against entries that have no common neighbour: what one of them reports would not reach the other.
func TestEntriesOfADataCentreAreAtMostTwoLinksApart(t *testing.T) {
	for _, n := range sizes {
		g := NewWithT(t)
		list := known(1, n)
		linked := links(list)
		for _, a := range list {
			for _, b := range list {
				if a.ID == b.ID || linked[a.ID][b.ID] {
					continue
				}
				g.Expect(n).To(BeNumerically(">", overlay.DirectLimit), "%s and %s of %d entries", a.ID, b.ID, n)
				common := 0
				for neighbour := range linked[a.ID] {
					if linked[b.ID][neighbour] {
						common++
					}
				}
				g.Expect(common).To(BeNumerically(">=", overlay.RelayCount), "%s and %s of %d entries", a.ID, b.ID, n)
			}
		}
	}
}

// Guards against links of an entry that grow with the number of entries of its data centre.
func TestPlannedLinksDoNotGrowWithTheDataCentre(t *testing.T) {
	for _, n := range sizes {
		g := NewWithT(t)
		list := known(5, n)
		remote := 0
		for i, e := range list {
			plan := overlay.Node{ID: e.ID, DataCentre: e.DataCentre, IsEntry: true}.Plan(others(list, i))
			g.Expect(len(plan)).To(BeNumerically("<=", max(overlay.DirectLimit-1, overlay.HubCount+overlay.SpreadLinks)+4*overlay.RemoteLinks))
			g.Expect(plan).To(HaveLen(len(slices.Compact(slices.Sorted(slices.Values(plan))))), "no entry is planned twice")
			for _, other := range list {
				if other.DataCentre != e.DataCentre && slices.Contains(plan, other.ID) {
					remote++
				}
			}
			agent := overlay.Node{ID: "agent-" + e.ID, DataCentre: e.DataCentre}.Plan(markLinked(list, e.ID))
			g.Expect(len(agent)).To(BeNumerically("<=", overlay.DirectLimit))
		}
		g.Expect(remote).To(BeNumerically("<=", 5*overlay.HubCount*4*overlay.RemoteLinks), "links between data centres, %d entries", n)
	}
}

// markLinked returns the list with one entry linked.
func markLinked(list []overlay.Entry, id string) []overlay.Entry {
	out := slices.Clone(list)
	for i := range out {
		out[i].Linked = out[i].ID == id
	}
	return out
}

// Guards against hubs that are gone and are not replaced, and against a node that stops to try them.
func TestSilentHubsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	list := known(1, 60)
	ids := []string{}
	for _, e := range list[1:] {
		ids = append(ids, e.ID)
	}
	hubs := overlay.Hubs(ids)
	for i := range list {
		list[i].Silent = slices.Contains(hubs[:3], list[i].ID)
	}
	node := overlay.Node{ID: list[0].ID, DataCentre: list[0].DataCentre, IsEntry: true}
	plan := node.Plan(list[1:])
	answering := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(hubs[:3], id) })
	g.Expect(plan).To(ContainElements(overlay.Hubs(answering)), "the next ones are hubs now")
	g.Expect(plan).To(ContainElements(hubs), "the silent ones are still dialled")
}

// Guards against an entry that is cut off from its data centre and gets no news from others, and an agent that has no entry left.
func TestIsolatedNodesKeepRemoteLinks(t *testing.T) {
	g := NewWithT(t)
	list := known(2, 60)
	for i := range list {
		list[i].Silent = list[i].DataCentre == "z0"
	}
	count := func(plan []string) (remote int) {
		for _, e := range list {
			if e.DataCentre == "z1" && slices.Contains(plan, e.ID) {
				remote++
			}
		}
		return remote
	}
	g.Expect(count(overlay.Node{ID: "z0-e0", DataCentre: "z0", IsEntry: true}.Plan(list[1:]))).To(Equal(overlay.RemoteLinks))
	g.Expect(count(overlay.Node{ID: "agent", DataCentre: "z0"}.Plan(list))).To(Equal(overlay.RemoteLinks))
	list[0].Linked = true
	g.Expect(count(overlay.Node{ID: "agent", DataCentre: "z0"}.Plan(list))).To(BeZero())
}
