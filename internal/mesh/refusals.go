package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

// refusalsInterval is the time between messages with refused requests. Callers that honour Retry-After come back after 300 ms at the earliest.
const refusalsInterval = 100 * time.Millisecond

// shareRefusals periodically sends the requests that this entry has refused to the other entries of the data centre, or to the relays, until
// ctx ends.
func (m *Mesh) shareRefusals(ctx context.Context) {
	if m.cfg.Refusals == nil {
		return
	}
	ticker := time.NewTicker(refusalsInterval)
	defer ticker.Stop()
	seq := rand.Uint64() >> 1 // Entries may still know messages of an earlier process of this entry.
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if refusals := m.cfg.Refusals.Pending(); refusals != nil {
			seq++
			refusals.NodeID, refusals.Seq = m.cfg.Self.NodeID, seq
			m.broadcast(refusals, m.reportReceivers())
		}
	}
}

// maxSeenRefusals bounds the messages that are recognised when they arrive again.
const maxSeenRefusals = 4096

// refusalMessage identifies a message with refusals.
type refusalMessage struct {
	nodeID string
	seq    uint64
}

// newSeenRefusals returns an empty record of messages with refusals.
func newSeenRefusals() *lru.Cache[refusalMessage, struct{}] {
	seen, err := lru.New[refusalMessage, struct{}](maxSeenRefusals)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return seen
}

// mergeRefusals merges a message unless it has arrived before, from another relay: a refusal explains the return of one caller only.
func (m *Mesh) mergeRefusals(msg *message.Refusals) {
	if m.cfg.Refusals == nil {
		return
	}
	if msg.NodeID != "" {
		if seen, _ := m.seenRefusals.ContainsOrAdd(refusalMessage{msg.NodeID, msg.Seq}, struct{}{}); seen {
			return
		}
	}
	m.cfg.Refusals.Merge(msg)
}

// handleRefusals merges the refusals of another entry and passes them on as a relay.
func (m *Mesh) handleRefusals(msg *message.Refusals) {
	if m.cfg.Refusals == nil {
		return
	}
	if r := m.localRanking(); !r.direct && r.isRelay() && msg.NodeID != "" {
		m.relayed.addRefusals(*msg)
	}
	m.mergeRefusals(msg)
}
