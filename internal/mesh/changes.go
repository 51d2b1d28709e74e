package mesh

import (
	"context"
	"slices"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// changeQueueSize bounds the queue of changes to send. When the queue overflows, the full state is sent on all links
// instead.
const changeQueueSize = 1024

// shareChanges sends changes of the state to other nodes as they occur, batched into one message for each kind of receiver.
func (m *Mesh) shareChanges(ctx context.Context) {
	for {
		var first fleet.Change
		select {
		case <-ctx.Done():
			return
		case first = <-m.changes:
		}
		local, remote, agents := m.batchChanges(first)
		// Checked once the queue is empty: what was dropped while it was read is in no later batch.
		if m.resyncNeeded.Swap(false) {
			m.sendFullState()
			continue
		}
		if !isEmptyState(local) {
			m.broadcast(local, m.recordReceivers())
		}
		if m.isRemoteSender() {
			m.broadcast(remote, m.remoteReceivers())
		}
		if m.localRanking().isHub() && !isEmptyState(agents) {
			m.broadcast(agents, isAgent)
		}
	}
}

// batchChanges combines first and the queued changes into one message per kind of receiver. Entries of other data centres get only
// the version of a new configuration. Entries of the own data centre get no configuration that this node received from one of
// them: the sender distributes it, and an entry that misses it sees the newer version in the next staleness message and requests
// it. In a large data centre they get no upstreams that this node received from a relay, which sends them to all.
func (m *Mesh) batchChanges(first fleet.Change) (local, remote, agents *message.FleetState) {
	toEntries := &message.FleetState{UpstreamsComplete: m.cfg.State.Snapshot().UpstreamsComplete}
	r := m.localRanking()
	var ownUpstreams []message.FleetUpstream
	var config *catalog.Config
	for c, more := first, true; more; {
		switch {
		case c.Config != nil:
			config, toEntries.ConfigVersion, toEntries.ConfigRevision = c.Config, c.Config.Version, c.Revision
		case c.Upstream != nil:
			upstream := upstreamMessage(*c.Upstream)
			toEntries.Upstreams = append(toEntries.Upstreams, upstream)
			if r.direct || r.isRelay() || !slices.Contains(r.relays, c.Upstream.Source) {
				ownUpstreams = append(ownUpstreams, upstream)
			}
		case c.Version != nil:
			toEntries.Versions = append(toEntries.Versions, versionMessage(*c.Version))
		case c.Evacuation != nil:
			toEntries.Evacuations = append(toEntries.Evacuations, evacuationMessage(*c.Evacuation))
		case c.Checkpoint != nil:
			toEntries.Checkpoints = append(toEntries.Checkpoints, message.FleetCheckpoint(*c.Checkpoint))
		}
		select {
		case c = <-m.changes:
		default:
			more = false
		}
	}
	m.setStaleness(toEntries)
	forAgents, forRemote := *toEntries, *toEntries
	toEntries.Upstreams, forAgents.Checkpoints = ownUpstreams, nil
	if config != nil {
		forAgents.Config = m.encoder.encode(config, message.RoleAgent)
		if m.versionFromLocalEntry.Load() != config.Version {
			toEntries.Config = m.encoder.encode(config, message.RoleEntry)
		}
	}
	return toEntries, &forRemote, &forAgents
}

// isEmptyState reports whether a message carries no records. The version of the configuration is also in the messages with the staleness.
func isEmptyState(msg *message.FleetState) bool {
	return msg.Config == nil && len(msg.Upstreams) == 0 && len(msg.Versions) == 0 && len(msg.Checkpoints) == 0 && len(msg.Evacuations) == 0
}

// sendFullState sends the full state on all links, because changes were dropped.
func (m *Mesh) sendFullState() {
	peers := m.peers(func(*peer) bool { return true })
	m.cfg.Log.Info("changes dropped, sending the full state", "peers", len(peers))
	for _, p := range peers {
		m.broadcast(m.fullState(p.hello), only(p))
	}
}
