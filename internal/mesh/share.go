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
	if msg.Config == nil && msg.ConfigVersion > state.Snapshot().ConfigVersion() && isEntry(p) {
		m.requestConfigLater(p, msg.ConfigVersion)
	}
	if msg.Config != nil && (msg.ConfigVersion == 0 || msg.ConfigVersion > state.Snapshot().ConfigVersion()) {
		m.mergeConfig(p, msg)
	}
	for _, u := range msg.Upstreams {
		state.ApplyUpstream(fleet.UpstreamRecord{ID: u.ID, Era: m.eraOf(msg, u), Revision: u.Revision, Announcement: u.Announcement})
	}
	for _, v := range msg.Versions {
		m.mergeVersion(p, v)
	}
	if msg.UpstreamsComplete {
		state.MarkUpstreamsComplete()
	}
	if msg.HasStaleness && isEntry(p) {
		state.MarkUpToDate(time.Now().Add(-time.Duration(msg.StalenessMillis) * time.Millisecond))
	}
}

// eraOf returns the era of an upstream record. Nodes of earlier releases state none: as long as this node has not heard of a restore of the store,
// their records are of the only era that it knows.
func (m *Mesh) eraOf(msg *message.FleetState, u message.FleetUpstream) int64 {
	if msg.Era == 0 && u.Era == 0 && m.cfg.State.RestoredAt().IsZero() {
		return m.cfg.State.Era()
	}
	return u.Era
}

// mergeVersion merges a version record of another node. It logs versions that are new to this node, and ages that were only assumed
// before.
func (m *Mesh) mergeVersion(p *peer, v message.FleetVersion) {
	state := m.cfg.State
	before, _ := state.Snapshot().NewestVersion(v.Model)
	record := fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: v.Model, Version: v.Version}, Revision: v.Revision,
		NamedAt: time.Now().Add(-time.Duration(v.AgeMillis) * time.Millisecond), AgeAssumed: v.AgeAssumed}
	if state.ApplyVersion(record) {
		m.cfg.Log.Info("model version named", "model", v.Model, "version", v.Version, "age_ms", v.AgeMillis,
			"age_assumed", v.AgeAssumed, "from", p.hello.NodeID)
		return
	}
	if before.Version == v.Version && before.AgeAssumed && !v.AgeAssumed {
		m.cfg.Log.Info("age of model version known", "model", v.Model, "version", v.Version, "age_ms", v.AgeMillis,
			"assumed_age_ms", time.Since(before.NamedAt).Milliseconds(), "from", p.hello.NodeID)
	}
}

// mergeConfig decodes the configuration of another node and puts it in force if it is newer.
func (m *Mesh) mergeConfig(p *peer, msg *message.FleetState) {
	config, err := message.UnpackConfig(msg.Config)
	if err != nil {
		m.cfg.Log.Error(err, "cannot decode configuration from peer", "peer", p.hello.NodeID, "revision", msg.ConfigRevision)
		return
	}
	if m.isLocalEntry(p) {
		m.versionFromLocalEntry.Store(config.Version)
	}
	if m.cfg.State.ApplyConfig(config, msg.ConfigRevision) {
		m.cfg.Log.Info("configuration in force", "version", config.Version, "revision", msg.ConfigRevision,
			"routes", len(config.Routes), "from", p.hello.NodeID)
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
		m.broadcast(local, m.isLocalEntry)
		if m.isRemoteSender() {
			m.broadcast(remote, m.isRemoteEntry)
		}
		m.broadcast(agents, isAgent)
	}
}

// remoteSenders is the number of entries per data centre that send its state to other data centres. Links between regions have
// little bandwidth and are expensive; if all entries sent, the same data would be transferred over them many times.
const remoteSenders = 2

// isRemoteSender reports whether this entry is one of the remoteSenders of its data centre: those that rank highest for a key.
func (m *Mesh) isRemoteSender() bool {
	ownRank := rank("speak", m.cfg.Self.NodeID)
	rankedHigher := 0
	for _, p := range m.peers(m.isLocalEntry) {
		if rank("speak", p.hello.NodeID) > ownRank {
			rankedHigher++
		}
	}
	return rankedHigher < remoteSenders
}

// forwardLocally forwards a message of an entry in another data centre to the entries of the own data centre.
func (m *Mesh) forwardLocally(p *peer, msg message.Message) {
	if m.isRemoteEntry(p) {
		go m.broadcast(msg, m.isLocalEntry)
	}
}

func (m *Mesh) isLocalEntry(p *peer) bool {
	return isEntry(p) && p.hello.DataCentre == m.cfg.Self.DataCentre
}

func (m *Mesh) isRemoteEntry(p *peer) bool {
	return isEntry(p) && p.hello.DataCentre != m.cfg.Self.DataCentre
}

// configRequestDelay is the time for the own data centre to get a new configuration from the store before it is requested from
// a peer.
const configRequestDelay = 300 * time.Millisecond

