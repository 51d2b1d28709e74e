package routing

import (
	"math/rand/v2"

	"github.com/pimentohead/pimentohead/internal/membership"
)

// outstanding is the work an upstream has, as far as this entry knows. The caller holds mu.
func (r *Router) outstanding(u membership.Upstream) int {
	return u.Announce.Queued + u.Announce.InFlight + r.sent[u.Node.NodeID]
}

// load is the outstanding work relative to the upstream's limit. The caller holds mu.
func (r *Router) load(u membership.Upstream) float64 {
	return float64(r.outstanding(u)) / float64(max(u.Announce.Limit, 1))
}

// byLoad takes the less loaded of two random upstreams. The caller holds mu.
func (r *Router) byLoad(candidates []membership.Upstream) membership.Upstream {
	n := len(candidates)
	if n == 1 {
		return candidates[0]
	}
	i := rand.IntN(n)
	j := rand.IntN(n - 1)
	if j >= i {
		j++
	}
	if r.load(candidates[j]) < r.load(candidates[i]) {
		return candidates[j]
	}
	return candidates[i]
}
