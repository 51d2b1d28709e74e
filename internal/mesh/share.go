package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// wholeState returns all facts for another node. Other data centres get no configuration unless they ask: they watch the store
// themselves, and the links to them are narrow.
func (m *Mesh) wholeState(to message.Hello) *message.FleetState {
	config, revision, upstreams, versions := m.cfg.State.Records()
	out := &message.FleetState{ConfigRevision: revision, Listed: m.cfg.State.Snapshot().UpstreamsComplete}
	if to.Role == message.RoleAgent || to.DataCentre == m.cfg.Self.DataCentre {
		out.Config = m.packed.of(config, revision, to.Role)
	}
	for _, u := range upstreams {
		out.Upstreams = append(out.Upstreams, message.FleetUpstream{ID: u.ID, Revision: u.Revision, Entry: u.Announcement})
	}
	for _, v := range versions {
		out.Versions = append(out.Versions, wireVersion(v))
	}
	m.addFreshness(out)
	return out
}

func wireVersion(v fleet.VersionRecord) message.FleetVersion {
	return message.FleetVersion{Model: v.Model, Version: v.Version, Revision: v.Revision, Age: time.Since(v.NamedAt).Milliseconds()}
}

func (m *Mesh) addFreshness(out *message.FleetState) {
	age, known := m.cfg.State.Staleness()
	out.Fresh, out.FreshAge = known, age.Milliseconds()
	if out.ConfigRevision == 0 {
		out.ConfigRevision = m.cfg.State.Snapshot().ConfigRevision
	}
}

// mergeState merges the facts of another node.
func (m *Mesh) mergeState(p *peer, msg *message.FleetState) {
	state := m.cfg.State
	if msg.Pull {
		m.sendConfig(p)
		return
	}
	if msg.Config == nil && msg.ConfigRevision > state.Snapshot().ConfigRevision && isEntry(p) {
		m.pullLater(p, msg.ConfigRevision)
	}
	if msg.Config != nil && msg.ConfigRevision > state.Snapshot().ConfigRevision {
		m.mergeConfig(p, msg)
	}
	for _, u := range msg.Upstreams {
		state.ApplyUpstream(fleet.UpstreamRecord{ID: u.ID, Revision: u.Revision, Announcement: u.Entry})
	}
	for _, v := range msg.Versions {
		known := fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: v.Model, Version: v.Version}, Revision: v.Revision,
			NamedAt: time.Now().Add(-time.Duration(v.Age) * time.Millisecond)}
		if state.ApplyVersion(known) {
			m.cfg.Log.Info("model version named", "model", v.Model, "version", v.Version, "age_ms", v.Age, "from", p.hello.NodeID)
		}
	}
	if msg.Listed {
		state.MarkUpstreamsComplete()
	}
	if msg.Fresh && isEntry(p) {
		state.MarkUpToDate(time.Now().Add(-time.Duration(msg.FreshAge) * time.Millisecond))
	}
}

// mergeConfig puts a configuration of another node in force.
func (m *Mesh) mergeConfig(p *peer, msg *message.FleetState) {
	config, err := message.UnpackConfig(msg.Config)
	if err != nil {
		m.cfg.Log.Error(err, "configuration from peer is unusable", "peer", p.hello.NodeID, "revision", msg.ConfigRevision)
		return
	}
	if m.isLocalEntry(p) {
		m.toldLocally.Store(msg.ConfigRevision)
	}
	if m.cfg.State.ApplyConfig(config, msg.ConfigRevision) {
		m.cfg.Log.Info("configuration in force", "version", config.Version, "revision", msg.ConfigRevision,
			"routes", len(config.Routes), "from", p.hello.NodeID)
	}
}

