package mesh_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fleet"
)

// isEvacuated returns a function that reports whether data centre "z9" is evacuated according to a node.
func isEvacuated(n *node) func() bool {
	return func() bool { return n.state.Snapshot().Evacuated("z9") }
}

// Guards against an entry that sends requests to an evacuated data centre because only another node, maybe in another data centre, reads the
// store; and against one that starts while the store is down, and learns neither of the evacuation nor when the last one ended.
func TestEvacuationsReachAllEntries(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(2))
	a.state.ApplyEvacuation(fleet.EvacuationRecord{DataCentre: "z9", Active: true, Observed: true, Era: 1, Revision: 90})
	for _, n := range []*node{b, c} {
		g.Eventually(isEvacuated(n), "2s").Should(BeTrue(), n.id)
	}
	late := entryNode(t, "late", "z2", c.addr)
	g.Eventually(isEvacuated(late), "3s").Should(BeTrue())
	g.Expect(late.state.Snapshot().EvacuationEndedAt("z9")).To(BeZero())

	c.state.ApplyEvacuation(fleet.EvacuationRecord{DataCentre: "z9", Era: 1, Revision: 100})
	ended := time.Now()
	for _, n := range []*node{a, b, late} {
		g.Eventually(isEvacuated(n), "2s").Should(BeFalse(), n.id)
	}
	time.Sleep(500 * time.Millisecond)
	last := entryNode(t, "last", "z1", b.addr)
	endedAt := func() time.Time { return last.state.Snapshot().EvacuationEndedAt("z9") }
	g.Eventually(endedAt, "3s").Should(BeTemporally("~", ended, 300*time.Millisecond))
	g.Expect(last.state.Snapshot().Evacuations()[0].Written).To(Equal(int64(90)), "a restored store may still hold this write")
}
