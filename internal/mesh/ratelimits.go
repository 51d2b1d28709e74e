package mesh

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// rateSharesInterval is the time between reports on rate limits while any limit is known. New limits are reported at once.
const rateSharesInterval = 300 * time.Millisecond

// shareRateLimits sends the other entries what this one knows of rate limits, and its demand, until ctx ends.
func (m *Mesh) shareRateLimits(ctx context.Context) {
	if m.cfg.RateLimits == nil {
		return
	}
	changed := make(chan struct{}, 1)
	m.cfg.RateLimits.Observe(func(message.RateLimit) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	ticker := time.NewTicker(rateSharesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
		if report := m.cfg.RateLimits.Export(); report != nil {
			m.broadcast(report, m.reportReceivers())
			if m.isRemoteSender() {
				m.broadcast(report, m.remoteReceivers())
			}
		}
	}
}

// handleRateShares merges the report of another entry and passes it on: one from another data centre to the own one, one from the own data
// centre as a relay.
func (m *Mesh) handleRateShares(p *peer, msg *message.RateShares) {
	if m.cfg.RateLimits == nil {
		return
	}
	m.cfg.RateLimits.Merge(msg)
	r := m.localRanking()
	switch {
	case m.isRemoteEntry(p):
		m.relayed.addRateShares(*msg)
	case r.isRelay():
		if !r.direct {
			m.relayed.addRateShares(*msg)
		}
		go m.broadcast(msg, m.remoteReceivers())
	}
}