// shareChanges passes on facts as this node learns them, several in one message.
func (m *Mesh) shareChanges(ctx context.Context) {
	for {
		var first fleet.Change
		select {
		case <-ctx.Done():
			return
		case first = <-m.changes:
		}
		if m.resync.Swap(false) {
			m.drainChanges()
			for _, p := range m.peers(func(*peer) bool { return true }) {
				m.broadcast(m.wholeState(p.hello), func(other *peer) bool { return other == p })
			}
			continue
		}
		local, remote, agents := m.collect(first)
		m.broadcast(local, m.isLocalEntry)
		if m.speaks() {
			m.broadcast(remote, m.isRemoteEntry)
		}
		m.broadcast(agents, isAgent)
	}
}

// speakers is the number of entries of a data centre that tell the others what goes on in it. Links between regions are narrow and
// dear; all entries together would send everything many times.
const speakers = 2

// speaks tells whether this entry is a speaker of its data centre.
func (m *Mesh) speaks() bool {
	own := rank("speak", m.cfg.Self.NodeID)
	before := 0
	for _, p := range m.peers(m.isLocalEntry) {
		if rank("speak", p.hello.NodeID) > own {
			before++
		}
	}
	return before < speakers
}

// relayLocally passes on to the own data centre what an entry of another one has said.
func (m *Mesh) relayLocally(p *peer, msg message.Message) {
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

// pullDelay is how long the own data centre has to learn a configuration from the store before another one is asked for it.
const pullDelay = 300 * time.Millisecond

// pullLater asks a node for its configuration unless it has come from elsewhere meanwhile.
func (m *Mesh) pullLater(p *peer, revision int64) {
	if m.pulling.Swap(true) {
		return
	}
	delay := pullDelay
	if m.cfg.State.Snapshot().Index == nil {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		m.pulling.Store(false)
		if m.cfg.State.Snapshot().ConfigRevision >= revision {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := p.conn.Send(ctx, &message.FleetState{Pull: true}); err != nil {
			m.cfg.Log.V(1).Info("configuration was not asked for", "peer", p.hello.NodeID, "cause", err.Error())
		}
	})
}

// sendConfig answers a node that asks for the configuration.
func (m *Mesh) sendConfig(p *peer) {
	snap := m.cfg.State.Snapshot()
	if snap.Index == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		msg := &message.FleetState{Config: m.packed.of(snap.Index.Config, snap.ConfigRevision, message.RoleEntry),
			ConfigRevision: snap.ConfigRevision}
		if err := p.conn.Send(ctx, msg); err != nil {
			m.cfg.Log.V(1).Info("configuration was not sent", "peer", p.hello.NodeID, "cause", err.Error())
		}
	}()
}

func isAgent(p *peer) bool { return p.hello.Role == message.RoleAgent }

// collect joins the changes that wait into one message for each kind of receiver. A configuration that another entry of the data
// centre has told is left to that entry: who misses it learns its revision from the next statement of freshness and asks.
func (m *Mesh) collect(first fleet.Change) (local, remote, agents *message.FleetState) {
	toEntries := &message.FleetState{Listed: m.cfg.State.Snapshot().UpstreamsComplete}
	var config *catalog.Config
	for c, more := first, true; more; {
		switch {
		case c.Config != nil:
			config, toEntries.ConfigRevision = c.Config, c.Revision
		case c.Upstream != nil:
			toEntries.Upstreams = append(toEntries.Upstreams,
				message.FleetUpstream{ID: c.Upstream.ID, Revision: c.Upstream.Revision, Entry: c.Upstream.Announcement})
		case c.Version != nil:
			toEntries.Versions = append(toEntries.Versions, wireVersion(*c.Version))
		}
		select {
		case c = <-m.changes:
		default:
			more = false
		}
	}
	m.addFreshness(toEntries)
	forAgents, forRemote := *toEntries, *toEntries
	if config != nil {
		forAgents.Config = m.packed.of(config, forAgents.ConfigRevision, message.RoleAgent)
		if m.toldLocally.Load() != toEntries.ConfigRevision {
			toEntries.Config = m.packed.of(config, toEntries.ConfigRevision, message.RoleEntry)
		}
	}
	return toEntries, &forRemote, &forAgents
}

