package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const canaryPrefix = "/pimentohead/canary/"

// verdict is the recorded result of the canary of one model and version.
type verdict string

const (
	verdictNone verdict = ""
	// verdictPassed means that the canary loaded the version.
	verdictPassed verdict = "passed"
	// verdictLocal means that the first data centre has no upstream of the model, so each data centre runs its own canary.
	verdictLocal verdict = "local"
)

// canaries reads and writes verdicts on its own goroutine, so that a slow store does not delay permits.
type canaries struct {
	cfg  *Config
	wake chan struct{}

	// mu guards all fields below. Keys are store keys.
	mu      sync.Mutex
	known   map[string]verdict
	reading map[string]bool
	writing map[string]verdict
}

func newCanaries(cfg *Config) *canaries {
	return &canaries{
		cfg: cfg, wake: make(chan struct{}, 1), known: make(map[string]verdict), reading: make(map[string]bool),
		writing: make(map[string]verdict),
	}
}

func canaryKey(model, version string) string { return canaryPrefix + model + "/" + version }

// verdict returns what is known and asks for a read when nothing is.
func (c *canaries) verdict(key string) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.known[key]
	if v == verdictNone && !c.reading[key] {
		c.reading[key] = true
		notify(c.wake)
	}
	return v
}

// peek returns what is known.
func (c *canaries) peek(key string) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[key]
}

// record writes a verdict unless one exists. It is in force here at once.
func (c *canaries) record(key string, v verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[key] == verdictNone {
		c.known[key], c.writing[key] = v, v
		notify(c.wake)
	}
}

// retain forgets all keys but those of current targets.
func (c *canaries) retain(current map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.reading {
		if !current[key] {
			delete(c.reading, key)
		}
	}
	for key := range c.known {
		if _, pending := c.writing[key]; !current[key] && !pending {
			delete(c.known, key)
		}
	}
}

// run works until ctx ends. active tells whether this entry holds the lease; others save the calls.
func (c *canaries) run(ctx context.Context, active func() bool, changed func()) {
	ticker := time.NewTicker(c.cfg.CanaryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		if active() && c.work(ctx) {
			changed()
		}
	}
}

// work writes what is to be written and reads what is awaited. It returns true when something became known.
func (c *canaries) work(ctx context.Context) bool {
	c.mu.Lock()
	writes, reads := make(map[string]verdict), []string(nil)
	for key, v := range c.writing {
		writes[key] = v
	}
	for key := range c.reading {
		if _, writing := writes[key]; !writing {
			reads = append(reads, key)
		}
	}
	c.mu.Unlock()
	learned := false
	for key, v := range writes {
		if c.write(ctx, key, v) {
			c.mu.Lock()
			delete(c.writing, key)
			delete(c.reading, key)
			c.mu.Unlock()
		}
	}
	for _, key := range reads {
		learned = c.read(ctx, key) || learned
	}
	return learned
}

// write returns false when the write has to be repeated, which is harmless when it took effect.
func (c *canaries) write(ctx context.Context, key string, v verdict) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.cfg.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: key, Target: store.CompareCreate}},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(v)}}},
	})
	return err == nil
}

func (c *canaries) read(ctx context.Context, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := c.cfg.Store.Get(ctx, key)
	if err != nil {
		if !errors.Is(err, store.ErrNotFound) {
			c.cfg.Log.V(1).Info("canary verdict", "cause", err.Error())
		}
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[key] = verdict(kv.Value)
	delete(c.reading, key)
	return true
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
