package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

// coldUpstream is the reason for which a request is refused while all upstreams that could take it are cold and take no more at this moment.
const coldUpstream placement.Reason = "cold"

// errNoPermit is the cause of an attempt that was not sent because its upstream is cold and the request has no valid permit for it.
var errNoPermit = errors.Mark(errors.New("relay: upstream is cold and takes no more requests now"), errUnavailable)

// warmingUpstream identifies the process of an upstream to package warmup.
func warmingUpstream(u *catalog.Upstream) warmup.Upstream {
	return warmup.Upstream{ID: u.ID, StartedAtMillis: u.StartedAtMillis, Service: u.Service, DataCentre: u.DataCentre}
}

// mayUseCold reports whether this entry has a permit for an upstream, or needs none. If not, wait is the time until it has one.
func (x *exchange) mayUseCold(u *catalog.Upstream) (ok bool, wait time.Duration) {
	if x.relay.cfg.Warmup == nil {
		return true, 0
	}
	return x.relay.cfg.Warmup.Available(warmingUpstream(u))
}

// preferWarm leaves out the cold upstreams if a warm one can take the request, as long as this entry does not know the other entries: its share
// of their rate is not known then.
func (x *exchange) preferWarm(list []placement.Candidate, out *leftOut) []placement.Candidate {
	limiter := x.relay.cfg.Warmup
	if limiter == nil || limiter.KnowsEntries() {
		return list
	}
	var warm []placement.Candidate
	for _, c := range list {
		if !limiter.IsCold(warmingUpstream(c.Upstream)) {
			warm = append(warm, c)
		}
	}
	if len(warm) == 0 {
		return list
	}
	for range len(list) - len(warm) {
		out.addWait(coldUpstream, minRefusalWait)
		out.cold++
	}
	return warm
}

// takePermit takes a permit for an upstream that is cold. It reports false if there is none left.
func (x *exchange) takePermit(u *catalog.Upstream) bool {
	if x.relay.cfg.Warmup == nil {
		return true
	}
	permit, ok := x.relay.cfg.Warmup.Take(warmingUpstream(u))
	if ok {
		if x.permits == nil {
			x.permits = map[string]warmup.Permit{}
		}
		x.permits[u.ID] = permit
	}
	return ok
}

// returnPermit returns the permit of a request that was not sent.
func (x *exchange) returnPermit(u *catalog.Upstream) {
	if permit, ok := x.permits[u.ID]; ok {
		x.relay.cfg.Warmup.Return(warmingUpstream(u), permit)
		delete(x.permits, u.ID)
	}
}

// renewPermit reports whether the request may be sent to an upstream now. If the upstream is cold and the permit has expired, or none was
// needed when the request was placed, it takes another one.
func (x *exchange) renewPermit(u *catalog.Upstream) bool {
	limiter := x.relay.cfg.Warmup
	return limiter == nil || limiter.MaySend(warmingUpstream(u), x.permits[u.ID]) || x.takePermit(u)
}

// presumeCold makes an upstream count as cold, for the given reason, until its record says that it is not.
func (r *Relay) presumeCold(u *catalog.Upstream, cause warmup.Cause) {
	if r.cfg.Warmup != nil {
		r.cfg.Warmup.Presume(warmingUpstream(u), cause)
	}
}

// seemsDown reports whether the load of an upstream shows that it is down or unresponsive. It has lost its requests then, so that all entries
// would send to it at once when it comes back: it is presumed cold.
func (x *exchange) seemsDown(u *catalog.Upstream, load loadview.Load, local bool, age time.Duration) bool {
	switch {
	case load.Down:
		x.relay.presumeCold(u, warmup.CauseDown)
	case x.unresponsive(u, local, age):
		x.relay.presumeCold(u, warmup.CauseUnreachable)
	default:
		return false
	}
	return true
}

// recordColdness records the time for which the upstream says in a response that it stays cold.
func (a *upstreamAttempt) recordColdness(parsed request.Response) {
	if limiter := a.x.relay.cfg.Warmup; limiter != nil && parsed.ColdLeft > 0 && !a.fromOther(parsed) {
		limiter.RecordResponse(warmingUpstream(a.upstream), parsed.ColdLeft)
	}
}
