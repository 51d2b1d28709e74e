package mesh

import (
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/overlay"
)

const (
	// originTurn is the time in which one of several entries may read the origin in place of the first one, if that does not deliver. A
	// request to a peer takes no longer.
	originTurn = 1500 * time.Millisecond
	// originStartWait is the time after its start in which an entry that does not know the others yet leaves the origin to them, as all may be
	// starting. It knows them once it has links and has heard of no further entry for memberSettleTime.
	originStartWait  = 1500 * time.Millisecond
	memberSettleTime = 300 * time.Millisecond
)

// MayReadOrigin reports whether this entry may read a chunk from the origin now, if no other node has delivered it. The origin accepts few connections from all entries together, so that only a few may read it at any time, also when all
// entries lack a chunk: the hub of the origin's data centre that ranks highest for the chunk and, in turns of originTurn, one of its other hubs.
// The highest ranking hubs of the other data centres read in turns too, after that, as long as they are linked to the origin's data centre. The
// turns are those of each entry on its own; they need no agreement.
func (m *Mesh) MayReadOrigin(originDataCentre, model string, version int64, chunk int, need chunkcache.Need) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	knowsOthers := len(m.links) > 0 && time.Since(m.memberAddedAt) >= memberSettleTime
	if !knowsOthers && time.Since(m.startedAt) < originStartWait {
		return false
	}
	candidates := m.originCandidates(chunkKey(model, version, chunk))
	position := slices.Index(candidates, m.cfg.Self.NodeID)
	if position < 0 {
		return false
	}
	if m.cfg.Self.DataCentre == originDataCentre || !m.isLinkedTo(originDataCentre) {
		return position == 0 || hasTurn(need, len(candidates), position)
	}
	others := m.dataCentresExcept(originDataCentre)
	return position == 0 && hasTurn(need, len(others)+1, 1+slices.Index(others, m.cfg.Self.DataCentre))
}

// hasTurn reports whether it is the turn of the reader at a position among count ones, or has been since it last asked: fetches that take long
// would miss their turns otherwise.
func hasTurn(need chunkcache.Need, count, position int) bool {
	last := int(need.Now / originTurn)
	for turn := min(int(need.LastAsked/originTurn)+1, last); turn <= last; turn++ {
		if turn%count == position {
			return true
		}
	}
	return false
}

// originCandidates returns the entries of the own data centre that may read the origin for a chunk, the first reader first: its hubs, judging by
// the known entries, as not all links are up shortly after a start. While this entry has no link, it cannot tell which of them live, and all known
// entries are candidates. The caller holds mu.
func (m *Mesh) originCandidates(key string) []string {
	ids := []string{m.cfg.Self.NodeID}
	for _, e := range m.knownEntries() {
		if e.DataCentre == m.cfg.Self.DataCentre && (e.Linked || !e.Silent || len(m.links) == 0) {
			ids = append(ids, e.ID)
		}
	}
	if len(m.links) > 0 {
		ids = overlay.Hubs(ids)
	}
	return overlay.Top(key, ids, len(ids))
}

// isLinkedTo reports whether a link to an entry of a data centre is open. The caller holds mu.
func (m *Mesh) isLinkedTo(dataCentre string) bool {
	for _, p := range m.links {
		if isEntry(p) && p.hello.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// dataCentresExcept returns the known data centres with entries, without the given one, in the same order on all nodes. The caller holds mu.
func (m *Mesh) dataCentresExcept(except string) []string {
	out := []string{m.cfg.Self.DataCentre}
	for _, member := range m.members {
		out = append(out, member.DataCentre)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(dataCentre string) bool { return dataCentre == except })
}
