package relay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/residency"
)

// Reasons for which a request is refused while all upstreams that could take it have reached their rate limits or have asked for a pause. See
// also coldUpstream.
const (
	rateLimitReached placement.Reason = "rate-limit"
	upstreamsPause   placement.Reason = "upstreams-pause"
)

const (
	// minRefusalWait is the shortest Retry-After sent with these reasons.
	minRefusalWait = 300 * time.Millisecond
	// maxRateLimitWait bounds the Retry-After sent with rateLimitReached and coldUpstream. Shares change with demand and upstreams turn warm, so
	// that a long wait means little.
	maxRateLimitWait = 1900 * time.Millisecond
	// maxPauseWait bounds the Retry-After sent with upstreamsPause to the longest that callers observe.
	maxPauseWait = 10 * time.Second
	// pauseWaitSpread is the time within which callers are spread after a pause, pauseWaitDoublings how often the number of those that come
	// back doubles in it: requests return as gradually, see package availability.
	pauseWaitSpread    = time.Second
	pauseWaitDoublings = 8
)

// leftOut describes the upstreams that cannot take a request.
type leftOut struct {
	// allowed counts the upstreams of the service, ready or not, in regions that the request may use. excluded counts those in other regions,
	// exclusion is the reason for the last of them.
	allowed, excluded int
	exclusion         residency.Reason
	// tried counts those that have been tried and do not pause, unqualified those that are no candidates, for example because of their
	// version.
	tried, unqualified int
	// evacuated counts those in data centres that are evacuated.
	evacuated int
	// waiting counts those that take a request later. wait is the shortest time until one of them does, reason why that one does not
	// take it now.
	waiting int
	// cold counts those of them that are cold.
	cold   int
	wait   time.Duration
	reason placement.Reason
}

// addWait counts an upstream that may get a request after wait.
func (o *leftOut) addWait(reason placement.Reason, wait time.Duration) {
	if o.waiting == 0 || wait < o.wait {
		o.wait, o.reason = wait, reason
	}
	o.waiting++
}

// refusal returns the refusal d with the reason why there were no candidates.
func (o *leftOut) refusal(d placement.Decision) placement.Decision {
	switch {
	case d.Reason != placement.NoUpstream:
	case o.allowed == 0 && o.excluded > 0:
		d.Reason = noAllowedRegion
	case o.waiting > 0 && o.reason == upstreamsPause:
		wait := o.wait + spreadAfterPause(rand.Float64())
		if o.tried+o.unqualified > 0 {
			wait = min(wait, d.RetryAfter) // One of these may be able to take the request before the end of the pause.
		}
		d.Reason, d.RetryAfter = upstreamsPause, min(max(wait, minRefusalWait), maxPauseWait)
	case o.waiting > 0:
		d.Reason, d.RetryAfter = o.reason, min(max(o.wait, minRefusalWait), maxRateLimitWait)
	case o.unqualified > 0:
		d.Reason = placement.NoVersion
	case o.evacuated > 0 && o.tried == 0:
		d.Reason = evacuated
	}
	return d
}

// spreadAfterPause returns the time after the end of a pause at which a caller shall come back. random is a number from 0 to 1.
func spreadAfterPause(random float64) time.Duration {
	doublings := math.Log2(1 + random*(math.Exp2(pauseWaitDoublings)-1))
	return time.Duration(doublings / pauseWaitDoublings * float64(pauseWaitSpread))
}
