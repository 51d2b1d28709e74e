package rollout

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const canaryKeyPrefix = "/pimentohead/canary/"

// canaryResult is the result of the canary of one model and version. Its text is the value of the store key.
type canaryResult string

const (
	canaryUnknown canaryResult = ""
	// canaryPassed means that the canary loaded the version, so that all upstreams of the fleet may be swapped.
	canaryPassed canaryResult = "passed"
	// canaryPerDataCentre means that the first data centre has no upstream of the model, so each data centre runs its own canary.
	canaryPerDataCentre canaryResult = "local"
)

// canaryCache caches canary results. It reads and writes the store on its own goroutine, so that a slow store does not delay
// permits.
type canaryCache struct {
	cfg  *Config
	wake chan struct{}

	// mu guards all fields below. The maps are keyed by store key.
	mu            sync.Mutex
	results       map[string]canaryResult
	pendingReads  map[string]bool
	pendingWrites map[string]canaryResult
	// restorations is the number of restorations of the store after which all results were written again.
	restorations uint64
}

func newCanaryCache(cfg *Config) *canaryCache {
	return &canaryCache{
		cfg: cfg, wake: make(chan struct{}, 1), results: make(map[string]canaryResult), pendingReads: make(map[string]bool),
		pendingWrites: make(map[string]canaryResult),
	}
}

func canaryKey(model, version string) string { return canaryKeyPrefix + model + "/" + version }

// resultOrFetch returns the cached result. When there is none, it schedules a read from the store and returns canaryUnknown.
func (c *canaryCache) resultOrFetch(key string) canaryResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.results[key]
	if v == canaryUnknown && !c.pendingReads[key] {
		c.pendingReads[key] = true
		notify(c.wake)
	}
	return v
}

// cached returns the cached result, or canaryUnknown. It schedules no read.
func (c *canaryCache) cached(key string) canaryResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results[key]
}

// record caches a result at once and schedules its write to the store. It does nothing when a result is cached already.
func (c *canaryCache) record(key string, v canaryResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results[key] == canaryUnknown {
		c.results[key], c.pendingWrites[key] = v, v
		notify(c.wake)
	}
}

// retain removes all keys that are not in current, except those with a pending write.
func (c *canaryCache) retain(current map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.pendingReads {
		if !current[key] {
			delete(c.pendingReads, key)
		}
	}
	for key := range c.results {
		if _, pending := c.pendingWrites[key]; !current[key] && !pending {
			delete(c.results, key)
		}
	}
}

// run synchronises with the store until ctx ends and calls onChange after new results were read. It makes no store calls while
// mayGrant returns false, to save the calls of entries that may grant no permits.
func (c *canaryCache) run(ctx context.Context, mayGrant func() bool, onChange func()) {
	ticker := time.NewTicker(c.cfg.CanaryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		if mayGrant() && c.sync(ctx) {
			onChange()
		}
	}
}

// sync performs the pending writes and reads. It reports whether a read returned a result.
func (c *canaryCache) sync(ctx context.Context) bool {
	restorations := store.Restorations(c.cfg.Store)
	c.mu.Lock()
	if restorations != c.restorations {
		// The store was restored from an earlier copy and may have lost results that the other data centres wait for.
		maps.Copy(c.pendingWrites, c.results)
		c.restorations = restorations
	}
	writes, reads := make(map[string]canaryResult), []string(nil)
	for key, v := range c.pendingWrites {
		writes[key] = v
	}
	for key := range c.pendingReads {
		if _, hasWrite := writes[key]; !hasWrite {
			reads = append(reads, key)
		}
	}
	c.mu.Unlock()
	updated := false
	for key, v := range writes {
		if c.write(ctx, key, v) {
			c.mu.Lock()
			delete(c.pendingWrites, key)
			delete(c.pendingReads, key)
			c.mu.Unlock()
		}
	}
	for _, key := range reads {
		updated = c.read(ctx, key) || updated
	}
	return updated
}

// write creates the key unless it exists. It reports whether the transaction completed; otherwise the caller retries, which is
// safe because the write is idempotent.
func (c *canaryCache) write(ctx context.Context, key string, v canaryResult) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := c.cfg.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: key, Target: store.CompareCreate}},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(v)}}},
	})
	return err == nil
}

// read caches the stored result of key. It reports whether there was one.
func (c *canaryCache) read(ctx context.Context, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := c.cfg.Store.Get(ctx, key)
	if err != nil {
		if !errors.Is(err, store.ErrNotFound) {
			c.cfg.Log.V(1).Info("canary result could not be read", "cause", err.Error())
		}
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[key] = canaryResult(kv.Value)
	delete(c.pendingReads, key)
	return true
}

// notify wakes the receiver of a channel of capacity 1 without blocking.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
