package mesh_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a caller that comes back to another entry of its data centre before that has heard of the refusal, and against traffic
// between data centres, whose entries such callers do not reach.
func TestRefusalsReachTheEntriesOfTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	for _, n := range []*node{a, b, c} {
		g.Eventually(n.LinkedEntryCount, "3s").Should(Equal(2), n.id)
	}
	const shortestRetryAfter = 300 * time.Millisecond
	a.refusals.Record(7, 0)
	g.Eventually(func() bool { _, returning := b.refusals.Take(7); return returning }, shortestRetryAfter).Should(BeTrue())
	_, returning := c.refusals.Take(7)
	g.Expect(returning).To(BeFalse())
}
