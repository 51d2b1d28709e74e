package mesh_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/ratelimit"
)

// Guards against a rate limit that only the entry keeps to which the upstream has named it, and against each entry taking the whole limit
// for itself.
func TestRateLimitIsSharedByAllEntries(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	for _, n := range []*node{a, b, c} {
		g.Eventually(n.EntryIDs, "3s").Should(HaveLen(2), n.id)
	}
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(2), "b finds c through a")
	u := ratelimit.Upstream{ID: "u", Service: "s"}
	a.limiter.RecordResponse(u, 3, true)
	for _, n := range []*node{b, c} {
		g.Eventually(func() int { return len(n.limiter.Limits()) }, "2s").Should(Equal(1), n.id)
	}
	const seconds = 3
	taken := 0
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range []*node{a, b, c} {
			n.limiter.RecordDemand("s")
			if n.limiter.Take(u) {
				taken++
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 3*seconds+4))
	g.Expect(taken).To(BeNumerically(">=", 3*seconds-5))
}
