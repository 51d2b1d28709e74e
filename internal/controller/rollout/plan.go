package rollout

import (
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
)

// view is the state of one model's upstreams in this data centre.
type view struct {
	model     config.Model
	upstreams []membership.Upstream
	byID      map[string]membership.Upstream
}

func (c *Controller) view(cfg *config.Config, model config.Model) view {
	pools := make(map[string]bool)
	for _, p := range cfg.Pools {
		if p.Kind == config.KindModel && p.Model == model.Name {
			pools[p.Name] = true
		}
	}
	v := view{model: model, byID: make(map[string]membership.Upstream)}
	for _, u := range c.cfg.Table.Upstreams() {
		leaving := u.ListedLeaving || u.Announce.State == message.StateLeaving
		if pools[u.Announce.Pool] && u.Node.DataCentre == c.cfg.Self.DataCentre && !leaving {
			v.upstreams = append(v.upstreams, u)
			v.byID[u.Node.NodeID] = u
		}
	}
	return v
}

// done tells whether u serves the target.
func (v view) done(u membership.Upstream) bool {
	return u.Announce.State == message.StateServing && u.Announce.LoadedVersion == v.model.Version
}

// ready tells whether u can load the target.
func (v view) ready(u membership.Upstream) bool { return u.Announce.ReadyVersion == v.model.Version }

func (v view) countDone() int {
	n := 0
	for _, u := range v.upstreams {
		if v.done(u) {
			n++
		}
	}
	return n
}

// unavailable counts upstreams that are out of service or may be at any moment, permits of lost agents included.
func (c *Controller) unavailable(v view) int {
	n := 0
	for _, u := range v.upstreams {
		_, granted := c.grants[u.Node.NodeID]
		if granted || u.Announce.State != message.StateServing {
			n++
		}
	}
	for id, g := range c.grants {
		if _, present := v.byID[id]; g.model == v.model.Name && !present {
			n++
		}
	}
	return n
}

// countGrants returns the number of permits for the target that may be in force.
func (c *Controller) countGrants(v view) int {
	n := 0
	for _, g := range c.grants {
		if g.model == v.model.Name && g.version == v.model.Version {
			n++
		}
	}
	return n
}

// selectUpstreams returns the upstreams to permit now.
func (c *Controller) selectUpstreams(v view) []membership.Upstream {
	if _, halted := c.halted[v.model.Name]; halted || v.model.Paused {
		return nil
	}
	budget := max(1, v.model.MaxUnavailable) - c.unavailable(v)
	limit, limited := c.canaryLimit(v)
	if !limited {
		limit = len(v.upstreams)
	}
	var selected []membership.Upstream
	for _, u := range v.upstreams {
		g, granted := c.grants[u.Node.NodeID]
		if granted && g.version == v.model.Version || !v.ready(u) || u.Announce.LoadedVersion == v.model.Version {
			continue
		}
		switch {
		case servesNothing(u):
			// Loading takes nothing out of service, so it does not count against max_unavailable.
			selected = append(selected, u)
		case u.Announce.State != message.StateServing || limit <= 0:
		case granted:
			// The permit of an earlier target is replaced at the agent that has it, so no further upstream is taken.
			selected = append(selected, u)
			limit--
		case budget > 0:
			selected = append(selected, u)
			budget--
			limit--
		}
	}
	return selected
}

func servesNothing(u membership.Upstream) bool {
	return u.Announce.LoadedVersion == "" && u.Announce.State == message.StateStarting
}

// canaryLimit returns how many upstreams the canary leaves for swaps, and false when the canary has passed.
func (c *Controller) canaryLimit(v view) (int, bool) {
	if v.model.Canary <= 0 {
		return 0, false
	}
	key := canaryKey(v.model.Name, v.model.Version)
	recorded := c.canaries.verdict(key)
	if recorded == verdictPassed {
		return 0, false
	}
	wanted := min(v.model.Canary, len(v.upstreams))
	done := v.countDone()
	first := c.firstDataCentre()
	switch {
	case !first && recorded != verdictLocal:
		return 0, true
	case wanted == 0:
		if first {
			c.noteNoUpstreams(v, key)
		}
		return 0, true
	case done >= wanted:
		if first {
			c.canaries.record(key, verdictPassed)
		}
		return 0, false
	default:
		delete(c.empty, v.model.Name)
		return wanted - done - c.countGrants(v), true
	}
}

// noteNoUpstreams lets the other data centres run their own canary when this one has had no upstream for the grace period.
func (c *Controller) noteNoUpstreams(v view, key string) {
	since, known := c.empty[v.model.Name]
	if !known {
		c.empty[v.model.Name] = c.cfg.Now()
		return
	}
	if c.cfg.Now().Sub(since) >= c.cfg.CanaryGrace {
		c.canaries.record(key, verdictLocal)
	}
}

// firstDataCentre tells whether this data centre is the first by name of those with a live entry.
func (c *Controller) firstDataCentre() bool {
	for _, e := range c.cfg.Table.Entries() {
		if !e.Leaving && e.Node.DataCentre < c.cfg.Self.DataCentre {
			return false
		}
	}
	return true
}

func (c *Controller) describe(v view) ModelStatus {
	s := ModelStatus{
		Model: v.model.Name, DataCentre: c.cfg.Self.DataCentre, Version: v.model.Version, Paused: v.model.Paused,
		Total: len(v.upstreams), AtTarget: v.countDone(), Unavailable: c.unavailable(v), Permits: c.countGrants(v),
		HaltedReason: c.halted[v.model.Name].reason,
	}
	for _, u := range v.upstreams {
		if v.ready(u) {
			s.Ready++
		}
		if u.Announce.State == message.StateSwapping {
			s.Swapping++
		}
	}
	s.Holder, s.Epoch = c.lease.known()
	s.CanaryPassed = v.model.Canary <= 0 || c.canaries.peek(canaryKey(v.model.Name, v.model.Version)) == verdictPassed
	return s
}
