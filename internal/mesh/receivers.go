package mesh

import (
	"slices"

	"github.com/pimentohead/pimentohead/internal/overlay"
)

// reportReceivers returns a function that selects the linked nodes to which this node reports what the other entries of the data centre have to
// know: all of them, or the relays, which pass it on.
func (m *Mesh) reportReceivers() func(*peer) bool {
	r := m.localRanking()
	if r.direct {
		return m.isLocalEntry
	}
	return func(p *peer) bool { return m.isLocalEntry(p) && slices.Contains(r.relays, p.hello.NodeID) }
}

// recordReceivers returns a function that selects the linked entries of the data centre to which this entry forwards records of the catalog.
func (m *Mesh) recordReceivers() func(*peer) bool {
	if m.localRanking().isRelay() {
		return m.isLocalEntry
	}
	return m.reportReceivers()
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
