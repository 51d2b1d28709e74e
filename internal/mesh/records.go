package mesh

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// sendInitialState sends the members on a new link and, from an entry, the full state. An agent sends its records of versions.
func (m *Mesh) sendInitialState(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	err := p.conn.Send(ctx, &message.Members{Members: m.memberList()})
	if err == nil {
		err = p.conn.Send(ctx, m.initialState(p.hello))
	}
	if err == nil && isEntry(p) && m.cfg.Poison != nil {
		if evidence := m.cfg.Poison.Export(); evidence != nil {
			err = p.conn.Send(ctx, evidence)
		}
	}
	if err != nil {
		m.cfg.Log.V(1).Info("initial state was not sent", "peer", p.hello.NodeID, "cause", err.Error())
	}
}

// initialState returns the records to send on a new link.
func (m *Mesh) initialState(to message.Hello) *message.FleetState {
	if m.cfg.Self.Role == message.RoleEntry {
		return m.fullState(to)
	}
	_, _, _, versions := m.cfg.State.Records()
	return &message.FleetState{Versions: versionMessages(versions)}
}

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
	for _, r := range m.cfg.State.Snapshot().Evacuations() {
		out.Evacuations = append(out.Evacuations, evacuationMessage(r))
	}
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
