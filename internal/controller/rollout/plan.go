package rollout

import (
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
)

// modelView holds the upstreams of one model in this data centre, without those that are leaving, at one moment.
type modelView struct {
	model     config.Model
	upstreams []membership.Upstream
	// byID holds the same upstreams by node ID.
	byID map[string]membership.Upstream
}

// newModelView lists the upstreams of model.
func (c *Controller) newModelView(cfg *config.Config, model config.Model) modelView {
	pools := make(map[string]bool)
	for _, p := range cfg.Pools {
		if p.Kind == config.KindModel && p.Model == model.Name {
			pools[p.Name] = true
		}
	}
	v := modelView{model: model, byID: make(map[string]membership.Upstream)}
	for _, u := range c.cfg.Table.Upstreams() {
		leaving := u.ListedLeaving || u.Announce.State == message.StateLeaving
		if pools[u.Announce.Pool] && u.Node.DataCentre == c.cfg.Self.DataCentre && !leaving {
			v.upstreams = append(v.upstreams, u)
			v.byID[u.Node.NodeID] = u
		}
	}
	return v
}

// atTarget reports whether u serves the target version.
func (v modelView) atTarget(u membership.Upstream) bool {
	return u.Announce.State == message.StateServing && u.Announce.LoadedVersion == v.model.Version
}

// ready reports whether u has the weights of the target version and so can load it.
func (v modelView) ready(u membership.Upstream) bool {
	return u.Announce.ReadyVersion == v.model.Version
}

func (v modelView) countAtTarget() int {
	n := 0
	for _, u := range v.upstreams {
		if v.atTarget(u) {
			n++
		}
	}
	return n
}

// unavailable returns the number of upstreams that are not serving or may stop at any time because they have a permit. Permits
// of agents that are no longer listed count too.
func (c *Controller) unavailable(v modelView) int {
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

// countGrants returns the number of permits for the target version that may be in force.
func (c *Controller) countGrants(v modelView) int {
	n := 0
	for _, g := range c.grants {
		if g.model == v.model.Name && g.version == v.model.Version {
			n++
		}
	}
	return n
}

// selectUpstreams returns the upstreams that get a permit now, within the limits of max_unavailable and the canary.
func (c *Controller) selectUpstreams(v modelView) []membership.Upstream {
	if _, halted := c.halts[v.model.Name]; halted || v.model.Paused {
		return nil
	}
	// budget is the number of swaps that max_unavailable allows now, and limit the number that the canary allows.
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
		case hasNothingLoaded(u):
			// The load takes no upstream out of service, so it does not count against max_unavailable.
			selected = append(selected, u)
		case u.Announce.State != message.StateServing || limit <= 0:
			// The upstream is not serving, or the canary allows no further swap now.
		case granted:
			// The new permit replaces one for an earlier target at the same agent, so it makes no further upstream unavailable.
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

// hasNothingLoaded reports whether u is starting and has no version loaded.
func hasNothingLoaded(u membership.Upstream) bool {
	return u.Announce.LoadedVersion == "" && u.Announce.State == message.StateStarting
}

// canaryLimit returns how many upstreams may still be swapped as the canary. The second result is false when there is no
// limit, because the model has no canary or its canary has passed.
func (c *Controller) canaryLimit(v modelView) (int, bool) {
	if v.model.Canary <= 0 {
		return 0, false
	}
	key := canaryKey(v.model.Name, v.model.Version)
	recorded := c.canaryResults.resultOrFetch(key)
	if recorded == canaryPassed {
		return 0, false
	}
	required := min(v.model.Canary, len(v.upstreams))
	atTarget := v.countAtTarget()
	isFirst := c.isFirstDataCentre()
	switch {
	case !isFirst && recorded != canaryPerDataCentre:
		return 0, true
	case required == 0:
		if isFirst {
			c.delegateCanaryAfterGrace(v, key)
		}
		return 0, true
	case atTarget >= required:
		if isFirst {
			c.canaryResults.record(key, canaryPassed)
		}
		return 0, false
	default:
		delete(c.emptySince, v.model.Name)
		return required - atTarget - c.countGrants(v), true
	}
}

// delegateCanaryAfterGrace records that each data centre runs its own canary once this data centre, the first one, has had no
// upstream of the model for CanaryGrace.
func (c *Controller) delegateCanaryAfterGrace(v modelView, key string) {
	since, tracked := c.emptySince[v.model.Name]
	if !tracked {
		c.emptySince[v.model.Name] = c.cfg.Now()
		return
	}
	if c.cfg.Now().Sub(since) >= c.cfg.CanaryGrace {
		c.canaryResults.record(key, canaryPerDataCentre)
	}
}

// isFirstDataCentre reports whether this data centre is the first by name among those with an entry that is not leaving.
func (c *Controller) isFirstDataCentre() bool {
	for _, e := range c.cfg.Table.Entries() {
		if !e.Leaving && e.Node.DataCentre < c.cfg.Self.DataCentre {
			return false
		}
	}
	return true
}

// modelStatus returns the status of the rollout of v's model.
func (c *Controller) modelStatus(v modelView) ModelStatus {
	s := ModelStatus{
		Model: v.model.Name, DataCentre: c.cfg.Self.DataCentre, Version: v.model.Version, Paused: v.model.Paused,
		Total: len(v.upstreams), AtTarget: v.countAtTarget(), Unavailable: c.unavailable(v), Permits: c.countGrants(v),
		HaltedReason: c.halts[v.model.Name].reason,
	}
	for _, u := range v.upstreams {
		if v.ready(u) {
			s.Ready++
		}
		if u.Announce.State == message.StateSwapping {
			s.Swapping++
		}
	}
	s.Holder, s.Epoch = c.lease.lastSeenHolder()
	s.CanaryPassed = v.model.Canary <= 0 || c.canaryResults.cached(canaryKey(v.model.Name, v.model.Version)) == canaryPassed
	return s
}
