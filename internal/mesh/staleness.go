package mesh

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// stalenessInterval is the time between messages with the staleness of this node's state: the time since it was last up to
	// date.
	stalenessInterval = 300 * time.Millisecond
	// remoteStalenessRounds is the number of stalenessIntervals between these messages to other data centres.
	remoteStalenessRounds = 3
)

// shareStaleness periodically sends other entries the staleness of this node's state.
func (m *Mesh) shareStaleness(ctx context.Context) {
	ticker := time.NewTicker(stalenessInterval)
	defer ticker.Stop()
	rounds := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			msg := &message.FleetState{}
			m.setStaleness(msg)
			if !msg.HasStaleness {
				continue
			}
			local := *msg
			local.UpstreamsComplete = m.cfg.State.Snapshot().UpstreamsComplete
			m.broadcast(&local, m.recordReceivers())
			if rounds++; rounds%remoteStalenessRounds == 0 && m.isRemoteSender() {
				m.broadcast(msg, m.remoteReceivers())
			}
		}
	}
}

// setStaleness sets the staleness of this node's state and the era of the store. It also sets the version and revision of its configuration
// unless out has a version.
func (m *Mesh) setStaleness(out *message.FleetState) {
	age, known := m.cfg.State.Staleness()
	out.HasStaleness, out.StalenessMillis = known, age.Milliseconds()
	out.Era = m.cfg.State.Era()
	if out.ConfigVersion == 0 {
		snap := m.cfg.State.Snapshot()
		out.ConfigVersion, out.ConfigRevision = snap.ConfigVersion(), snap.ConfigRevision
	}
}
