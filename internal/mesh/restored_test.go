package mesh_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// Guards against a node that takes the first era of the store that it reads for a restore, because it has had a message from a node that knows
// none before.
func TestMessageWithoutEraIsNoEarlierEra(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	b := entryNode(t, "b", "z1", a.addr)
	a.state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 2}, NamedAt: time.Now()})
	g.Eventually(func() bool { _, ok := b.state.Snapshot().NewestVersion("m"); return ok }, "5s").Should(BeTrue())
	g.Expect(b.state.ObserveEra(5)).To(BeFalse())
	g.Expect(b.state.ObserveEra(6)).To(BeTrue())
}
