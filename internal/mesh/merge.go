package mesh

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// mergeState merges a state message of another node. If an entry reports a newer configuration version without the
// configuration, a request for it is scheduled. A message with RequestConfig is answered with the configuration, and its other
// fields are ignored.
func (m *Mesh) mergeState(p *peer, msg *message.FleetState) {
	state := m.cfg.State
	if msg.RequestConfig {
		m.sendConfig(p)
		return
	}
	if msg.Era > 0 && state.ObserveEra(msg.Era) {
		m.cfg.Log.Info("store was restored from an earlier copy", "era", msg.Era, "from", p.hello.NodeID)
	}
	m.mergeEvacuations(p, msg) // Before the configuration, with which the node may become ready.
	if msg.Config == nil && msg.ConfigVersion > state.Snapshot().ConfigVersion() && isEntry(p) {
		m.requestConfigLater(p, msg.ConfigVersion)
	}
	if msg.Config != nil && (msg.ConfigVersion == 0 || msg.ConfigVersion > state.Snapshot().ConfigVersion()) {
		m.mergeConfig(p, msg)
	}
	upstreams := make([]fleet.UpstreamRecord, 0, len(msg.Upstreams))
	for _, u := range msg.Upstreams {
		upstreams = append(upstreams, fleet.UpstreamRecord{ID: u.ID, Era: m.eraOf(msg, u), Revision: u.Revision, Announcement: u.Announcement,
			Source: p.hello.NodeID})
	}
	state.ApplyUpstreams(upstreams)
	for _, v := range msg.Versions {
		m.mergeVersion(p, v)
	}
	for _, c := range msg.Checkpoints {
		state.ApplyCheckpoint(fleet.CheckpointRecord(c))
	}
	if msg.UpstreamsComplete {
		state.MarkUpstreamsComplete()
	}
	if msg.HasStaleness && isEntry(p) {
		state.MarkUpToDate(time.Now().Add(-time.Duration(msg.StalenessMillis) * time.Millisecond))
	}
}

// eraOf returns the era of an upstream record. Nodes of earlier releases state none: as long as this node knows of no restore of the store,
// their records are of the only era that it knows.
func (m *Mesh) eraOf(msg *message.FleetState, u message.FleetUpstream) int64 {
	if msg.Era == 0 && u.Era == 0 && m.cfg.State.RestoredAt().IsZero() {
		return m.cfg.State.Era()
	}
	return u.Era
}

// mergeVersion merges a version record of another node. If the record may have lain unread while this node stood still, its age is the longest
// possible one and counts as assumed. It logs versions that are new to this node, and ages that were only assumed before.
func (m *Mesh) mergeVersion(p *peer, v message.FleetVersion) {
	state := m.cfg.State
	before, _ := state.Snapshot().NewestVersion(v.Model)
	delay := m.cfg.ReadDelay()
	age, assumed := time.Duration(v.AgeMillis)*time.Millisecond+delay, v.AgeAssumed || delay > 0
	record := fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: v.Model, Version: v.Version}, Revision: v.Revision,
		NamedAt: time.Now().Add(-age), AgeAssumed: assumed}
	if state.ApplyVersion(record) {
		m.cfg.Log.Info("model version named", "model", v.Model, "version", v.Version, "age_ms", age.Milliseconds(),
			"age_assumed", assumed, "unread_ms", delay.Milliseconds(), "from", p.hello.NodeID)
		return
	}
	if before.Version == v.Version && before.AgeAssumed && !assumed {
		m.cfg.Log.Info("age of model version known", "model", v.Model, "version", v.Version, "age_ms", v.AgeMillis,
			"assumed_age_ms", time.Since(before.NamedAt).Milliseconds(), "from", p.hello.NodeID)
	}
}
