package routing

import (
	"math/rand/v2"

	"github.com/pimentohead/pimentohead/internal/membership"
)

// outstanding returns the number of requests at an upstream: those of its newest announcement and those that this entry has sent
// since. The caller holds mu.
func (r *Router) outstanding(u membership.Upstream) int {
	return u.Announce.Queued + u.Announce.InFlight + r.sent[u.Node.NodeID]
}

// load returns the outstanding requests relative to the limit of the upstream. The caller holds mu.
func (r *Router) load(u membership.Upstream) float64 {
	return float64(r.outstanding(u)) / float64(max(u.Announce.Limit, 1))
}

// byLoad returns the less loaded of two random upstreams. candidates must not be empty. The caller holds mu.
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
