package mesh_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
)

// Guards against crashes of upstreams that count only at the entry that saw them, or are forgotten when it ends: entries of all data
// centres have to reach the same verdict, and an entry that joins later too.
func TestCrashEvidenceReachesAllEntries(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	c := entryNode(t, "c", "z2", a.addr)
	g.Eventually(b.LinkedEntryCount, "3s").Should(Equal(2), "b finds c through a")
	subjects := []string{poison.PartSubject("deadly")}
	for i, n := range []*node{a, b, c} {
		n.poison.Record(message.CrashedAttempt{Upstream: fmt.Sprintf("u%d", i), Request: "r", Subjects: subjects, Begun: true})
	}
	isRefused := func(n *node) func() bool {
		return func() bool { _, refused := n.poison.Refusing(subjects); return refused }
	}
	for _, n := range []*node{a, b, c} {
		g.Eventually(isRefused(n), "2s").Should(BeTrue(), n.id)
	}
	a.stop()
	d := entryNode(t, "d", "z2", c.addr)
	g.Eventually(isRefused(d), "3s").Should(BeTrue())
}
