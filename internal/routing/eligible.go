package routing

import (
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/membership"
)

// eligible returns the upstreams of the pool that accept new work: those of this data centre if there are any, else the others. An
// upstream of a model pool has to have loaded a version.
func (r *Router) eligible(request Request) []membership.Upstream {
	drained := r.drained()
	var local, remote []membership.Upstream
	for _, u := range r.table.Upstreams() {
		if !u.AcceptsWork() || u.Announce.Pool != request.Pool || drained[u.Node.NodeID] || u.Conn.Err() != nil {
			continue
		}
		if request.Kind == config.KindModel && u.Announce.LoadedVersion == "" {
			continue
		}
		if u.Node.DataCentre == r.dataCentre {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// drained returns the node IDs of the upstreams that the active configuration drains.
func (r *Router) drained() map[string]bool {
	active := r.holder.Current()
	if active == nil || len(active.Config.Drains) == 0 {
		return nil
	}
	drained := make(map[string]bool, len(active.Config.Drains))
	for _, drain := range active.Config.Drains {
		drained[drain.Agent] = true
	}
	return drained
}

// withoutAvoided drops avoided upstreams unless all candidates are avoided.
func withoutAvoided(candidates []membership.Upstream, avoid map[string]bool) []membership.Upstream {
	if len(avoid) == 0 {
		return candidates
	}
	var kept []membership.Upstream
	for _, u := range candidates {
		if !avoid[u.Node.NodeID] {
			kept = append(kept, u)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// Kind returns the kind of a pool in the active configuration, or config.KindService for an unknown pool.
func (r *Router) Kind(pool string) config.PoolKind {
	if active := r.holder.Current(); active != nil {
		for _, p := range active.Config.Pools {
			if p.Name == pool {
				return p.Kind
			}
		}
	}
	return config.KindService
}
