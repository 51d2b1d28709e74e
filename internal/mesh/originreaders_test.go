package mesh_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// chunksOfOriginTests is the number of chunks that are tried, without the manifest.
	chunksOfOriginTests = 12
	// maxOriginReaders is how many entries an origin with 48 connections bears if each makes 3 reads at a time.
	maxOriginReaders = 16
)

// originFleet is a fleet of several data centres on virtual time. The origin is in "z0".
type originFleet struct {
	network *network
	nodes   []*node
	started time.Time
}

// startOriginFleet starts the entries of all data centres at the same time, the seeds late: the others have no links until then.
func startOriginFleet(t *testing.T, dataCentres, entries int, seedDelay time.Duration) *originFleet {
	f := &originFleet{network: newNetwork(1), started: time.Now()}
	for i := range entries {
		if i == 1 {
			time.Sleep(seedDelay)
		}
		for dataCentre := range dataCentres {
			// The seeds are the entries that are started last.
			id := fmt.Sprintf("z%d-e%d", dataCentre, entries-1-i)
			f.nodes = append(f.nodes, startNode(t, options{id: id, dataCentre: fmt.Sprint("z", dataCentre), role: message.RoleEntry,
				seeds: []string{"z0-e0", "z1-e0", "z2-e0"}, network: f.network}))
		}
	}
	return f
}

// readers returns the entries that may read the manifest or any chunk now, if they have needed it since the start, and the smallest number of
// entries that may read the same one.
func (f *originFleet) readers() (ids map[string]bool, fewest int) {
	ids, fewest = map[string]bool{}, len(f.nodes)
	now := time.Since(f.started)
	for chunk := message.WholeManifest; chunk < chunksOfOriginTests; chunk++ {
		count := 0
		for _, n := range f.nodes {
			if n.MayReadOrigin("z0", "m", 2, chunk, chunkcache.Need{LastAsked: now, Now: now}) {
				ids[n.id] = true
				count++
			}
		}
		fewest = min(fewest, count)
	}
	return ids, fewest
}

// Guards against an origin whose connections are used up by entries that all lack the same weights, as after a loss of power: before they had
// links, each took itself for the one that reads, and each read where the others had not delivered.
func TestFewEntriesReadTheOriginAtATime(t *testing.T) {
	for _, c := range []struct{ dataCentres, entries int }{{1, 1}, {3, 3}, {5, 20}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				t.Cleanup(func() { time.Sleep(settleTime) })
				f := startOriginFleet(t, c.dataCentres, c.entries, 300*time.Millisecond)
				for time.Since(f.started) < 12*time.Second {
					time.Sleep(min(100*time.Millisecond+time.Since(f.started)/10, 500*time.Millisecond))
					ids, fewest := f.readers()
					g.Expect(len(ids)).To(BeNumerically("<=", maxOriginReaders), "%v after the start: %v", time.Since(f.started), ids)
					if time.Since(f.started) > 2*time.Second {
						g.Expect(fewest).To(BeNumerically(">=", 1), "a chunk that no entry reads, %v after the start", time.Since(f.started))
					}
				}
			})
		})
	}
}

// Guards against weights that no entry reads: one without links waits for them at most 1.5 s, as it may be the only one that is left, and entries
// of the origin's data centre that are lost are replaced.
func TestOriginIsReadWhenOtherEntriesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		t.Cleanup(func() { time.Sleep(settleTime) })
		f := startOriginFleet(t, 3, 3, 0)
		time.Sleep(settleTime)
		var left []*node
		for _, n := range f.nodes {
			if n.id != "z0-e0" && n.id[:2] == "z0" {
				n.stop()
				continue
			}
			left = append(left, n)
		}
		f.nodes = left
		time.Sleep(settleTime)
		_, fewest := f.readers()
		g.Expect(fewest).To(BeNumerically(">=", 1))
		lonely := startNode(t, options{id: "l", dataCentre: "z0", role: message.RoleEntry, seeds: []string{"nobody"}, network: f.network})
		g.Expect(lonely.MayReadOrigin("z0", "m", 2, 0, chunkcache.Need{})).To(BeFalse())
		time.Sleep(1600 * time.Millisecond)
		g.Expect(lonely.MayReadOrigin("z0", "m", 2, 0, chunkcache.Need{})).To(BeTrue())
	})
}

// Guards against an entry that never reads the origin because its fetches take as long as all turns together, so that it always asks in the turn of
// another one.
func TestTurnsThatPassDuringAFetchCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		t.Cleanup(func() { time.Sleep(settleTime) })
		f := startOriginFleet(t, 3, 3, 0)
		time.Sleep(settleTime)
		const cycle = 4500 * time.Millisecond // of three data centres or three hubs, 1.5 s each
		for chunk := range chunksOfOriginTests {
			readers := map[string]bool{}
			for _, n := range f.nodes {
				for asked := time.Duration(0); asked < 4*cycle; asked += cycle {
					if n.MayReadOrigin("z0", "m", 2, chunk, chunkcache.Need{LastAsked: asked, Now: asked + cycle}) {
						readers[n.id] = true
					}
				}
			}
			g.Expect(readers).To(HaveLen(3+2), "all hubs of the origin's data centre, and the first of each other one")
		}
	})
}
