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
	// leave shortly before another one connects.
	upstreamWait = time.Second
	// upstreamPoll is the time between looks during that wait.
	upstreamPoll = 50 * time.Millisecond
	// maxUpstreamWaiters bounds the memory of waiting requests. Others fail at once.
	maxUpstreamWaiters = 256
)

// await selects a target and waits for one when there is none.
func (d *Dispatcher) await(ctx context.Context, x *filter.Exchange, avoid map[string]bool) (Target, bool) {
	if target, ok := d.pick(x, avoid); ok {
		return target, true
	}
	select {
	case d.waiters <- struct{}{}:
		defer func() { <-d.waiters }()
	default:
		return Target{}, false
	}
	ctx, stop := context.WithTimeout(ctx, upstreamWait)
	defer stop()
	poll := time.NewTicker(upstreamPoll)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return Target{}, false
		case <-poll.C:
		}
		if target, ok := d.pick(x, avoid); ok {
			return target, true
		}
	}
}

// pick selects an upstream here, or an entry of another data centre when the pool has none here.
func (d *Dispatcher) pick(x *filter.Exchange, avoid map[string]bool) (Target, bool) {
	request := routing.Request{Pool: x.Pool.Name, Kind: x.Pool.Kind, Prefix: x.PromptPrefix, Avoid: avoid}
	if x.OrderKey != "" {
		request.OrderKey = orderKey(x.Caller.Name, x.OrderKey)
	}
	if u, err := d.router.Pick(request); err == nil {
		return upstreamTarget(u), true
	}
	entries := d.remote.Accepting(x.Pool.Name, x.Pool.Kind)
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
