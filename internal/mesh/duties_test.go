package mesh_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
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

// Guards against a duty of the fleet for which no entry ranks first, because an entry of another data centre that is no hub is linked, and against
// many entries that each rank first.
func TestOneHubRanksFirstAcrossDataCentres(t *testing.T) {
	const dataCentres, keys, maxDuplicates = 3, 100, 40
	for _, entries := range []int{3, 8, 20} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				t.Cleanup(func() { time.Sleep(settleTime) })
				network := newNetwork(1)
				var nodes []*node
				for dataCentre := range dataCentres {
					for i := range entries {
						nodes = append(nodes, startNode(t, options{id: fmt.Sprintf("z%d-e%d", dataCentre, i), dataCentre: fmt.Sprint("z", dataCentre),
							role: message.RoleEntry, seeds: []string{"z0-e0", "z1-e0", "z2-e0"}, network: network}))
					}
				}
				time.Sleep(3 * settleTime) // Links to other data centres that are not needed are closed.
				duplicates := 0
				for i := range keys {
					first := 0
					for _, n := range nodes {
						if n.RanksFirst(fmt.Sprint("k", i)) {
							first++
						}
					}
					g.Expect(first).To(BeNumerically(">=", 1), "k%d", i)
					duplicates += first - 1
				}
				g.Expect(duplicates).To(BeNumerically("<=", maxDuplicates))
			})
		})
	}
}
