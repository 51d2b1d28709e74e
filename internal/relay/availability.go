package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/availability"
	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
)

// errUnavailable is the cause of an attempt that was not sent because the upstream has said meanwhile that it takes no requests.
var errUnavailable = errors.New("relay: upstream takes no requests")

// processOf identifies the process of an upstream to package availability.
func processOf(u *catalog.Upstream) availability.Process {
	return availability.Process{ID: u.ID, StartedAtMillis: u.StartedAtMillis}
}

// recordAvailability records what the upstream says, in its response to a request that was sent at sentAt, about taking requests from this
// entry, and whether it has served the request.
func (a *upstreamAttempt) recordAvailability(parsed request.Response, status int, sentAt time.Time) {
	if a.fromOther(parsed) {
		return
	}
	x, process := a.x, processOf(a.upstream)
	for _, header := range parsed.Unreadable {
		x.relay.cfg.Log.Info("upstream header cannot be read", "upstream", a.upstream.ID, "started", a.upstream.StartedAtMillis,
			"header", header, "request", x.meta.ID)
	}
	if parsed.Leaving {
		x.relay.availability.RecordLeaving(process, x.meta.ID)
	}
	x.relay.availability.RecordPause(process, parsed.RetryAfter, x.meta.ID)
	served := status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	x.relay.availability.RecordResult(process, sentAt, served)
}

// take reserves one request at an upstream: from its allowance after a pause, from its rate limit and from its permits while it is cold. It
// reports false and the reason if there is none left.
func (x *exchange) take(u *catalog.Upstream) (reason placement.Reason, ok bool) {
	if !x.relay.availability.Take(processOf(u)) {
		return upstreamsPause, false
	}
	if !x.relay.cfg.RateLimits.Take(limitedUpstream(u)) {
		x.relay.availability.Return(processOf(u))
		return rateLimitReached, false
	}
	if !x.takePermit(u) {
		x.relay.availability.Return(processOf(u))
		x.relay.cfg.RateLimits.Return(limitedUpstream(u))
		return coldUpstream, false
	}
	return "", true
}

// giveBack gives back a request that was taken and not sent.
func (x *exchange) giveBack(u *catalog.Upstream) {
	x.relay.availability.Return(processOf(u))
	x.relay.cfg.RateLimits.Return(limitedUpstream(u))
	x.returnPermit(u)
}

// observeAvailability logs and counts a change of what an upstream takes.
func (r *Relay) observeAvailability(e availability.Event) {
	r.cfg.Log.Info("availability of upstream changed", "upstream", e.Process.ID, "started", e.Process.StartedAtMillis,
		"change", e.Change.String(), "request", e.Request, "retry_after_ms", e.RetryAfter.Milliseconds())
	r.cfg.Metrics.RecordAvailabilityChange(e.Change.String())
}
