package chunkcache

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// olderGrace is the time since the newest sign of an older version's chunks in which reads of a newer one wait for it. It is longer than the
	// pause between attempts at an origin that is unreachable.
	olderGrace = maxOriginPause + 200*time.Millisecond
	// olderCheckInterval is the time between checks whether the older version is complete.
	olderCheckInterval = 20 * time.Millisecond
)

// awaitOlder delays a read of the origin until the older versions of which FinishThreshold is held are complete, as long as their chunks arrive.
// After an outage of the origin, the rest of such a version takes a fraction of the time that the newer one takes, and upstreams can use
// it until they have the newer one. Read side by side, it would be complete too late to be of use.
func (c *Cache) awaitOlder(ctx context.Context, v *cachedVersion) {
	for c.isOlderArriving(v) && ctx.Err() == nil {
		pause.For(ctx, olderCheckInterval)
	}
}

// isOlderArriving reports whether an older version of the same model is incomplete, FinishThreshold of it is held, and within olderGrace a chunk of
// it has arrived or the origin was unreachable, so that its chunks may be about to arrive.
func (c *Cache) isOlderArriving(v *cachedVersion) bool {
	unreachableAt := c.access.lastUnreachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.models[v.model] {
		if other.number >= v.number {
			continue
		}
		held, lastChunkAt := other.progress()
		if held < FinishThreshold || held >= 1 {
			continue
		}
		if time.Since(lastChunkAt) < olderGrace || time.Since(unreachableAt) < olderGrace {
			return true
		}
	}
	return false
}
