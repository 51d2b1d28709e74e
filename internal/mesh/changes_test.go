package mesh_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// Guards against records that never reach other nodes: they were dropped because many came at once, and the rest of the queue was sent in
// their place.
func TestBurstOfRecordsReachesOtherEntries(t *testing.T) {
	g := NewWithT(t)
	const bursts, perBurst = 30, 3000
	a := entryNode(t, "a", "z")
	b := entryNode(t, "b", "z", a.addr)
	g.Eventually(func() int { return b.EntryCount() }, "3s").Should(Equal(2))
	for burst := range bursts {
		var records []fleet.UpstreamRecord
		for i := range perBurst {
			id := strconv.Itoa(i)
			records = append(records, fleet.UpstreamRecord{ID: id, Revision: int64(burst*perBurst + i + 1),
				Announcement: &catalog.Upstream{ID: id, Service: "s", Address: "h:" + id, Sequence: int64(burst + 1)}})
		}
		a.state.ApplyUpstreams(records)
		newest := func() int {
			n := 0
			for _, u := range b.state.Snapshot().Upstreams("s") {
				if u.Sequence == int64(burst+1) {
					n++
				}
			}
			return n
		}
		g.Eventually(newest, "5s", "5ms").Should(Equal(perBurst), "burst %d", burst)
	}
}
