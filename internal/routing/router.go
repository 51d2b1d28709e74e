// Package routing selects the upstream to whose agent an entry sends a request. Each policy has its own file. On the direct request
// path, where no request passes through an agent, package placement takes its place.
package routing

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/membership"
)

// ErrNoUpstream is returned when no upstream of the pool accepts work.
var ErrNoUpstream = errors.New("routing: no upstream accepts work")

// Request describes the request to be routed.
type Request struct {
	Pool string
	Kind config.PoolKind
	// Prefix is the leading part of the prompt. If it is empty, the upstream is selected by load only.
	Prefix []byte
	// IdempotencyKey is the idempotency key of the request, unique across callers, or empty if there is none. If it is set, the
	// upstream that owns the key is selected.
	IdempotencyKey string
	// Avoid holds the node IDs of upstreams that have rejected or failed this request. They are used only when there is no other.
	Avoid map[string]bool
}

// Router selects upstreams from a membership table. It is safe for concurrent use.
type Router struct {
	dataCentre string
	table      *membership.Table
	holder     *config.Holder
	outliers   *OutlierDetector
	// loadOnly is set when prefix affinity is disabled.
	loadOnly bool

	// mu guards sent.
	mu sync.Mutex
	// sent counts the attempts sent to each upstream, by node ID, since its last announcement.
	sent map[string]int
}

// New returns a router for an entry in dataCentre. now is the clock; nil selects time.Now.
func New(dataCentre string, table *membership.Table, holder *config.Holder, now func() time.Time) *Router {
	return &Router{
		dataCentre: dataCentre, table: table, holder: holder, outliers: NewOutlierDetector(now), sent: make(map[string]int),
	}
}

// DisableAffinity disables prefix affinity. It must be called before the first Pick.
func (r *Router) DisableAffinity() { r.loadOnly = true }

// Outliers returns the outlier detector, to which the results of attempts are reported.
func (r *Router) Outliers() *OutlierDetector { return r.outliers }

// Pick selects an upstream and counts the attempt as sent to it. It returns ErrNoUpstream if no upstream is eligible.
func (r *Router) Pick(request Request) (membership.Upstream, error) {
	candidates := r.eligible(request)
	if len(candidates) == 0 {
		return membership.Upstream{}, errors.Wrapf(ErrNoUpstream, "pool %s", request.Pool)
	}
	if request.IdempotencyKey == "" {
		candidates = r.outliers.Filter(candidates)
	}
	candidates = withoutAvoided(candidates, request.Avoid)
	r.mu.Lock()
	defer r.mu.Unlock()
	picked := r.choose(request, candidates)
	r.sent[picked.Node.NodeID]++
	return picked, nil
}

// choose selects one of the candidates, by idempotency key, else by prefix, else by load. candidates must not be empty. The caller
// holds mu.
func (r *Router) choose(request Request, candidates []membership.Upstream) membership.Upstream {
	if request.IdempotencyKey != "" {
		return byKey(request.IdempotencyKey, candidates)
	}
	if len(request.Prefix) > 0 && !r.loadOnly {
		if picked, ok := r.byPrefix(request.Prefix, candidates); ok {
			return picked
		}
	}
	return r.byLoad(candidates)
}

// ResetSent resets the count of attempts sent to an upstream. It is called on each announcement of the upstream, which includes the
// attempts that have arrived there. Attempts that are still in transit are then not counted until the next announcement.
func (r *Router) ResetSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sent, id)
}

// Accepting reports whether the pool has an upstream that accepts work.
func (r *Router) Accepting(pool string, kind config.PoolKind) bool {
	return len(r.eligible(Request{Pool: pool, Kind: kind})) > 0
}
