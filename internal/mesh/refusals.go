package mesh

import (
	"context"
	"time"
)

// refusalsInterval is the time between messages with refused requests. Callers come back after 300 ms at the earliest if they wait as told.
const refusalsInterval = 100 * time.Millisecond

// shareRefusals periodically sends the requests that this entry has refused to the other entries of the data centre, until ctx ends.
func (m *Mesh) shareRefusals(ctx context.Context) {
	if m.cfg.Refusals == nil {
		return
	}
	ticker := time.NewTicker(refusalsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if refusals := m.cfg.Refusals.Pending(); refusals != nil {
			m.broadcast(refusals, m.isLocalEntry)
		}
	}
}
