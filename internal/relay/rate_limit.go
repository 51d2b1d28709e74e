package relay

import (
	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/request"
)

// limitedUpstream identifies the process of an upstream to package ratelimit.
func limitedUpstream(u *catalog.Upstream) ratelimit.Upstream {
	return ratelimit.Upstream{ID: u.ID, StartedAtMillis: u.StartedAtMillis, Service: u.Service}
}

// recordRateLimit records the rate limit that the upstream names in a response, or that it names none.
func (a *upstreamAttempt) recordRateLimit(parsed request.Response) {
	if a.fromOther(parsed) {
		return
	}
	if parsed.RateLimitUnreadable {
		a.x.relay.cfg.Log.Info("upstream names a rate limit that cannot be read", "upstream", a.upstream.ID, "request", a.x.meta.ID)
		return
	}
	if parsed.HasRateLimit {
		a.rateLimit = parsed.RateLimit
	}
	a.x.relay.cfg.RateLimits.RecordResponse(limitedUpstream(a.upstream), parsed.RateLimit, parsed.HasRateLimit)
}
