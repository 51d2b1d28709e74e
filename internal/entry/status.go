package entry

import (
	"sort"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Status implements admin.StatusSource. Agents without a link to this entry, such as those of other data centres, are listed without
// their load.
func (e *Entry) Status() admin.Status {
	status := admin.Status{Node: e.self.NodeID}
	active := e.holder.Current()
	models := make(map[string]string)
	if active != nil {
		status.Revision, status.Digest = active.Envelope.Revision, active.Envelope.Digest
		for _, pool := range active.Config.Pools {
			models[pool.Name] = pool.Model
		}
	}
	status.Nodes = append(e.entryStatus(), e.agentStatus(models)...)
	if active != nil {
		for _, model := range active.Config.Models {
			status.Rollouts = append(status.Rollouts, summariseRollouts(model, status.Nodes)...)
		}
	}
	e.addRolloutState(status.Rollouts)
	return status
}

// entryStatus returns the status of this entry and of the entries linked to it.
func (e *Entry) entryStatus() []admin.NodeStatus {
	node := func(hello message.Hello, revision uint64, leaving bool) admin.NodeStatus {
		state := message.StateServing
		if leaving {
			state = message.StateLeaving
		}
		return admin.NodeStatus{
			ID: hello.NodeID, Role: message.RoleEntry, DataCentre: hello.DataCentre, State: state, Revision: revision,
		}
	}
	nodes := []admin.NodeStatus{node(e.self, e.holder.Revision(), e.leaving.Load())}
	for _, other := range e.table.Entries() {
		nodes = append(nodes, node(other.Node, other.Revision, other.Leaving))
	}
	return nodes
}

// agentStatus returns the status of the agents linked to this entry, and of those that other entries list. models maps the name of a
// pool to that of its model.
func (e *Entry) agentStatus(models map[string]string) []admin.NodeStatus {
	var nodes []admin.NodeStatus
	linked := make(map[string]bool)
	for _, u := range e.table.Upstreams() {
		linked[u.Node.NodeID] = true
		announce := u.Announce
		nodes = append(nodes, admin.NodeStatus{
			ID: u.Node.NodeID, Role: message.RoleAgent, DataCentre: u.Node.DataCentre, State: announce.State, Revision: u.Revision,
			Pool: announce.Pool, Model: models[announce.Pool], Version: announce.LoadedVersion,
			ReadyVersion: announce.ReadyVersion, LoadError: announce.LoadError,
			Progress: announce.Progress, Queued: announce.Queued, InFlight: announce.InFlight, Limit: announce.Limit,
		})
	}
	for _, p := range e.peerViews.Merge(nil, e.revisionFiller()) {
		if linked[p.NodeID] {
			continue
		}
		node := admin.NodeStatus{
			ID: p.NodeID, Role: message.RoleAgent, DataCentre: p.DataCentre, State: p.State, Revision: p.Revision,
			Pool: p.Pool, Model: models[p.Pool], Version: p.LoadedVersion, LoadError: p.LoadError,
		}
		if len(p.Versions) > 0 {
			node.ReadyVersion = p.Versions[0]
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// revisionFiller returns a function that sets the revision of a peer with SameRevision to that of the entry that sent the view.
// conn is the link on which the view arrived.
func (e *Entry) revisionFiller() func(*link.Conn, *message.Peer) {
	revisions := make(map[*link.Conn]uint64)
	for _, other := range e.table.Entries() {
		revisions[other.Conn] = other.Revision
	}
	return func(conn *link.Conn, p *message.Peer) {
		if p.SameRevision {
			p.Revision = revisions[conn]
		}
	}
}

// summariseRollouts returns the state of the rollout of a model in each data centre, ordered by data centre.
func summariseRollouts(model config.Model, nodes []admin.NodeStatus) []admin.Rollout {
	byDataCentre := make(map[string]*admin.Rollout)
	for _, node := range nodes {
		if node.Role != message.RoleAgent || node.Model != model.Name {
			continue
		}
		r := byDataCentre[node.DataCentre]
		if r == nil {
			r = &admin.Rollout{Model: model.Name, DataCentre: node.DataCentre, Version: model.Version}
			byDataCentre[node.DataCentre] = r
		}
		r.Replicas++
		if node.Version == model.Version {
			r.Loaded++
		} else if node.LoadError != "" {
			r.Message = node.ID + ": " + node.LoadError
		}
	}
	summaries := make([]admin.Rollout, 0, len(byDataCentre))
	for _, r := range byDataCentre {
		r.State = rolloutState(model, r)
		summaries = append(summaries, *r)
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].DataCentre < summaries[j].DataCentre })
	return summaries
}

// rolloutState derives the state of a rollout from the configured version and the versions that the replicas have loaded.
func rolloutState(model config.Model, r *admin.Rollout) admin.RolloutState {
	switch {
	case model.Version == "":
		return admin.RolloutIdle
	case r.Loaded == r.Replicas:
		return admin.RolloutDone
	case r.Message != "":
		return admin.RolloutStopped
	case model.Paused:
		return admin.RolloutPaused
	default:
		return admin.RolloutRunning
	}
}
