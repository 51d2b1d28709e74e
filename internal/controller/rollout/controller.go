package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// transitTime is added to a permit's lifetime here, because the agent counts it from receipt.
const transitTime = time.Second

// grant is a permit that may be in force at an agent.
type grant struct {
	model   string
	version string
	epoch   uint64
	expires time.Time
	conn    *link.Conn
}

// Controller runs on every entry and grants permits while it holds the lease of its data centre.
type Controller struct {
	cfg      Config
	lease    *lease
	canaries *canaries
	wake     chan struct{}

	// grants, halted, empty and started are used by the goroutine of Run only. grants is by node ID, halted and empty by model.
	grants  map[string]*grant
	halted  map[string]halt
	empty   map[string]time.Time
	started time.Time

	// mu guards status.
	mu     sync.Mutex
	status []ModelStatus
}

// halt is a rollout that was stopped by a failed load.
type halt struct {
	version string
	reason  string
}

// New returns a controller; Run starts it.
func New(cfg Config) *Controller {
	cfg.setDefaults()
	c := &Controller{
		cfg: cfg, wake: make(chan struct{}, 1), grants: make(map[string]*grant), halted: make(map[string]halt),
		empty: make(map[string]time.Time),
	}
	c.lease = newLease(&c.cfg)
	c.canaries = newCanaries(&c.cfg)
	return c
}

// Status returns the rollout of each model, for the admin interface.
func (c *Controller) Status() []ModelStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.status)
}

// Run works until ctx ends and then releases the lease.
func (c *Controller) Run(ctx context.Context) error {
	c.started = c.cfg.Now()
	var wg sync.WaitGroup
	wg.Add(2)
	poke := func() { notify(c.wake) }
	go func() { defer wg.Done(); c.lease.run(ctx, poke) }()
	go func() {
		defer wg.Done()
		c.canaries.run(ctx, func() bool { _, ok := c.lease.grantEpoch(); return ok }, poke)
	}()
	c.loop(ctx)
	wg.Wait()
	c.lease.release(c.remaining())
	return nil
}

func (c *Controller) loop(ctx context.Context) {
	members, endMembers := c.cfg.Table.Subscribe()
	defer endMembers()
	configs, endConfigs := c.cfg.ConfigHolder.Subscribe()
	defer endConfigs()
	ticker := time.NewTicker(c.cfg.ReconcileInterval)
	defer ticker.Stop()
	for {
		c.step()
		select {
		case <-ctx.Done():
			return
		case <-members:
		case <-configs:
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// remaining returns how long permits of this holder may still be in force.
func (c *Controller) remaining() time.Duration {
	var longest time.Duration
	for _, g := range c.grants {
		longest = max(longest, g.expires.Sub(c.cfg.Now()))
	}
	return longest
}

// step looks at every model once.
func (c *Controller) step() {
	active := c.cfg.ConfigHolder.Current()
	if active == nil {
		return
	}
	now := c.cfg.Now()
	for id, g := range c.grants {
		if !now.Before(g.expires) {
			delete(c.grants, id)
		}
	}
	keys := make(map[string]bool)
	var statuses []ModelStatus
	for _, model := range active.Config.Models {
		if model.Version == "" {
			continue
		}
		keys[canaryKey(model.Name, model.Version)] = true
		statuses = append(statuses, c.stepModel(active.Config, model))
	}
	c.canaries.retain(keys)
	c.mu.Lock()
	c.status = statuses
	c.mu.Unlock()
}

// stepModel updates the permits of one model and returns its status.
func (c *Controller) stepModel(cfg *config.Config, model config.Model) ModelStatus {
	v := c.view(cfg, model)
	c.noteFailure(v)
	epoch, holding := c.lease.grantEpoch()
	holding = holding && c.cfg.Now().Sub(c.started) >= c.cfg.StartWait
	if holding {
		c.reviewGrants(v, epoch)
		for _, u := range c.selectUpstreams(v) {
			c.send(u.Node.NodeID, u.Conn, &grant{model: model.Name, version: model.Version, epoch: epoch})
		}
	}
	return c.describe(v)
}

// noteFailure stops the rollout of a version that an upstream failed to load, until the target changes.
func (c *Controller) noteFailure(v view) {
	name, version := v.model.Name, v.model.Version
	if c.halted[name].version != version {
		delete(c.halted, name)
	}
	if _, known := c.halted[name]; known {
		return
	}
	if reason := c.failure(v); reason != "" {
		c.halted[name] = halt{version: version, reason: reason}
		c.cfg.Log.Info("rollout halted", "model", name, "version", version, "reason", reason)
	}
}

// failure returns why an upstream of any data centre failed to load the target, or "". The digest of a version determines its
// model, so the pools of remote agents need no look.
func (c *Controller) failure(v view) string {
	for _, u := range v.upstreams {
		if u.Announce.FailedVersion == v.model.Version {
			return u.Node.NodeID + ": " + u.Announce.LoadError
		}
	}
	for _, p := range c.cfg.RemoteAgents() {
		if p.FailedVersion == v.model.Version {
			return p.NodeID + ": " + p.LoadError
		}
	}
	return ""
}

// reviewGrants drops, withdraws or renews the permits of a model.
func (c *Controller) reviewGrants(v view, epoch uint64) {
	_, halted := c.halted[v.model.Name]
	for id, g := range c.grants {
		if g.model != v.model.Name {
			continue
		}
		u, present := v.byID[id]
		switch {
		case present && u.Announce.State == message.StateServing && u.Announce.LoadedVersion == g.version:
			// The permit has served its purpose, also when the target has changed since.
			delete(c.grants, id)
		case present && u.Announce.FailedVersion == g.version:
			delete(c.grants, id)
		case g.version != v.model.Version || v.model.Paused || halted:
			// The agent may have ordered the load already, so the permit counts until it expires or the agent serves.
			if g.conn != nil {
				_ = c.cfg.Sender.Send(g.conn, &message.SwapRevoke{Epoch: max(g.epoch, epoch), Version: g.version})
				g.conn = nil
			}
		case present && (u.Conn != g.conn || g.epoch != epoch || g.expires.Sub(c.cfg.Now()) < c.cfg.PermitLifetime/2+transitTime):
			c.send(id, u.Conn, &grant{model: g.model, version: g.version, epoch: epoch})
		}
	}
}

// send sends a permit and counts it from before the call, whatever the result, because it may have arrived. The lease is
// looked at again right before the call.
func (c *Controller) send(id string, conn *link.Conn, g *grant) {
	if epoch, ok := c.lease.grantEpoch(); !ok || epoch != g.epoch {
		return
	}
	if c.grants[id] == nil || c.grants[id].version != g.version {
		c.cfg.Log.Info("swap permit granted", "agent", id, "model", g.model, "version", g.version, "epoch", g.epoch)
	}
	g.conn = conn
	g.expires = c.cfg.Now().Add(c.cfg.PermitLifetime + transitTime)
	c.grants[id] = g
	permit := &message.SwapPermit{Epoch: g.epoch, Version: g.version, LifetimeMillis: c.cfg.PermitLifetime.Milliseconds()}
	if err := c.cfg.Sender.Send(conn, permit); err != nil {
		c.cfg.Log.V(1).Info("permit not sent", "agent", id, "cause", err.Error())
	}
}
