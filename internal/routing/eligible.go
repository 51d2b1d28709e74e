package routing

import (
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/membership"
)

// eligible returns the upstreams of the pool that take new work; those of the own data centre when there are any.
func (r *Router) eligible(request Request) []membership.Upstream {
	drained := r.drained()
	var own, other []membership.Upstream
	for _, u := range r.table.Upstreams() {
		if !u.AcceptsWork() || u.Announce.Pool != request.Pool || drained[u.Node.NodeID] || u.Conn.Err() != nil {
			continue
		}
		if request.Kind == config.KindModel && u.Announce.LoadedVersion == "" {
			continue
		}
		if u.Node.DataCentre == r.dataCentre {
			own = append(own, u)
		} else {
			other = append(other, u)
		}
	}
	if len(own) > 0 {
		return own
	}
	return other
}

// drained returns the upstreams that the configuration takes out of service.
func (r *Router) drained() map[string]bool {
	active := r.holder.Current()
	if active == nil || len(active.Config.Drains) == 0 {
		return nil
	}
	out := make(map[string]bool, len(active.Config.Drains))
	for _, drain := range active.Config.Drains {
		out[drain.Agent] = true
	}
	return out
}

// withoutAvoided drops avoided upstreams unless nothing else is left.
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

// Kind returns the kind of a pool in the configuration in force. A pool that is not known here counts as a service.
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
