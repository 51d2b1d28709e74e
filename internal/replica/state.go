package replica

import (
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Handle processes PeerView, SwapPermit and SwapRevoke messages from the links to entries and reports whether m is one of them.
// It does not block.
func (r *Replica) Handle(m message.Message) bool {
	switch m := m.(type) {
	case *message.PeerView:
		r.mu.Lock()
		r.peerView = m.Peers
		r.mu.Unlock()
		r.updatePeers()
	case *message.SwapPermit:
		r.swapper.AcceptPermit(*m)
	case *message.SwapRevoke:
		r.swapper.RevokePermit(*m)
	default:
		return false
	}
	return true
}

// FillAnnouncement sets the fields of an announcement that describe the weights and the swap. Package agent replaces State and
// UpstreamIncarnation by its own values.
func (r *Replica) FillAnnouncement(a *message.Announce) {
	weightsStatus, swapStatus := r.manager.Status(), r.swapper.Status()
	a.State, a.LoadedVersion, a.ReadyVersion = swapStatus.State, swapStatus.LoadedVersion, weightsStatus.Ready
	a.FailedVersion, a.LoadError, a.SwapEpoch = swapStatus.FailedVersion, swapStatus.LoadError, swapStatus.Epoch
	a.Progress, a.PeerAddress, a.UpstreamIncarnation = weightsStatus.Progress, r.PeerAddress(), swapStatus.Incarnation
}

// EngineFailedVersion returns the version that the engine reported as failed when the gate was opened last.
func (r *Replica) EngineFailedVersion() string { return r.swapper.Status().EngineFailedVersion }

// applyTarget sets the model and the target version that the configuration in force names for the pool of this agent.
func (r *Replica) applyTarget() {
	active := r.cfg.Holder.Current()
	if active == nil {
		return
	}
	model := modelOfPool(active.Config, r.cfg.Settings.Agent.Pool)
	r.mu.Lock()
	r.model = model
	r.mu.Unlock()
	r.updatePeers()
	for _, m := range active.Config.Models {
		if m.Name == model {
			r.manager.SetTarget(m.Version)
			r.swapper.SetTarget(m.Version)
		}
	}
}

// updatePeers sets the peers of the weights manager: the live agents whose pool serves the same model and that have an
// address. Before a configuration is in force, agents of the same pool are used instead.
func (r *Replica) updatePeers() {
	var active *config.Config
	if current := r.cfg.Holder.Current(); current != nil {
		active = current.Config
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var peers []message.Peer
	for _, p := range r.peerView {
		sameModel := p.Pool == r.cfg.Settings.Agent.Pool
		if active != nil && r.model != "" {
			sameModel = modelOfPool(active, p.Pool) == r.model
		}
		if sameModel && p.Address != "" {
			peers = append(peers, p)
		}
	}
	r.manager.SetPeers(peers)
}

// modelOfPool returns the model of a pool, or an empty string if the pool is unknown.
func modelOfPool(c *config.Config, pool string) string {
	for _, p := range c.Pools {
		if p.Name == pool {
			return p.Model
		}
	}
	return ""
}

// onComplete is called when all chunks of a version are present. It wakes the swapper, which may be waiting for them.
func (r *Replica) onComplete() {
	r.swapper.Wake()
	r.onChange()
}

// onProgress is called after progress of the transfer. It calls Config.OnProgress or, if that is nil, Config.OnChange.
func (r *Replica) onProgress() {
	if r.cfg.OnProgress != nil {
		r.cfg.OnProgress()
		return
	}
	r.onChange()
}

// onChange reports a change of the announcement.
func (r *Replica) onChange() {
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}
