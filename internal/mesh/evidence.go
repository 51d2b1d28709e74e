package mesh

import (
	"context"

	"github.com/pimentohead/pimentohead/internal/message"
)

// evidenceQueueSize bounds the queue of evidence to send. When it overflows, all evidence is sent instead.
const evidenceQueueSize = 256

// observeEvidence queues the evidence on requests that crash upstreams as it becomes known to this entry.
func (m *Mesh) observeEvidence() {
	m.evidence = make(chan *message.CrashEvidence, evidenceQueueSize)
	if m.cfg.Poison == nil {
		return
	}
	m.cfg.Poison.Observe(func(evidence *message.CrashEvidence) {
		select {
		case m.evidence <- evidence:
		default:
			m.evidenceDropped.Store(true)
		}
	})
}

// shareEvidence sends queued evidence to all linked entries until ctx ends. An entry passes on only what was new to it, so that
// evidence reaches all entries over any path and no message circulates for ever.
func (m *Mesh) shareEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case evidence := <-m.evidence:
			if m.evidenceDropped.Swap(false) {
				evidence = m.cfg.Poison.Export()
			}
			if evidence != nil {
				m.broadcast(evidence, isEntry)
			}
		}
	}
}
