package weights

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

// maxFallbacks bounds how many higher-ranked peers an agent waits for before it turns to the origin.
const maxHigherRanked = 6

// fanOut bounds how many agents of a data centre read a chunk from one peer first: the data centre's reader serves the next
// agents in order, and they serve the rest. Without the bound the uploads of 32 agents were so uneven that a rate-limited trial
// took 1.43 times the lower bound, against 1.19 with a bound of 3. With 2 the bench was complete after 4.64 s instead of 4.95 s (12
// agents) and 5.06 s instead of 5.24 s (32 agents); 1 was not better than 2 and makes the longest chains.
const fanOut = 2

// maxProbes bounds the peers that are asked without waiting before the origin is read.
const maxProbes = 6

// weight is the rendezvous weight of a node for a key. It depends on nothing else, so all nodes agree on the order of two
// peers even when their views differ.
func rendezvousWeight(key, node string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(key)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(node)
	return hash.Sum64()
}

// outranks tells whether node a comes before node b in the order of key.
func outranks(key, a, b string) bool {
	weightA, weightB := rendezvousWeight(key, a), rendezvousWeight(key, b)
	return weightA > weightB || weightA == weightB && a < b
}

// plan is the order in which one agent asks for one object.
//
// Invariant: every peer in sources outranks the agent, so that agents never wait for each other in a cycle.
type fetchPlan struct {
	// sources are waited for, in order.
	higherRanked []message.Peer
	// probes are asked without waiting before the origin is read: peers that may hold the object already because they
	// were its readers before the membership changed.
	probePeers []message.Peer
	// remote are peers of other regions, asked without waiting when the origin fails.
	remotePeers []message.Peer
}

// reader tells whether the agent reads the object from the origin.
func (p fetchPlan) readsOrigin() bool { return len(p.higherRanked) == 0 }

// makePlan computes the order of key for self among peers. version selects peers that announced the complete version.
func newFetchPlan(key, version string, self message.Peer, peers []message.Peer) fetchPlan {
	ranked := make([]message.Peer, 0, len(peers))
	for _, p := range peers {
		if p.NodeID != self.NodeID && p.Address != "" {
			ranked = append(ranked, p)
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return outranks(key, ranked[i].NodeID, ranked[j].NodeID) })
	var p fetchPlan
	var sameRegion, holders, others []message.Peer
	seenCentres := make(map[string]bool)
	for _, peer := range ranked {
		outranksSelf := outranks(key, peer.NodeID, self.NodeID)
		firstOfCentre := !seenCentres[peer.DataCentre]
		seenCentres[peer.DataCentre] = true
		switch {
		case peer.Region != self.Region:
			p.remotePeers = append(p.remotePeers, peer)
		case outranksSelf && peer.DataCentre == self.DataCentre:
			p.higherRanked = append(p.higherRanked, peer)
		case outranksSelf:
			sameRegion = append(sameRegion, peer)
		case announcesVersion(peer, version):
			holders = append(holders, peer)
		case firstOfCentre || len(others) < 2:
			others = append(others, peer)
		}
	}
	p.higherRanked = truncate(append(moveParentToFront(p.higherRanked), sameRegion...), maxHigherRanked)
	p.probePeers = truncate(append(holders, others...), maxProbes)
	p.remotePeers = truncate(p.remotePeers, maxProbes)
	return p
}

// parentFirst puts the peer from which the agent reads first in front. above holds the peers of the data centre that outrank
// the agent, so its length is the agent's rank.
func moveParentToFront(higher []message.Peer) []message.Peer {
	if len(higher) <= fanOut {
		return higher
	}
	parent := (len(higher) - 1) / fanOut
	ordered := append([]message.Peer{higher[parent]}, higher[:parent]...)
	return append(ordered, higher[parent+1:]...)
}

func announcesVersion(p message.Peer, version string) bool {
	for _, v := range p.Versions {
		if v == version {
			return true
		}
	}
	return false
}

func truncate(peers []message.Peer, limit int) []message.Peer {
	return peers[:min(len(peers), limit)]
}

// Chunk orders of settings.Agent.ChunkOrder.
const (
	OrderInOrder    = "in-order"
	OrderRarest     = "rarest"
	OrderRendezvous = "rendezvous"
)

// pipelineOrder sorts refs so that every agent asks for a chunk at about the time its reader reads it: the k-th chunks of all
// readers come before the k+1-th, and within them the chunks that others wait for this agent to read come first.
func pipelineOrder(refs []ChunkRef, self message.Peer, peers []message.Peer) []ChunkRef {
	type entry struct {
		ref       ChunkRef
		position  int
		selfReads bool
	}
	sorted := append([]ChunkRef(nil), refs...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Hash < sorted[j].Hash })
	positions := make(map[string]int)
	entries := make([]entry, 0, len(sorted))
	for _, ref := range sorted {
		regionReader, centreReader := readersOf(ref.Hash, self, peers)
		entries = append(entries, entry{ref: ref, position: positions[regionReader], selfReads: centreReader == self.NodeID})
		positions[regionReader]++
	}
	sort.SliceStable(entries, func(i, j int) bool {
		if entries[i].position != entries[j].position {
			return entries[i].position < entries[j].position
		}
		return entries[i].selfReads && !entries[j].selfReads
	})
	for i, e := range entries {
		sorted[i] = e.ref
	}
	return sorted
}

// topOf returns the region's reader and the data centre's reader of key.
func readersOf(key string, self message.Peer, peers []message.Peer) (regionReader, centreReader string) {
	regionReader, centreReader = self.NodeID, self.NodeID
	for _, p := range peers {
		if p.Region != self.Region {
			continue
		}
		if outranks(key, p.NodeID, regionReader) {
			regionReader = p.NodeID
		}
		if p.DataCentre == self.DataCentre && outranks(key, p.NodeID, centreReader) {
			centreReader = p.NodeID
		}
	}
	return regionReader, centreReader
}
