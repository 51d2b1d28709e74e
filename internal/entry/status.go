package entry

import (
	"sort"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Status implements admin.StatusSource. Agents of other data centres appear without their load.
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
			status.Rollouts = append(status.Rollouts, rollouts(model, status.Nodes)...)
		}
	}
	e.addRolloutState(status.Rollouts)
	return status
}

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

func (e *Entry) agentStatus(models map[string]string) []admin.NodeStatus {
	var nodes []admin.NodeStatus
	own := make(map[string]bool)
	for _, u := range e.table.Upstreams() {
		own[u.Node.NodeID] = true
		a := u.Announce
		nodes = append(nodes, admin.NodeStatus{
			ID: u.Node.NodeID, Role: message.RoleAgent, DataCentre: u.Node.DataCentre, State: a.State, Revision: u.Revision,
			Pool: a.Pool, Model: models[a.Pool], Version: a.LoadedVersion, ReadyVersion: a.ReadyVersion, LoadError: a.LoadError,
			Progress: a.Progress, Queued: a.Queued, InFlight: a.InFlight, Limit: a.Limit,
		})
	}
	for _, p := range e.views.Merge(nil, e.fillRevision()) {
		if own[p.NodeID] {
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

// fillRevision returns a function that puts in the revision of the sender of a view where the view refers to it.
func (e *Entry) fillRevision() func(*link.Conn, *message.Peer) {
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

// rollouts summarises one model per data centre.
func rollouts(model config.Model, nodes []admin.NodeStatus) []admin.Rollout {
	byCentre := make(map[string]*admin.Rollout)
	for _, node := range nodes {
		if node.Role != message.RoleAgent || node.Model != model.Name {
			continue
		}
		r := byCentre[node.DataCentre]
		if r == nil {
			r = &admin.Rollout{Model: model.Name, DataCentre: node.DataCentre, Version: model.Version}
			byCentre[node.DataCentre] = r
		}
		r.Replicas++
		if node.Version == model.Version {
			r.Loaded++
		} else if node.LoadError != "" {
			r.Message = node.ID + ": " + node.LoadError
		}
	}
	out := make([]admin.Rollout, 0, len(byCentre))
	for _, r := range byCentre {
		r.State = rolloutState(model, r)
		out = append(out, *r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

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
