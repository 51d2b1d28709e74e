package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/routing"
)

const (
	// upstreamWait is how long a request waits for an upstream of its pool. While instances are replaced, the last known one may
	// leave shortly before its replacement connects.
	upstreamWait = time.Second
	// upstreamPollInterval is the time between lookups during that wait.
	upstreamPollInterval = 50 * time.Millisecond
	// maxUpstreamWaiters bounds the number of waiting requests, and so their memory. Requests beyond it fail at once.
	maxUpstreamWaiters = 256
)

// awaitTarget selects a target, and waits up to upstreamWait when none is available. It returns false when there is still none.
func (d *Dispatcher) awaitTarget(ctx context.Context, x *filter.Exchange, avoid map[string]bool) (Target, bool) {
	if target, ok := d.pickTarget(x, avoid); ok {
		return target, true
	}
	select {
	case d.upstreamWaiters <- struct{}{}:
		defer func() { <-d.upstreamWaiters }()
	default:
		return Target{}, false
	}
	ctx, stop := context.WithTimeout(ctx, upstreamWait)
	defer stop()
	poll := time.NewTicker(upstreamPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return Target{}, false
		case <-poll.C:
		}
		if target, ok := d.pickTarget(x, avoid); ok {
			return target, true
		}
	}
}

// pickTarget selects an upstream of this data centre, or an entry of another data centre when the pool has no upstream here.
// Nodes in avoid are selected only if there is no other.
func (d *Dispatcher) pickTarget(x *filter.Exchange, avoid map[string]bool) (Target, bool) {
	request := routing.Request{Pool: x.Pool.Name, Kind: x.Pool.Kind, Prefix: x.PromptPrefix, Avoid: avoid}
	if x.IdempotencyKey != "" {
		request.IdempotencyKey = perCallerKey(x.Caller.Name, x.IdempotencyKey)
	}
	if u, err := d.router.Pick(request); err == nil {
		return upstreamTarget(u), true
	}
	entries := d.remoteEntries.Accepting(x.Pool.Name, x.Pool.Kind)
	if len(entries) == 0 {
		return Target{}, false
	}
	e := entries[rand.IntN(len(entries))]
	for _, other := range entries {
		if avoid[e.Node.NodeID] && !avoid[other.Node.NodeID] {
			e = other
		}
	}
	return Target{Conn: e.Conn, NodeID: e.Node.NodeID, Incarnation: e.Node.Incarnation, Entry: true}, true
}
