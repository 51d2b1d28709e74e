package mesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/overlay"
)

// Guards against a duty of the fleet that no entry takes over, or takes over late, because an entry that is no hub, and leaves duties to the
// hubs, ranks first for it.
func TestHubsTakeConsecutivePositionsForEachKey(t *testing.T) {
	onVirtualTime(t, func(t *testing.T, entries int) {
		g := NewWithT(t)
		f := newSizeFleet(t, entries)
		time.Sleep(settleTime)
		for i := range 10 {
			key := fmt.Sprint("key-", i)
			var positions []int
			first := 0
			for _, n := range f.entries {
				if position, ok := n.Position(key); ok {
					positions = append(positions, position)
				}
				if n.RanksFirst(key) {
					first++
				}
			}
			slices.Sort(positions)
			g.Expect(positions).To(Equal([]int{0, 1, 2, 3}[:min(entries, overlay.HubCount)]), key)
			g.Expect(first).To(Equal(1), key)
		}
	})
}
