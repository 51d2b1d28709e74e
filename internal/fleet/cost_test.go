package fleet_test

import (
	"runtime"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// restoredListing returns a state that knows n upstreams, and the listing of all of them in the next era of the store.
func restoredListing(n int) (*fleet.State, fleet.Listing) {
	listing := fleet.Listing{Revision: int64(n) + 1, Settled: true}
	for i := range n {
		id := strconv.Itoa(i)
		listing.Upstreams = append(listing.Upstreams, fleet.UpstreamRecord{ID: id, Revision: int64(i) + 1,
			Announcement: announced(id, 5, catalog.Ready)})
	}
	s := fleet.NewState(nil)
	s.ApplyListing(listing)
	listing.Era++
	for i := range listing.Upstreams {
		listing.Upstreams[i].Era++
	}
	s.ObserveEra(listing.Era)
	return s, listing
}

// listingCost returns the bytes that are allocated to merge a listing of n upstreams of a new era of the store.
func listingCost(n int) uint64 {
	s, listing := restoredListing(n)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s.ApplyListing(listing)
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// BenchmarkListingAfterRestore measures the merging of a listing of 5,000 upstreams of a new era of the store.
func BenchmarkListingAfterRestore(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s, listing := restoredListing(5000)
		b.StartTimer()
		s.ApplyListing(listing)
	}
}

// Guards against a list of thousands of upstreams that keeps a processor busy for seconds at each restore of the store, because each record of
// it rebuilds the whole list.
func TestCostOfAListingGrowsWithItsLengthOnly(t *testing.T) {
	g := NewWithT(t)
	g.Expect(listingCost(800)).To(BeNumerically("<", 8*listingCost(200)))
}
