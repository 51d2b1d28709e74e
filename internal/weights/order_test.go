package weights

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against agents that wait for each other in a cycle, against two agents of a region that both read a chunk from the origin,
// and against a peer that is the first choice of more agents of its data centre than the fan-out allows.
func TestFetchPlansFormATree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		key := rapid.String().Draw(t, "key")
		var peers []message.Peer
		for i := range rapid.IntRange(1, 60).Draw(t, "agents") {
			centre := fmt.Sprintf("dc-%d", i%3)
			peers = append(peers, message.Peer{NodeID: fmt.Sprintf("agent-%d", i), DataCentre: centre, Region: "r", Address: "x"})
		}
		readers := 0
		children := make(map[string]int)
		for _, self := range peers {
			p := newFetchPlan(key, "v", self, peers)
			if p.readsOrigin() {
				readers++
				continue
			}
			for _, source := range p.higherRanked {
				g.Expect(outranks(key, source.NodeID, self.NodeID)).To(BeTrue())
			}
			if p.higherRanked[0].DataCentre == self.DataCentre {
				children[p.higherRanked[0].NodeID]++
			}
		}
		g.Expect(readers).To(Equal(1))
		for id, n := range children {
			g.Expect(n).To(BeNumerically("<=", fanOut), id)
		}
	})
}
