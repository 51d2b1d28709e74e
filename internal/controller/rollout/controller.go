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

// transitTime extends the lifetime of a permit at the holder, because the agent counts the lifetime from receipt.
const transitTime = time.Second

// grant is a permit that was sent to an agent and may still be in force there.
type grant struct {
	model   string
	version string
	epoch   uint64
	expires time.Time
	// conn is the connection that the permit was sent on, nil after it was revoked.
	conn *link.Conn
}

// Controller grants swap permits while its entry holds the lease of its data centre. Every entry that has a store runs one.
type Controller struct {
	cfg           Config
	lease         *lease
	canaryResults *canaryCache
	wake          chan struct{}

	// grants, halts, emptySince and startedAt are used by the goroutine of Run only. grants is keyed by node ID, halts and
	// emptySince by model. emptySince holds the time at which this data centre was first found to have no upstream of the model. It
	// is set only if this data centre is the first by name.
	grants     map[string]*grant
	halts      map[string]halt
	emptySince map[string]time.Time
	startedAt  time.Time

	// mu guards status.
	mu     sync.Mutex
	status []ModelStatus
}

// halt records that a failed load of version stopped the rollout, with the load error as the reason.
type halt struct {
	version string
	reason  string
}

// New returns a controller that does nothing until Run is called.
func New(cfg Config) *Controller {
	cfg.setDefaults()
	c := &Controller{
		cfg: cfg, wake: make(chan struct{}, 1), grants: make(map[string]*grant), halts: make(map[string]halt),
		emptySince: make(map[string]time.Time),
	}
	c.lease = newLease(&c.cfg)
	c.canaryResults = newCanaryCache(&c.cfg)
	return c
}

// Status returns the status of each model's rollout as of the last reconciliation, for the admin API.
func (c *Controller) Status() []ModelStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.status)
}

// Run competes for the lease and grants permits until ctx ends, and then releases the lease. It always returns nil.
func (c *Controller) Run(ctx context.Context) error {
	c.startedAt = c.cfg.Now()
	var wg sync.WaitGroup
	wg.Add(2)
	wake := func() { notify(c.wake) }
	go func() { defer wg.Done(); c.lease.run(ctx, wake) }()
	go func() {
		defer wg.Done()
		c.canaryResults.run(ctx, func() bool { _, ok := c.lease.grantEpoch(); return ok }, wake)
	}()
	c.loop(ctx)
	wg.Wait()
	c.lease.release(c.maxPermitRemaining())
	return nil
}

// loop reconciles on each signalled change and every ReconcileInterval until ctx ends.
func (c *Controller) loop(ctx context.Context) {
	members, unsubscribeMembers := c.cfg.Table.Subscribe()
	defer unsubscribeMembers()
	configs, unsubscribeConfigs := c.cfg.ConfigHolder.Subscribe()
	defer unsubscribeConfigs()
	ticker := time.NewTicker(c.cfg.ReconcileInterval)
	defer ticker.Stop()
	for {
		c.reconcile()
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

// maxPermitRemaining returns how long the last permit of this holder may still be in force, or 0.
func (c *Controller) maxPermitRemaining() time.Duration {
	var longest time.Duration
	for _, g := range c.grants {
		longest = max(longest, g.expires.Sub(c.cfg.Now()))
	}
	return longest
}

// reconcile drops expired permits, updates the permits of every model that has a target version, and publishes the status.
func (c *Controller) reconcile() {
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
	canaryKeys := make(map[string]bool)
	var statuses []ModelStatus
	for _, model := range active.Config.Models {
		if model.Version == "" {
			continue
		}
		canaryKeys[canaryKey(model.Name, model.Version)] = true
		statuses = append(statuses, c.reconcileModel(active.Config, model))
	}
	c.canaryResults.retain(canaryKeys)
	c.mu.Lock()
	c.status = statuses
	c.mu.Unlock()
}

// reconcileModel updates the permits of one model if this entry may grant any, and returns the model's status.
func (c *Controller) reconcileModel(cfg *config.Config, model config.Model) ModelStatus {
	v := c.newModelView(cfg, model)
	c.haltOnFailure(v)
	epoch, canGrant := c.lease.grantEpoch()
	canGrant = canGrant && c.cfg.Now().Sub(c.startedAt) >= c.cfg.StartWait
	if canGrant {
		c.reconcileGrants(v, epoch)
		for _, u := range c.selectUpstreams(v) {
			c.sendPermit(u.Node.NodeID, u.Conn, &grant{model: model.Name, version: model.Version, epoch: epoch})
		}
	}
	return c.modelStatus(v)
}

// haltOnFailure halts the rollout of a version that an upstream failed to load. The halt ends when the target version changes.
func (c *Controller) haltOnFailure(v modelView) {
	name, version := v.model.Name, v.model.Version
	if c.halts[name].version != version {
		delete(c.halts, name)
	}
	if _, alreadyHalted := c.halts[name]; alreadyHalted {
		return
	}
	if reason := c.loadFailure(v); reason != "" {
		c.halts[name] = halt{version: version, reason: reason}
		c.cfg.Log.Info("rollout halted", "model", name, "version", version, "reason", reason)
	}
}

// loadFailure returns why an upstream of any data centre failed to load the target version, or "". A version is a digest and so
// belongs to one model, which is why the pools of remote agents are not checked.
func (c *Controller) loadFailure(v modelView) string {
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

// reconcileGrants drops, revokes or renews the permits of a model.
func (c *Controller) reconcileGrants(v modelView, epoch uint64) {
	_, halted := c.halts[v.model.Name]
	for id, g := range c.grants {
		if g.model != v.model.Name {
			continue
		}
		u, present := v.byID[id]
		switch {
		case present && u.Announce.State == message.StateServing && u.Announce.LoadedVersion == g.version:
			// The load is done, so the permit is no longer needed, even if the target has changed since.
			delete(c.grants, id)
		case present && u.Announce.FailedVersion == g.version:
			delete(c.grants, id)
		case g.version != v.model.Version || v.model.Paused || halted:
			// The agent may have ordered the load already, so the permit still counts until it expires or the agent serves.
			if g.conn != nil {
				_ = c.cfg.Sender.Send(g.conn, &message.SwapRevoke{Epoch: max(g.epoch, epoch), Version: g.version})
				g.conn = nil
			}
		case present && (u.Conn != g.conn || g.epoch != epoch || g.expires.Sub(c.cfg.Now()) < c.cfg.PermitLifetime/2+transitTime):
			c.sendPermit(id, u.Conn, &grant{model: g.model, version: g.version, epoch: epoch})
		}
	}
}

// sendPermit sends a permit and records it as granted, also when sending fails, because it may have arrived. The lifetime
// counts from before the call. The lease is checked again right before, because it may have expired since the reconciliation
// began.
func (c *Controller) sendPermit(id string, conn *link.Conn, g *grant) {
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
		c.cfg.Log.V(1).Info("swap permit could not be sent", "agent", id, "cause", err.Error())
	}
}
