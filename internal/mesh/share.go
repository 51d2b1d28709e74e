package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// fullState returns all records for another node. Entries of other data centres get the configuration only on request: they watch
// the store themselves, and the links to them have little bandwidth.
func (m *Mesh) fullState(to message.Hello) *message.FleetState {
	config, revision, upstreams, versions := m.cfg.State.Records()
	out := &message.FleetState{UpstreamsComplete: m.cfg.State.Snapshot().UpstreamsComplete}
	if to.Role == message.RoleAgent || to.DataCentre == m.cfg.Self.DataCentre {
		out.Config = m.encoder.encode(config, to.Role)
	}
	if config != nil {
		out.ConfigVersion, out.ConfigRevision = config.Version, revision
	}
	for _, u := range upstreams {
		out.Upstreams = append(out.Upstreams, upstreamMessage(u))
	}
	out.Versions = versionMessages(versions)
	if to.Role == message.RoleEntry {
		for _, c := range m.cfg.State.Checkpoints() {
			out.Checkpoints = append(out.Checkpoints, message.FleetCheckpoint(c))
		}
	}
	m.setStaleness(out)
	return out
}

// upstreamMessage returns the wire form of an upstream record.
func upstreamMessage(u fleet.UpstreamRecord) message.FleetUpstream {
	return message.FleetUpstream{ID: u.ID, Era: u.Era, Revision: u.Revision, Announcement: u.Announcement}
}

// versionMessages returns the wire form of version records.
func versionMessages(records []fleet.VersionRecord) []message.FleetVersion {
	var out []message.FleetVersion
	for _, v := range records {
		out = append(out, versionMessage(v))
	}
	return out
}

// versionMessage returns the wire form of a version record, with its age instead of a point in time.
func versionMessage(v fleet.VersionRecord) message.FleetVersion {
	return message.FleetVersion{Model: v.Model, Version: v.Version, Revision: v.Revision,
		AgeMillis: time.Since(v.NamedAt).Milliseconds(), AgeAssumed: v.AgeAssumed}
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

// shareChanges sends changes of the state to other nodes as they occur, batched into one message for each kind of receiver.
func (m *Mesh) shareChanges(ctx context.Context) {
	for {
		var first fleet.Change
		select {
		case <-ctx.Done():
			return
		case first = <-m.changes:
		}
		if m.resyncNeeded.Swap(false) {
			m.drainChanges()
			for _, p := range m.peers(func(*peer) bool { return true }) {
				m.broadcast(m.fullState(p.hello), func(other *peer) bool { return other == p })
			}
			continue
		}
		local, remote, agents := m.batchChanges(first)
		if !isEmptyState(local) {
			m.broadcast(local, m.records())
		}
		if m.isRemoteSender() {
			m.broadcast(remote, m.remoteReceivers())
		}
		if m.localRanking().isHub() && !isEmptyState(agents) {
			m.broadcast(agents, isAgent)
		}
	}
}

// forwardLocally forwards a report of another data centre to the entries of the own data centre, or to the relays.
func (m *Mesh) forwardLocally(p *peer, msg message.Message) {
	if m.isRemoteEntry(p) {
		go m.broadcast(msg, m.reports())
	}
}

func (m *Mesh) isLocalEntry(p *peer) bool {
	return isEntry(p) && p.hello.DataCentre == m.cfg.Self.DataCentre
}

func (m *Mesh) isRemoteEntry(p *peer) bool {
	return isEntry(p) && p.hello.DataCentre != m.cfg.Self.DataCentre
}

// sendConfig sends the configuration to a node that requested it.
func (m *Mesh) sendConfig(p *peer) {
	snap := m.cfg.State.Snapshot()
	if snap.Index == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		msg := &message.FleetState{Config: m.encoder.encode(snap.Index.Config, message.RoleEntry),
			ConfigVersion: snap.ConfigVersion(), ConfigRevision: snap.ConfigRevision}
		if err := p.conn.Send(ctx, msg); err != nil {
			m.cfg.Log.V(1).Info("configuration was not sent", "peer", p.hello.NodeID, "cause", err.Error())
		}
	}()
}

func isAgent(p *peer) bool { return p.hello.Role == message.RoleAgent }

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
	return msg.Config == nil && len(msg.Upstreams) == 0 && len(msg.Versions) == 0 && len(msg.Checkpoints) == 0
}

// drainChanges discards the queued changes.
func (m *Mesh) drainChanges() {
	for {
		select {
		case <-m.changes:
		default:
			return
		}
	}
}

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
			m.broadcast(&local, m.records())
			if rounds++; rounds%remoteStalenessRounds == 0 && m.isRemoteSender() {
				m.broadcast(msg, m.remoteReceivers())
			}
		}
	}
}

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

// ReportLoad sends the load of an agent's upstream to the entries that pass it on, or to all linked ones if it has no links to entries of its
// own data centre.
func (m *Mesh) ReportLoad(l message.UpstreamLoad) {
	match := m.reports()
	if len(m.peers(match)) == 0 {
		match = isEntry
	}
	m.broadcast(&message.UpstreamLoads{Loads: []message.UpstreamLoad{l}}, match)
}
