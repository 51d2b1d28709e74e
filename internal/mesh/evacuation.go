package mesh

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// mergeEvacuations merges the records of evacuations in a state message of another node.
func (m *Mesh) mergeEvacuations(p *peer, msg *message.FleetState) {
	for _, e := range msg.Evacuations {
		if e.DataCentre == "" {
			continue
		}
		record := fleet.EvacuationRecord{DataCentre: e.DataCentre, Active: e.Active, Era: e.Era, Revision: e.Revision, Observed: e.Observed,
			Written: e.Written, Source: p.hello.NodeID}
		if e.HasEnd {
			record.EndedAt = time.Now().Add(-time.Duration(max(e.EndAgeMillis, 0)) * time.Millisecond)
		}
		m.cfg.State.ApplyEvacuation(record).Log(m.cfg.Log)
	}
}

// evacuationMessage returns the wire form of the record of an evacuation.
func evacuationMessage(r fleet.EvacuationRecord) message.FleetEvacuation {
	out := message.FleetEvacuation{DataCentre: r.DataCentre, Active: r.Active, Era: r.Era, Revision: r.Revision, Observed: r.Observed,
		Written: r.Written}
	if !r.EndedAt.IsZero() {
		out.HasEnd, out.EndAgeMillis = true, time.Since(r.EndedAt).Milliseconds()
	}
	return out
}