// requestConfigLater requests a node's configuration after configRequestDelay unless that version has arrived from elsewhere
// by then. A node without any configuration requests it at once.
func (m *Mesh) requestConfigLater(p *peer, version int64) {
	if m.configRequestPending.Swap(true) {
		return
	}
	delay := configRequestDelay
	if m.cfg.State.Snapshot().Index == nil {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		m.configRequestPending.Store(false)
		if m.cfg.State.Snapshot().ConfigVersion() >= version {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := p.conn.Send(ctx, &message.FleetState{RequestConfig: true}); err != nil {
			m.cfg.Log.V(1).Info("configuration request was not sent", "peer", p.hello.NodeID, "cause", err.Error())
		}
	})
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
// it.
func (m *Mesh) batchChanges(first fleet.Change) (local, remote, agents *message.FleetState) {
	toEntries := &message.FleetState{UpstreamsComplete: m.cfg.State.Snapshot().UpstreamsComplete}
	var config *catalog.Config
	for c, more := first, true; more; {
		switch {
		case c.Config != nil:
			config, toEntries.ConfigVersion, toEntries.ConfigRevision = c.Config, c.Config.Version, c.Revision
		case c.Upstream != nil:
			toEntries.Upstreams = append(toEntries.Upstreams, upstreamMessage(*c.Upstream))
		case c.Version != nil:
			toEntries.Versions = append(toEntries.Versions, versionMessage(*c.Version))
		}
		select {
		case c = <-m.changes:
		default:
			more = false
		}
	}
	m.setStaleness(toEntries)
	forAgents, forRemote := *toEntries, *toEntries
	if config != nil {
		forAgents.Config = m.encoder.encode(config, message.RoleAgent)
		if m.versionFromLocalEntry.Load() != config.Version {
			toEntries.Config = m.encoder.encode(config, message.RoleEntry)
		}
	}
	return toEntries, &forRemote, &forAgents
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
			m.broadcast(msg, m.isLocalEntry)
			if rounds++; rounds%remoteStalenessRounds == 0 && m.isRemoteSender() {
				m.broadcast(msg, m.isRemoteEntry)
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
			loads := m.localLoads()
			if len(loads) > 0 && m.isRemoteSender() {
				m.broadcast(&message.UpstreamLoads{Loads: loads}, m.isRemoteEntry)
			}
		}
	}
}

const (
	// workInterval is the time between checks of the work in progress; changed work is sent to local entries at each.
	workInterval = 40 * time.Millisecond
	// workRepeatInterval is the time after which unchanged work is sent again. remoteWorkInterval is the shortest time between
	// work messages to other data centres.
	workRepeatInterval = 600 * time.Millisecond
	remoteWorkInterval = 300 * time.Millisecond
)

// shareWork sends other entries the requests in progress at this one. Other data centres get only the work at upstreams outside
// this data centre, and one empty message when there is none any more.
func (m *Mesh) shareWork(ctx context.Context) {
	ticker := time.NewTicker(workInterval)
	defer ticker.Stop()
	var lastWork []message.UpstreamWork
	var sentAt, remoteSentAt time.Time
	lastRemoteNonEmpty := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			work := m.cfg.OwnWork()
			if slices.Equal(work, lastWork) && now.Sub(sentAt) < workRepeatInterval {
				continue
			}
			lastWork, sentAt = work, now
			m.broadcast(&message.EntryWork{NodeID: m.cfg.Self.NodeID, Work: work}, m.isLocalEntry)
			if remote := m.remoteWork(work); (len(remote) > 0 || lastRemoteNonEmpty) && now.Sub(remoteSentAt) >= remoteWorkInterval {
				remoteSentAt, lastRemoteNonEmpty = now, len(remote) > 0
				m.broadcast(&message.EntryWork{NodeID: m.cfg.Self.NodeID, Work: remote}, m.isRemoteEntry)
			}
		}
	}
}

// remoteWork returns the work at upstreams in other data centres.
func (m *Mesh) remoteWork(work []message.UpstreamWork) []message.UpstreamWork {
	snap := m.cfg.State.Snapshot()
	var out []message.UpstreamWork
	for _, w := range work {
		if u := snap.ByID(w.ID); u != nil && u.DataCentre != m.cfg.Self.DataCentre {
			out = append(out, w)
		}
	}
	return out
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

// ReportLoad sends the load of an agent's upstream to all linked entries.
func (m *Mesh) ReportLoad(l message.UpstreamLoad) {
	m.broadcast(&message.UpstreamLoads{Loads: []message.UpstreamLoad{l}}, isEntry)
}

// copyLoads copies a message so that the copy can be sent while the original is merged.
func copyLoads(msg *message.UpstreamLoads) *message.UpstreamLoads {
	return &message.UpstreamLoads{Loads: append([]message.UpstreamLoad(nil), msg.Loads...)}
}