func (m *Mesh) drainChanges() {
	for {
		select {
		case <-m.changes:
		default:
			return
		}
	}
}

// shareFreshness tells other entries how current this node is.
func (m *Mesh) shareFreshness(ctx context.Context) {
	ticker := time.NewTicker(freshInterval)
	defer ticker.Stop()
	rounds := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			msg := &message.FleetState{}
			m.addFreshness(msg)
			if !msg.Fresh {
				continue
			}
			m.broadcast(msg, m.isLocalEntry)
			if rounds++; rounds%freshRemoteRounds == 0 && m.speaks() {
				m.broadcast(msg, m.isRemoteEntry)
			}
		}
	}
}

// shareLoads passes the loads that agents have reported here to entries of other data centres.
func (m *Mesh) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			loads := m.ownLoads()
			if len(loads) > 0 && m.speaks() {
				m.broadcast(&message.UpstreamLoads{Loads: loads}, m.isRemoteEntry)
			}
		}
	}
}

const (
	// workInterval is the time between statements of what this entry has in progress while that changes.
	workInterval = 40 * time.Millisecond
	// workRepeat is the time after which an unchanged statement is made again, workRemote the time between statements to other
	// data centres.
	workRepeat = 600 * time.Millisecond
	workRemote = 300 * time.Millisecond
)

// shareWork tells other entries what this one has in progress. Other data centres are told of their own upstreams only.
func (m *Mesh) shareWork(ctx context.Context) {
	ticker := time.NewTicker(workInterval)
	defer ticker.Stop()
	var last []message.UpstreamWork
	var sent, sentRemote time.Time
	toldRemote := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			work := m.cfg.OwnWork()
			if slices.Equal(work, last) && now.Sub(sent) < workRepeat {
				continue
			}
			last, sent = work, now
			m.broadcast(&message.EntryWork{NodeID: m.cfg.Self.NodeID, Work: work}, m.isLocalEntry)
			if remote := m.remoteWork(work); (len(remote) > 0 || toldRemote) && now.Sub(sentRemote) >= workRemote {
				sentRemote, toldRemote = now, len(remote) > 0
				m.broadcast(&message.EntryWork{NodeID: m.cfg.Self.NodeID, Work: remote}, m.isRemoteEntry)
			}
		}
	}
}

// remoteWork returns the work at upstreams of other data centres.
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

// ownLoads returns the recent loads of upstreams in the own data centre.
func (m *Mesh) ownLoads() []message.UpstreamLoad {
	snap := m.cfg.State.Snapshot()
	ownWork := map[string]message.UpstreamWork{}
	for _, w := range m.cfg.OwnWork() {
		ownWork[w.ID] = w
	}
	var out []message.UpstreamLoad
	for _, l := range m.cfg.Loads.Since(loadInterval) {
		if u := snap.ByAddress(l.Address); u != nil && u.DataCentre == m.cfg.Self.DataCentre {
			l.Entries = m.cfg.PeerWork.At(u.ID)
			own := ownWork[u.ID]
			l.Entries.Running += own.Running
			l.Entries.Waiting += own.Waiting
			l.Entries.Tokens += own.Tokens
			l.Entries.ID, l.HasEntries = "", true
			out = append(out, l)
		}
	}
	return out
}

// ReportLoad sends the load of an agent's upstream to the entries that it is linked to.
func (m *Mesh) ReportLoad(l message.UpstreamLoad) {
	m.broadcast(&message.UpstreamLoads{Loads: []message.UpstreamLoad{l}}, isEntry)
}

// passedOn copies a message so that it can be sent while its original is merged.
func passedOn(msg *message.UpstreamLoads) *message.UpstreamLoads {
	return &message.UpstreamLoads{Loads: append([]message.UpstreamLoad(nil), msg.Loads...)}
}
