package mesh

import (
	"slices"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/overlay"
)

// rank returns the rendezvous hash of a node for a key, by which all nodes order the nodes in the same way.
func rank(key, nodeID string) uint64 { return overlay.Rank(key, nodeID) }

// ranking is this entry's view of the entries of its data centre: itself and the linked ones.
type ranking struct {
	selfID string
	// ids are all of them, hubs and relays the highest ranking ones, highest first.
	ids, hubs, relays []string
	// direct is set if all entries of the data centre are linked to each other.
	direct bool
}

// localRanking returns this entry's view of the entries of its data centre. An agent is not part of its own view.
func (m *Mesh) localRanking() ranking {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ranking == nil {
		r := m.computeRanking()
		m.ranking = &r
	}
	return *m.ranking
}

// computeRanking computes the view from the members and links. The caller holds mu.
func (m *Mesh) computeRanking() ranking {
	r := ranking{selfID: m.cfg.Self.NodeID}
	known := 1
	for _, member := range m.members {
		if member.DataCentre == m.cfg.Self.DataCentre {
			known++
		}
	}
	if m.cfg.Self.Role == message.RoleEntry {
		r.ids = append(r.ids, r.selfID)
	}
	for id, p := range m.links {
		if m.isLocalEntry(p) {
			r.ids = append(r.ids, id)
		}
	}
	r.direct = known <= overlay.DirectLimit
	r.hubs, r.relays = overlay.Hubs(r.ids), overlay.Relays(r.ids)
	return r
}

// isHub reports whether this entry is a hub of its data centre.
func (r ranking) isHub() bool { return slices.Contains(r.hubs, r.selfID) }

// isRelay reports whether this entry is a relay of its data centre.
func (r ranking) isRelay() bool { return slices.Contains(r.relays, r.selfID) }

// candidates returns the entries among which a duty of the data centre is assigned. In a large data centre these are the hubs, because the other
// entries are not linked to each other and would disagree.
func (r ranking) candidates() []string {
	if r.direct {
		return r.ids
	}
	return r.hubs
}
