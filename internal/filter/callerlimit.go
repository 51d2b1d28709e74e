package filter

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/config"
)

// inFlightRetryAfter is the Retry-After sent to a caller that has too many requests in progress.
const inFlightRetryAfter = time.Second

// CallerLimit limits the request rate and the number of concurrent requests of each caller. Each entry enforces an equal share of
// the rate: the configured rate divided by the number of live entries. The limit on concurrent requests applies per entry.
type CallerLimit struct {
	// liveEntries returns the number of live entries, this one included.
	liveEntries func() int
	// mu guards callers, the states it points to, and revision.
	mu      sync.Mutex
	callers map[string]*callerState
	// revision is the configuration revision for which callers was last pruned.
	revision uint64
}

// callerState holds the rate limiter and the number of requests in progress of one caller.
type callerState struct {
	// bucket is the token bucket of the caller; nil means that its rate is unlimited.
	bucket *rate.Limiter
	// share is this entry's share of the caller's rate, in requests per second.
	share    float64
	inFlight int
}

// NewCallerLimit returns a CallerLimit. liveEntries returns the number of live entries, this one included, and must not block.
func NewCallerLimit(liveEntries func() int) *CallerLimit {
	return &CallerLimit{liveEntries: liveEntries, callers: make(map[string]*callerState)}
}

// Apply implements Filter.
func (f *CallerLimit) Apply(ctx context.Context, x *Exchange, next Handler) error {
	state, failure := f.admit(x)
	if failure != nil {
		return failure
	}
	defer f.release(state)
	return next(ctx, x)
}

// admit counts the request as in progress, or returns a failure when the caller exceeds a limit.
func (f *CallerLimit) admit(x *Exchange) (*callerState, *Failure) {
	entries := max(f.liveEntries(), 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prune(x.Active)
	state := f.callers[x.Caller.Name]
	if state == nil {
		state = &callerState{}
		f.callers[x.Caller.Name] = state
	}
	if x.Caller.MaxInFlight > 0 && state.inFlight >= x.Caller.MaxInFlight {
		failure := refuse(http.StatusTooManyRequests, "too-many-in-flight", "the caller has too many requests in progress")
		failure.RetryAfter = inFlightRetryAfter
		return nil, failure
	}
	if wait := state.take(x.Caller.Rate / float64(entries)); wait > 0 {
		failure := refuse(http.StatusTooManyRequests, "rate-limited", "the caller exceeds its rate")
		failure.RetryAfter = wait
		return nil, failure
	}
	state.inFlight++
	return state, nil
}

// take takes a token from the bucket, whose rate is set to share requests per second; 0 means unlimited. It returns 0 on success,
// or else the time until the next token is available.
func (s *callerState) take(share float64) time.Duration {
	if share <= 0 {
		s.bucket, s.share = nil, 0
		return 0
	}
	burst := max(int(math.Ceil(share)), 1) // The tokens of one second, at least one.
	switch {
	case s.bucket == nil:
		s.bucket = rate.NewLimiter(rate.Limit(share), burst)
	case s.share != share:
		s.bucket.SetLimit(rate.Limit(share))
		s.bucket.SetBurst(burst)
	}
	s.share = share
	if s.bucket.Allow() {
		return 0
	}
	return max(time.Duration(float64(time.Second)*(1-s.bucket.Tokens())/share), time.Millisecond)
}

// release counts a request as no longer in progress.
func (f *CallerLimit) release(state *callerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state.inFlight--
}

// prune removes the state of callers that a new configuration no longer contains, unless they have requests in progress. f.mu must
// be held.
func (f *CallerLimit) prune(active *config.Active) {
	if active.Envelope.Revision <= f.revision {
		return
	}
	f.revision = active.Envelope.Revision
	configured := make(map[string]bool, len(active.Config.Callers))
	for i := range active.Config.Callers {
		configured[active.Config.Callers[i].Name] = true
	}
	for name, state := range f.callers {
		if !configured[name] && state.inFlight == 0 {
			delete(f.callers, name)
		}
	}
}
