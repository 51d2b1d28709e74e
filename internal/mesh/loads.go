package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// loadInterval is the time between load messages to other data centres. The links to them have little bandwidth.
const loadInterval = 400 * time.Millisecond

// shareLoads periodically sends the loads that local agents have reported to entries of other data centres.
func (m *Mesh) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !m.isRemoteSender() {
				continue
			}
			if loads := m.localLoads(); len(loads) > 0 {
				m.broadcast(&message.UpstreamLoads{Loads: loads}, m.remoteReceivers())
			}
		}
	}
}

// localLoads returns the loads of upstreams in the own data centre that were reported within loadInterval, with the work of all
// entries of the data centre at each.
func (m *Mesh) localLoads() []message.UpstreamLoad {
	snap := m.cfg.State.Snapshot()
	ownWork := map[string]message.UpstreamWork{}
	for _, w := range m.cfg.OwnWork() {
		ownWork[w.ID] = w
	}
	var out []message.UpstreamLoad
	for _, l := range m.cfg.Loads.Recent(loadInterval) {
		if u := snap.ByAddress(l.Address); u != nil && u.DataCentre == m.cfg.Self.DataCentre {
			l.DataCentreWork = m.cfg.PeerWork.Total(u.ID).Plus(ownWork[u.ID])
			l.DataCentreWork.ID, l.HasDataCentreWork = "", true
			out = append(out, l)
		}
	}
	return out
}

// loadSequence numbers the loads that an agent reports. It starts at a random number, see message.UpstreamLoad. The zero value is ready for use.
type loadSequence struct {
	mu   sync.Mutex
	last uint64
}

// next returns the next number.
func (s *loadSequence) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == 0 {
		s.last = rand.Uint64() >> 1
	}
	s.last++
	return s.last
}

// ReportLoad sends the load of an agent's upstream to the entries that pass it on, or to all linked ones if it has no links to entries of its
// own data centre.
func (m *Mesh) ReportLoad(l message.UpstreamLoad) {
	l.Seq = m.loadSeq.next()
	match := m.reportReceivers()
	if len(m.peers(match)) == 0 {
		match = isEntry
	}
	m.broadcast(&message.UpstreamLoads{Loads: []message.UpstreamLoad{l}}, match)
}

// handleLoads merges loads of an agent or of another data centre, and queues them if other entries depend on this one for them.
func (m *Mesh) handleLoads(p *peer, msg *message.UpstreamLoads) {
	if m.cfg.Self.Role == message.RoleEntry {
		if r := m.localRanking(); m.isRemoteEntry(p) || isAgent(p) && !r.direct && r.isRelay() {
			m.relayed.addLoads(msg.Loads)
		}
	}
	m.cfg.Loads.Apply(msg.Loads)
}
