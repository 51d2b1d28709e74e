package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/membership"
)

const (
	// PrefixBytes is the number of leading bytes of a prompt that select its upstream.
	PrefixBytes = 1 << 10
	// loadBound is the highest load, relative to the mean, at which an upstream is still chosen by prefix affinity.
	loadBound = 1.25
)

// Score returns the rendezvous hash of a node for a key. The node with the highest score owns the key.
func Score(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// byKey returns the upstream that owns a key by rendezvous hashing. candidates must not be empty.
func byKey(key string, candidates []membership.Upstream) membership.Upstream {
	best, bestScore := 0, uint64(0)
	for i, u := range candidates {
		if score := Score(key, u.Node.NodeID); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return candidates[best]
}

// byPrefix returns the upstream that owns the prefix by rendezvous hashing among those within the load bound, and reports whether
// there is one. The caller holds mu.
func (r *Router) byPrefix(prefix []byte, candidates []membership.Upstream) (membership.Upstream, bool) {
	total, limits := 1, 0 // The request itself counts as outstanding.
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
