package mesh

import (
	"slices"
	"time"

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

// isHub and isRelay report whether this entry is a hub, and a relay, of its data centre.
func (r ranking) isHub() bool   { return slices.Contains(r.hubs, r.selfID) }
func (r ranking) isRelay() bool { return slices.Contains(r.relays, r.selfID) }

// candidates returns the entries among which a duty of the data centre is assigned. In a large data centre these are the hubs, because the other
// entries are not linked to each other and would disagree.
func (r ranking) candidates() []string {
	if r.direct {
		return r.ids
	}
	return r.hubs
}

// reports returns a function that selects the linked nodes to which this node reports what the other entries of the data centre have to
// know: all of them, or the relays, which pass it on.
func (m *Mesh) reports() func(*peer) bool {
	r := m.localRanking()
	if r.direct {
		return m.isLocalEntry
	}
	return func(p *peer) bool { return m.isLocalEntry(p) && slices.Contains(r.relays, p.hello.NodeID) }
}

// records returns a function that selects the linked entries of the data centre to which this entry forwards records of the catalog.
func (m *Mesh) records() func(*peer) bool {
	if m.localRanking().isRelay() {
		return m.isLocalEntry
	}
	return m.reports()
}

// isRemoteSender reports whether this entry sends the state of its data centre to other data centres: it is one of the relays. Links between
// regions have little bandwidth and are expensive; if all entries sent, the same data would be transferred over them many times.
func (m *Mesh) isRemoteSender() bool { return m.localRanking().isRelay() }

// remoteReceivers returns a function that selects one linked entry in each other data centre, which passes what it receives on there. The
// relays of a data centre select different ones where they can.
func (m *Mesh) remoteReceivers() func(*peer) bool {
	position := max(slices.Index(m.localRanking().relays, m.cfg.Self.NodeID), 0)
	byDataCentre := map[string][]string{}
	for _, p := range m.peers(m.isRemoteEntry) {
		byDataCentre[p.hello.DataCentre] = append(byDataCentre[p.hello.DataCentre], p.hello.NodeID)
	}
	selected := map[string]bool{}
	for _, ids := range byDataCentre {
		hubs := overlay.Hubs(ids)
		selected[hubs[position%len(hubs)]] = true
	}
	return func(p *peer) bool { return selected[p.hello.NodeID] }
}

// RanksFirst reports whether this entry is a hub and no linked hub ranks higher for a key, see Position.
func (m *Mesh) RanksFirst(key string) bool {
	position, ok := m.Position(key)
	return ok && position == 0
}

// Position returns the number of linked hubs that rank higher for a key than this entry. It returns false on an entry that is not a hub, which
// leaves duties of the fleet to the hubs. Hubs without links to each other may have the same position.
func (m *Mesh) Position(key string) (position int, ok bool) {
	if !m.localRanking().isHub() {
		return 0, false
	}
	own := rank(key, m.cfg.Self.NodeID)
	for _, id := range m.linkedHubs() {
		if rank(key, id) > own {
			position++
		}
	}
	return position, true
}

// linkedHubs returns the linked entries that are hubs of their data centre, judging by the entries that this one knows there.
func (m *Mesh) linkedHubs() []string {
	local := m.localRanking()
	out := slices.DeleteFunc(slices.Clone(local.hubs), func(id string) bool { return id == local.selfID })
	m.mu.Lock()
	defer m.mu.Unlock()
	remote := map[string][]string{}
	for _, e := range m.knownEntries() {
		if e.DataCentre != m.cfg.Self.DataCentre && (e.Linked || !e.Silent) {
			remote[e.DataCentre] = append(remote[e.DataCentre], e.ID)
		}
	}
	for _, ids := range remote {
		for _, id := range overlay.Hubs(ids) {
			if m.links[id] != nil {
				out = append(out, id)
			}
		}
	}
	return out
}

// ShouldWatchStore reports whether this node has to watch the store: it ranks highest among the candidates of its data centre, or its state has
// not been up to date for watchTakeoverAge, for example because no other node watches.
func (m *Mesh) ShouldWatchStore() bool {
	r := m.localRanking()
	age, known := m.cfg.State.Staleness()
	isWaiting := !known && m.cfg.StartWait > 0 && time.Since(m.startedAt) < m.cfg.StartWait+nodeJitter(m.cfg.Self.NodeID)
	if isWaiting && len(r.ids) == 1 {
		return false // Links are not up yet.
	}
	if slices.Equal(overlay.Top("watch", r.candidates(), 1), []string{r.selfID}) {
		return true
	}
	return !known && !isWaiting || known && age > watchTakeoverAge+nodeJitter(m.cfg.Self.NodeID)
}

// watchTakeoverAge is the staleness, plus a jitter, after which a node watches the store though another one ranks higher. While the
// store has no changes, the staleness rises to the poll timeout of catalogsync (0.6 s) plus stalenessInterval.
const watchTakeoverAge = 1200 * time.Millisecond
