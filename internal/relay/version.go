package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// weightsTrace tells on which version of the weights an attempt was expected to run, and on which it did. All versions are 0 at services
// without an engine.
type weightsTrace struct {
	// assumed is the version that the upstream held when the attempt was sent, as far as this entry knew. reportAge is the age of the
	// load report that this was read from, or -1 if it was read from the list of upstreams.
	assumed   int64
	reportAge time.Duration
	// served is the version that the upstream named in its response, 0 if it named none.
	served int64
	// required is the oldest version on which a request could begin when the attempt began, 0 if any could.
	required int64
}

// values returns the trace as log keys and values.
func (t weightsTrace) values() []any {
	age := t.reportAge.Milliseconds()
	if t.reportAge < 0 {
		age = -1
	}
	return []any{"assumed_version", t.assumed, "version_report_age_ms", age, "version", t.served, "required_version", t.required}
}

// ranOn returns the version on which the attempt runs, as far as that is known.
func (t weightsTrace) ranOn() int64 {
	if t.served > 0 {
		return t.served
	}
	return t.assumed
}

// recordStart records that the attempt has begun: its first event or the head of its response has arrived. It logs and counts an
// attempt that began on a version whose time was over.
func (a *upstreamAttempt) recordStart() {
	a.tracked.RecordStart()
	a.begun.begin()
	x := a.x
	if x.engine == nil {
		return
	}
	snapshot := x.relay.cfg.State.Snapshot()
	a.weights.required = snapshot.MinVersion(x.meta.Model, time.Now(), x.relay.cfg.VersionApplyWindow)
	if a.weights.served == 0 || a.weights.served >= a.weights.required {
		return
	}
	x.relay.cfg.Metrics.RecordOutdatedStart(a.upstream.Service)
	newest, _ := snapshot.NewestVersion(x.meta.Model)
	x.relay.cfg.Log.Info("request began on an outdated version", append([]any{"request", x.meta.ID, "upstream", a.upstream.ID,
		"waited_ms", time.Since(a.started).Milliseconds(), "newest", newest.Version,
		"newest_age_ms", time.Since(newest.NamedAt).Milliseconds()}, a.weights.values()...)...)
}

// errVersionExpired is the cause with which an attempt is cancelled that would begin on a version whose time is over.
var errVersionExpired = errors.New("relay: the time of the upstream's version ended before the request began")

// versionCheckInterval is the longest time between checks of the version that an attempt waits for. It bounds the delay with which a
// record of a newer version that arrived late, or an upstream that went back to an older version, takes effect.
const versionCheckInterval = 250 * time.Millisecond

// endWithVersion cancels the attempt with errVersionExpired if it has not begun when the time of its upstream's version ends. The
// version is compared when an attempt is sent, but the attempt may wait long in the queue of the upstream, and then begins on
// whatever is loaded. It returns once the attempt has begun or a.ctx has ended.
func (a *upstreamAttempt) endWithVersion(cancel context.CancelCauseFunc) {
	for !a.begun.hasBegun() && a.ctx.Err() == nil {
		remaining := a.untilVersionEnds()
		if remaining <= 0 {
			if a.begun.prevent() {
				cancel(errVersionExpired)
			}
			return
		}
		pause.For(a.ctx, min(remaining, versionCheckInterval))
	}
}

// untilVersionEnds returns the time for which the attempt may still be left waiting on the version that the upstream holds, or
// versionCheckInterval if no newer version is named or the version is not known.
func (a *upstreamAttempt) untilVersionEnds() time.Duration {
	x := a.x
	snapshot := x.relay.cfg.State.Snapshot()
	upstream := snapshot.ByID(a.upstream.ID)
	if upstream == nil {
		upstream = a.upstream
	}
	version, _ := x.lastKnownVersion(upstream)
	if version == 0 {
		version = a.weights.assumed // An upstream may report no version while it loads one.
	}
	until, ok := snapshot.UsableUntil(x.meta.Model, version, x.relay.cfg.VersionApplyWindow-VersionMargin)
	if !ok || version == 0 {
		return versionCheckInterval
	}
	return time.Until(until) - x.startDelay(upstream)
}

// startDelay returns the time that an attempt at an upstream takes at least to begin, as attempts of this entry show it, or else those
// of other entries. It is 0 if nothing is known. Closing a connection may take as long to reach the upstream.
func (x *exchange) startDelay(upstream *catalog.Upstream) time.Duration {
	if delay, known := x.relay.cfg.Tracker.StartDelay(upstream.ID); known {
		return delay
	}
	work := x.relay.cfg.PeerWork.Total(upstream.ID)
	if remote, _, ok := x.relay.cfg.Loads.DataCentreWork(upstream.Address); ok {
		work = work.Plus(remote)
	}
	return time.Duration(work.StartDelayMillis) * time.Millisecond
}

// lastKnownVersion returns the newest version of the weights that an upstream holds completely, as far as this entry knows, or 0 if
// there is none. reportAge is the age of the load report it was read from, or -1 if it was read from the list of upstreams.
func (x *exchange) lastKnownVersion(upstream *catalog.Upstream) (version int64, reportAge time.Duration) {
	models, reportAge := upstream.Models, time.Duration(-1)
	if load, age, ok := x.relay.cfg.Loads.Get(upstream.Address); ok && isCurrentLoad(load, age, upstream) {
		models, reportAge = load.Models, age
	}
	return newestCompleteVersion(models, x.meta.Model, x.engine.Layers), reportAge
}

// hasCompleteVersion reports whether all layers of the required version or a newer one are loaded. With required 0, any
// completely loaded version will do.
func hasCompleteVersion(models []catalog.LoadedLayers, model string, layers int, required int64) bool {
	return newestCompleteVersion(models, model, layers) >= max(required, 1)
}

// newestCompleteVersion returns the newest version of model of which all layers are loaded, 0 if there is none. An empty model
// matches any model.
func newestCompleteVersion(models []catalog.LoadedLayers, model string, layers int) int64 {
	layersLoaded := map[int64]int{}
	var newest int64
	for _, m := range models {
		if m.Model != model && model != "" {
			continue
		}
		layersLoaded[m.Version] += m.To - m.From
		if layersLoaded[m.Version] >= layers && m.Version > newest {
			newest = m.Version
		}
	}
	return newest
}
