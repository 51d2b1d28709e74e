package weights

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

// maxHigherRanked bounds the number of higher-ranked peers that an agent tries before it falls back to the origin.
const maxHigherRanked = 6

// fanOut bounds how many agents of a data centre fetch an object from the same peer as their first choice: the highest-ranked
// agent serves the agents next in rank, and these serve the rest. Without the bound uploads are uneven: a rate-limited transfer to
// 32 agents takes 1.43 times the theoretical minimum, against 1.19 times with a fan-out of 3. With a fan-out of 2 a transfer takes
// 4.64 s instead of 4.95 s with 3 (12 agents), and 5.06 s instead of 5.24 s (32 agents). A fan-out of 1 is no faster and makes the
// longest chains.
const fanOut = 2

// maxProbes bounds the number of lower-ranked peers that are probed before the origin is read, and of peers of other regions that
// are tried after the origin failed.
const maxProbes = 6

// rendezvousWeight returns the weight of a node for a key in rendezvous hashing. It depends only on these two, so all nodes agree
// on the order of two peers even when their views differ.
func rendezvousWeight(key, node string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(key)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(node)
	return hash.Sum64()
}

// outranks reports whether node a ranks higher than node b for key.
func outranks(key, a, b string) bool {
	weightA, weightB := rendezvousWeight(key, a), rendezvousWeight(key, b)
	return weightA > weightB || weightA == weightB && a < b
}

// fetchPlan lists the peers from which one agent tries to fetch one object.
//
// Invariant: every peer in higherRanked outranks the agent, so that agents never wait for each other in a cycle.
type fetchPlan struct {
	// higherRanked lists the peers of the region that the agent waits for, in the order in which they are tried.
	higherRanked []message.Peer
	// probePeers lists the peers that are tried without waiting before the origin is read. They may already have the object,
	// because they announced the version or read it from the origin before the membership changed.
	probePeers []message.Peer
	// remotePeers lists the peers of other regions that are tried without waiting when the origin fails.
	remotePeers []message.Peer
}

// readsOrigin reports whether the agent is the region reader, which reads the object from the origin.
func (p fetchPlan) readsOrigin() bool { return len(p.higherRanked) == 0 }

// newFetchPlan returns the plan of self for the object key. Of the lower-ranked peers of the region, those that announced the
// complete version are probed first, then the first two others and any other that has the highest rank in its data centre, because
// these may have been the readers before the membership changed.
func newFetchPlan(key, version string, self message.Peer, peers []message.Peer) fetchPlan {
	ranked := make([]message.Peer, 0, len(peers))
	for _, p := range peers {
		if p.NodeID != self.NodeID && p.Address != "" {
			ranked = append(ranked, p)
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return outranks(key, ranked[i].NodeID, ranked[j].NodeID) })
	var p fetchPlan
	var otherCentres, holders, others []message.Peer
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
			otherCentres = append(otherCentres, peer)
		case announcesVersion(peer, version):
			holders = append(holders, peer)
		case firstOfCentre || len(others) < 2:
			others = append(others, peer)
		}
	}
	p.higherRanked = truncate(append(moveParentToFront(p.higherRanked), otherCentres...), maxHigherRanked)
	p.probePeers = truncate(append(holders, others...), maxProbes)
	p.remotePeers = truncate(p.remotePeers, maxProbes)
	return p
}

// moveParentToFront moves the agent's parent in the distribution tree of the data centre to the front of higher. higher lists the
// peers of the data centre that outrank the agent, so its length is the agent's rank, starting at 0.
func moveParentToFront(higher []message.Peer) []message.Peer {
	if len(higher) <= fanOut {
		return higher
	}
	parent := (len(higher) - 1) / fanOut
	ordered := append([]message.Peer{higher[parent]}, higher[:parent]...)
	return append(ordered, higher[parent+1:]...)
}

// announcesVersion reports whether the peer announced that it has the complete version.
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

// Values of settings.Agent.ChunkOrder, the order in which an agent fetches chunks.
const (
	// OrderInOrder is the order of the manifest, OrderRendezvous that of pipelineOrder. OrderRarest is OrderRendezvous, but
	// prefers the chunk that the largest number of peers currently request from this agent.
	OrderInOrder    = "in-order"
	OrderRarest     = "rarest"
	OrderRendezvous = "rendezvous"
)

// pipelineOrder sorts refs so that every agent requests a chunk at about the time at which the region reader reads it. The k-th
// chunks of all region readers come before the k+1-th. Of these, the chunks whose data-centre reader is this agent come first,
// because other agents wait for them.
func pipelineOrder(refs []ChunkRef, self message.Peer, peers []message.Peer) []ChunkRef {
	type rankedChunk struct {
		ref ChunkRef
		// position counts the chunks of the same region reader that come before this one.
		position int
		// isDataCentreReader is set when this agent is the data-centre reader.
		isDataCentreReader bool
	}
	sorted := append([]ChunkRef(nil), refs...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Hash < sorted[j].Hash })
	positions := make(map[string]int)
	ranked := make([]rankedChunk, 0, len(sorted))
	for _, ref := range sorted {
		regionReader, dataCentreReader := readersOf(ref.Hash, self, peers)
		ranked = append(ranked, rankedChunk{ref: ref, position: positions[regionReader],
			isDataCentreReader: dataCentreReader == self.NodeID})
		positions[regionReader]++
	}
	sort.SliceStable(ranked, func(i, j int) bool {
		if ranked[i].position != ranked[j].position {
			return ranked[i].position < ranked[j].position
		}
		return ranked[i].isDataCentreReader && !ranked[j].isDataCentreReader
	})
	for i, chunk := range ranked {
		sorted[i] = chunk.ref
	}
	return sorted
}

// readersOf returns the node IDs of the region reader and of the data-centre reader of key, the highest-ranked agents of the region
// and of the data centre of self.
func readersOf(key string, self message.Peer, peers []message.Peer) (regionReader, dataCentreReader string) {
	regionReader, dataCentreReader = self.NodeID, self.NodeID
	for _, p := range peers {
		if p.Region != self.Region {
			continue
		}
		if outranks(key, p.NodeID, regionReader) {
			regionReader = p.NodeID
		}
		if p.DataCentre == self.DataCentre && outranks(key, p.NodeID, dataCentreReader) {
			dataCentreReader = p.NodeID
		}
	}
	return regionReader, dataCentreReader
}
