package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/membership"
)

const (
	// PrefixBytes is the leading part of a prompt that selects its upstream.
	PrefixBytes = 1 << 10
	// loadBound is the load relative to the mean up to which prefix affinity holds.
	loadBound = 1.25
)

// Score is the rendezvous weight of a node for a key: the node with the highest score owns the key.
func Score(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// byKey returns the rendezvous upstream of an order key.
func byKey(key string, candidates []membership.Upstream) membership.Upstream {
	best, bestScore := 0, uint64(0)
	for i, u := range candidates {
		if score := Score(key, u.Node.NodeID); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return candidates[best]
}

// byPrefix returns the rendezvous upstream of the prefix among those within the load bound. The caller holds mu.
func (r *Router) byPrefix(prefix []byte, candidates []membership.Upstream) (membership.Upstream, bool) {
	total, limits := 1, 0
	for _, u := range candidates {
		total += r.outstanding(u)
		limits += max(u.Announce.Limit, 1)
	}
	mean := float64(total) / float64(limits)
	var within []membership.Upstream
	for _, u := range candidates {
		bound := math.Ceil(loadBound * mean * float64(max(u.Announce.Limit, 1)))
		if float64(r.outstanding(u)+1) <= bound {
			within = append(within, u)
		}
	}
	if len(within) == 0 {
		return membership.Upstream{}, false
	}
	return byKey(string(prefix[:min(len(prefix), PrefixBytes)]), within), true
}
