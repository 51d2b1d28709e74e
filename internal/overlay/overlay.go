// Package overlay decides which nodes of the fleet keep links to each other and which entries pass messages on. It works on the list of
// known nodes only and needs no network, so that all nodes with the same list decide alike.
//
// In a data centre of up to DirectLimit entries all entries are linked to each other. In a larger one, every entry and every agent
// is linked to the hubs: the entries that rank highest, by the same order on all nodes. Any two nodes of a data centre are then at most
// two links apart, and the number of links of a node that is no hub does not grow with the number of entries. Only hubs keep
// links to other data centres.
package overlay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DirectLimit is the largest number of entries of a data centre that are all linked to each other.
	DirectLimit = 13
	// HubCount is the number of hubs of a data centre. Two of them can be lost at the same time while the others find that out.
	HubCount = 4
	// RelayCount is the number of hubs that pass messages on, the highest ranking ones. Each passes on all of them, so that the loss of one
	// leaves no gap.
	RelayCount = 2
	// SpreadLinks is the number of entries beside the hubs that an entry of a larger data centre links to. Weights are transferred over these
	// links.
	SpreadLinks = 4
	// AgentSpreadLinks is the same for an agent.
	AgentSpreadLinks = 2
	// RemoteLinks is the number of hubs of each other data centre that a hub links to.
	RemoteLinks = 2
)

// hubKey is the key that ranks the hubs of a data centre. Keys are part of the protocol: nodes that used different keys for the same
// purpose would choose different nodes.
const hubKey = "speak"

// Rank returns the rendezvous hash of a node for a key, by which all nodes order the nodes in the same way. It is never 0.
func Rank(key, nodeID string) uint64 { return xxhash.Sum64String(key+"/"+nodeID) | 1 }

// Top returns the n nodes that rank highest for a key, highest first, or all if there are fewer.
func Top(key string, nodeIDs []string, n int) []string {
	ordered := byRank(key, nodeIDs, func(id string) string { return id })
	return ordered[:min(n, len(ordered))]
}

// byRank returns the nodes ordered by their rank for a key, highest first. id returns the ID of a node.
func byRank[T any](key string, nodes []T, id func(T) string) []T {
	type ranked struct {
		node T
		rank uint64
	}
	list := make([]ranked, 0, len(nodes))
	for _, node := range nodes {
		list = append(list, ranked{node, Rank(key, id(node))})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]T, 0, len(nodes))
	for _, r := range list {
		out = append(out, r.node)
	}
	return out
}

// Hubs returns the hubs of a data centre with the given entries, highest ranking first.
func Hubs(entryIDs []string) []string { return Top(hubKey, entryIDs, HubCount) }

// Relays returns the relays of a data centre with the given entries, highest ranking first.
func Relays(entryIDs []string) []string { return Top(hubKey, entryIDs, RelayCount) }

// Entry is an entry that a node knows.
type Entry struct {
	ID, DataCentre string
	// Linked is set while a link to the entry is open, Silent if the last attempt to open one has failed.
	Linked, Silent bool
}

// Node is the node that plans its links.
type Node struct {
	ID, DataCentre string
	// IsEntry is set for entries and not for agents.
	IsEntry bool
}

// Plan returns the IDs of the entries that the node should be linked to. Silent entries are included so that further attempts are
// made, but they replace no other entry.
func (n Node) Plan(known []Entry) []string {
	byDataCentre := map[string][]Entry{}
	for _, e := range known {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	own := byDataCentre[n.DataCentre]
	out := n.planLocal(own)
	if !n.needsRemoteLinks(own) {
		return out
	}
	for dataCentre, list := range byDataCentre {
		if dataCentre != n.DataCentre {
			out = append(out, choose(n.ID, chooseEntries(hubKey, list, HubCount), RemoteLinks)...)
		}
	}
	return out
}

// planLocal returns the entries of the own data centre to link to.
func (n Node) planLocal(local []Entry) []string {
	hubs, spread := HubCount, SpreadLinks
	if !n.IsEntry {
		hubs, spread = RelayCount+1, AgentSpreadLinks
	}
	if len(local) < DirectLimit {
		return choose(n.ID, local, len(local))
	}
	out := choose(hubKey, local, hubs)
	others := slices.DeleteFunc(slices.Clone(local), func(e Entry) bool { return slices.Contains(out, e.ID) })
	return append(out, choose(n.ID, others, spread)...)
}

// needsRemoteLinks reports whether the node keeps links to other data centres: an entry if it is a hub, an agent while no entry of its own
// data centre is linked.
func (n Node) needsRemoteLinks(local []Entry) bool {
	if !n.IsEntry {
		return !slices.ContainsFunc(local, func(e Entry) bool { return e.Linked })
	}
	return n.IsHub(local)
}

// IsHub reports whether the node, an entry, is one of the hubs of its data centre. local holds the other entries there. Silent ones count as
// gone.
func (n Node) IsHub(local []Entry) bool {
	ids := []string{n.ID}
	for _, e := range local {
		if e.Linked || !e.Silent {
			ids = append(ids, e.ID)
		}
	}
	return slices.Contains(Hubs(ids), n.ID)
}

// choose returns the IDs of chooseEntries.
func choose(key string, list []Entry, count int) []string {
	var out []string
	for _, e := range chooseEntries(key, list, count) {
		out = append(out, e.ID)
	}
	return out
}

// chooseEntries returns the entries that rank highest for a key until count of them are not silent.
func chooseEntries(key string, list []Entry, count int) []Entry {
	ordered := byRank(key, list, func(e Entry) string { return e.ID })
	for i, e := range ordered {
		if count == 0 {
			return ordered[:i]
		}
		if e.Linked || !e.Silent {
			count--
		}
	}
	return ordered
}
