package replica

import (
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Handle takes PeerView, SwapPermit and SwapRevoke from the links to entries and returns false for other messages. It does
// not block.
func (r *Replica) Handle(m message.Message) bool {
	switch m := m.(type) {
	case *message.PeerView:
		r.mu.Lock()
		r.view = m.Peers
		r.mu.Unlock()
		r.updatePeers()
	case *message.SwapPermit:
		r.swapper.Permit(*m)
	case *message.SwapRevoke:
		r.swapper.Revoke(*m)
	default:
		return false
	}
	return true
}

// FillAnnouncement fills the fields of an announcement that this package owns. The caller replaces State when it is leaving.
func (r *Replica) FillAnnouncement(a *message.Announce) {
	held, engine := r.manager.Status(), r.swapper.Status()
	a.State, a.LoadedVersion, a.ReadyVersion = engine.State, engine.LoadedVersion, held.Ready
	a.FailedVersion, a.LoadError, a.SwapEpoch = engine.FailedVersion, engine.LoadError, engine.Epoch
	a.Progress, a.PeerAddress, a.UpstreamIncarnation = held.Progress, r.PeerAddress(), engine.Incarnation
}

// EngineFailedVersion returns the version that the engine reported as failed when it was put in service.
func (r *Replica) EngineFailedVersion() string { return r.swapper.Status().EngineFailed }

// configure applies the target of the configuration in force.
func (r *Replica) configure() {
	active := r.cfg.Holder.Current()
	if active == nil {
		return
	}
	model := modelOf(active.Config, r.cfg.Settings.Agent.Pool)
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

// updatePeers gives the manager the live agents that hold the same model. Before a configuration is in force these are the
// agents of the same pool.
func (r *Replica) updatePeers() {
	var active *config.Config
	if current := r.cfg.Holder.Current(); current != nil {
		active = current.Config
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var peers []message.Peer
	for _, p := range r.view {
		same := p.Pool == r.cfg.Settings.Agent.Pool
		if active != nil && r.model != "" {
			same = modelOf(active, p.Pool) == r.model
		}
		if same && p.Address != "" {
			peers = append(peers, p)
		}
	}
	r.manager.SetPeers(peers)
}

func modelOf(c *config.Config, pool string) string {
	for _, p := range c.Pools {
		if p.Name == pool {
			return p.Model
		}
	}
	return ""
}

// completed is called when a version is complete, which the swapper may wait for.
func (r *Replica) completed() {
	r.swapper.Wake()
	r.changed()
}

func (r *Replica) progressed() {
	if r.cfg.OnProgress != nil {
		r.cfg.OnProgress()
		return
	}
	r.changed()
}

func (r *Replica) changed() {
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}
