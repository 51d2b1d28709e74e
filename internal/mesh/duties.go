package mesh

import (
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/overlay"
)

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
