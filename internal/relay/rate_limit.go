package relay

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/request"
)

// rateLimitReached is the reason for which a request is refused while all upstreams that could take it have reached their rate limits.
const rateLimitReached placement.Reason = "rate-limit"

const (
	// minRateLimitWait and maxRateLimitWait bound the Retry-After sent with rateLimitReached. Shares change with demand, so that a long
	// wait means little.
	minRateLimitWait = 300 * time.Millisecond
	maxRateLimitWait = 1900 * time.Millisecond
)

// rateLimited counts the upstreams that are left out because of their rate limits.
type rateLimited struct {
	count int
	// wait is the shortest time until one of them may get a request.
	wait time.Duration
}

// add counts an upstream that may get a request after wait.
func (r *rateLimited) add(wait time.Duration) {
	if r.count == 0 || wait < r.wait {
		r.wait = wait
	}
	r.count++
}

// refusalReason returns the refusal d with the reason why there were no candidates.
func refusalReason(d placement.Decision, eligible int, limited rateLimited) placement.Decision {
	if d.Reason != placement.NoUpstream {
		return d
	}
	switch {
	case limited.count > 0:
		d.Reason, d.RetryAfter = rateLimitReached, min(max(limited.wait, minRateLimitWait), maxRateLimitWait)
	case eligible > 0:
		d.Reason = placement.NoVersion
	}
	return d
}

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
