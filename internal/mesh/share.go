package mesh

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
)

// agentConfig returns the part of a configuration that agents need.
func agentConfig(c *catalog.Config) *catalog.Config {
	if c == nil {
		return nil
	}
	return &catalog.Config{Version: c.Version, Services: c.Services}
}

// wholeState returns all facts for a node of the given role.
func (m *Mesh) wholeState(role message.Role) *message.FleetState {
	config, revision, upstreams, versions := m.cfg.State.Facts()
	if role == message.RoleAgent {
		config = agentConfig(config)
	}
	out := &message.FleetState{Config: config, ConfigRevision: revision, Listed: m.cfg.State.Snapshot().Listed}
	for _, u := range upstreams {
		out.Upstreams = append(out.Upstreams, message.FleetUpstream{ID: u.ID, Revision: u.Revision, Entry: u.Entry})
	}
	for _, v := range versions {
		out.Versions = append(out.Versions, wireVersion(v))
	}
	m.addFreshness(out)
	return out
}

func wireVersion(v fleet.Version) message.FleetVersion {
	return message.FleetVersion{Model: v.Model, Version: v.Version, Revision: v.Revision, Age: time.Since(v.Since).Milliseconds()}
}

func (m *Mesh) addFreshness(out *message.FleetState) {
	age, known := m.cfg.State.Freshness()
	out.Fresh, out.FreshAge = known, age.Milliseconds()
}

// mergeState merges the facts of another node.
func (m *Mesh) mergeState(p *peer, msg *message.FleetState) {
	state := m.cfg.State
	if msg.Config != nil && state.ApplyConfig(msg.Config, msg.ConfigRevision) {
		m.cfg.Log.Info("configuration in force", "version", msg.Config.Version, "revision", msg.ConfigRevision,
			"routes", len(msg.Config.Routes), "from", p.hello.NodeID)
	}
	for _, u := range msg.Upstreams {
		state.ApplyUpstream(fleet.Upstream{ID: u.ID, Revision: u.Revision, Entry: u.Entry})
	}
	for _, v := range msg.Versions {
		known := fleet.Version{NamedVersion: catalog.NamedVersion{Model: v.Model, Version: v.Version}, Revision: v.Revision,
			Since: time.Now().Add(-time.Duration(v.Age) * time.Millisecond)}
		if state.ApplyVersion(known) {
			m.cfg.Log.Info("model version named", "model", v.Model, "version", v.Version, "age_ms", v.Age, "from", p.hello.NodeID)
		}
	}
	if msg.Listed {
		state.MarkListed()
	}
	if msg.Fresh && isEntry(p) {
		state.SetFresh(time.Now().Add(-time.Duration(msg.FreshAge) * time.Millisecond))
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
			m.broadcast(m.wholeState(message.RoleEntry), isEntry)
			m.broadcast(m.wholeState(message.RoleAgent), isAgent)
			continue
		}
		toEntries, toAgents := m.collect(first)
		m.broadcast(toEntries, isEntry)
		m.broadcast(toAgents, isAgent)
	}
}

func isAgent(p *peer) bool { return p.hello.Role == message.RoleAgent }

// collect joins the changes that wait into one message for entries and one for agents.
func (m *Mesh) collect(first fleet.Change) (toEntries, toAgents *message.FleetState) {
	toEntries = &message.FleetState{Listed: m.cfg.State.Snapshot().Listed}
	for c, more := first, true; more; {
		switch {
		case c.Config != nil:
			toEntries.Config, toEntries.ConfigRevision = c.Config, c.Revision
		case c.Upstream != nil:
			toEntries.Upstreams = append(toEntries.Upstreams,
				message.FleetUpstream{ID: c.Upstream.ID, Revision: c.Upstream.Revision, Entry: c.Upstream.Entry})
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
	forAgents := *toEntries
	forAgents.Config = agentConfig(toEntries.Config)
	return toEntries, &forAgents
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			msg := &message.FleetState{}
			m.addFreshness(msg)
			if msg.Fresh {
				m.broadcast(msg, isEntry)
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
			if len(loads) > 0 {
				m.broadcast(&message.UpstreamLoads{Loads: loads}, func(p *peer) bool {
					return isEntry(p) && p.hello.DataCentre != m.cfg.Self.DataCentre
				})
			}
		}
	}
}

// ownLoads returns the recent loads of upstreams in the own data centre.
func (m *Mesh) ownLoads() []message.UpstreamLoad {
	snap := m.cfg.State.Snapshot()
	var out []message.UpstreamLoad
	for _, l := range m.cfg.Loads.Since(loadInterval) {
		if u := snap.At(l.Address); u != nil && u.DataCentre == m.cfg.Self.DataCentre {
			out = append(out, l)
		}
	}
	return out
}

// ReportLoad sends the load of an agent's upstream to the entries that it is linked to.
func (m *Mesh) ReportLoad(l message.UpstreamLoad) {
	m.broadcast(&message.UpstreamLoads{Loads: []message.UpstreamLoad{l}}, isEntry)
}
