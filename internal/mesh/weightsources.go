package mesh

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/message"
)

// WeightPeers returns the linked nodes from which this node should request a chunk, in order of preference. The list may be
// empty. The origin is read only if none of them delivers the chunk, and only by nodes that may read it.
//
// In each data centre the hub that ranks highest for a chunk is its leader, because only hubs keep links to other data centres. The other
// hubs request the chunk from the hubs that rank higher, the leader first. Except shortly after the newest version of the model was
// named, the leader first asks other local entries for a copy that they hold. It then asks local agents whose upstream has loaded the
// version, and then the entries of the origin's data centre. The leader in the origin's data centre reads the origin instead. An entry
// that is no hub requests the chunk from the linked entries that are no hubs either and rank higher, then from the hubs. Each chunk has
// its own leader, and its own first reader among the other entries, which spreads the load over the entries.
//
// An agent requests chunks from the entries of its data centre, or from all linked entries if it is linked to none there.
func (m *Mesh) WeightPeers(originDataCentre, model string, version int64, chunk int) []chunkcache.Source {
	key := chunkKey(model, version, chunk)
	localDataCentre := m.cfg.Self.DataCentre
	local := m.peers(func(p *peer) bool { return isEntry(p) && p.hello.DataCentre == localDataCentre })
	if m.cfg.Self.Role == message.RoleAgent {
		if len(local) == 0 {
			local = m.peers(isEntry)
		}
		return rankedSources(local, m.cfg.Self.NodeID+key) // The agent's ID in the key spreads agents over the entries.
	}
	r := m.localRanking()
	ownRank := rank(key, m.cfg.Self.NodeID)
	var hubs, higher []*peer
	for _, p := range local {
		isHub := slices.Contains(r.hubs, p.hello.NodeID)
		if isHub {
			hubs = append(hubs, p)
		}
		if isHub == r.isHub() && rank(key, p.hello.NodeID) > ownRank {
			higher = append(higher, p)
		}
	}
	if !r.isHub() {
		return append(rankedSources(higher, key), rankedSources(hubs, key)...)
	}
	if len(higher) > 0 {
		return rankedSources(higher, key)
	}
	var out []chunkcache.Source
	if v, ok := m.cfg.State.Snapshot().NewestVersion(model); !ok || time.Since(v.NamedAt) > initialDistributionTime {
		out = heldOnly(rankedSources(local, key))
	}
	out = append(out, firstN(maxPeerSources, rankedSources(m.agentsWithVersion(model, version), key))...)
	if localDataCentre == originDataCentre {
		return out
	}
	return append(out, rankedSources(m.peers(func(p *peer) bool { return isEntry(p) && p.hello.DataCentre == originDataCentre }), key)...)
}

// chunkKey returns the key that ranks the nodes for a chunk.
func chunkKey(model string, version int64, chunk int) string {
	return model + "@" + strconv.FormatInt(version, 10) + "#" + strconv.Itoa(chunk)
}

// initialDistributionTime is the time after a version was named in which no other entry holds a chunk before its leader does. A
// request in this time would only wait behind the chunks that are in transit.
const initialDistributionTime = 4 * time.Second

// maxPeerSources bounds the local entries, and the agents, that are asked for a chunk before the other sources.
const maxPeerSources = 2

// agentsWithVersion returns the linked agents of the own data centre whose upstream has loaded a version. The loaded chunks are
// usually still staged beside the upstream, where its agent reads them.
func (m *Mesh) agentsWithVersion(model string, version int64) []*peer {
	snap := m.cfg.State.Snapshot()
	var out []*peer
	for _, p := range m.peers(isAgent) {
		load, age, ok := m.cfg.Loads.Get(p.hello.Address)
		if !ok || load.Down || age > maxLoadAge || p.hello.DataCentre != m.cfg.Self.DataCentre || snap.Index == nil {
			continue
		}
		for _, l := range load.Models {
			if l.Model == model && l.Version == version {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// maxLoadAge is the age up to which a load report is taken to show what an upstream has loaded.
const maxLoadAge = 2 * time.Second

// heldOnly returns the first maxPeerSources sources, marked to return only what they hold: after a restart, the leader recovers
// from them the chunks that it had sent them.
func heldOnly(list []chunkcache.Source) []chunkcache.Source {
	list = firstN(maxPeerSources, list)
	for i := range list {
		list[i].HeldOnly = true
	}
	return list
}

// firstN returns at most the first n sources.
func firstN(n int, list []chunkcache.Source) []chunkcache.Source { return list[:min(n, len(list))] }

// rankedSources returns the peers as sources, ordered by their rank for a key.
func rankedSources(list []*peer, key string) []chunkcache.Source {
	sort.Slice(list, func(i, j int) bool {
		return rank(key, list[i].hello.NodeID) > rank(key, list[j].hello.NodeID)
	})
	out := make([]chunkcache.Source, 0, len(list))
	for _, p := range list {
		out = append(out, chunkcache.Source{NodeID: p.hello.NodeID})
	}
	return out
}
