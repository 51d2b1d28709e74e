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

// inFlightRetry is the Retry-After of a caller with too many requests in progress.
const inFlightRetry = time.Second

// CallerLimit bounds each caller's rate and requests in progress. The rate is divided by the number of live entries.
type CallerLimit struct {
	// liveEntries returns the number of live entries, this one included.
	liveEntries func() int
	// mu guards callers and what it points to.
	mu      sync.Mutex
	callers map[string]*callerState
	// revision is the configuration for which callers was pruned last.
	revision uint64
}

type callerState struct {
	bucket   *rate.Limiter
	share    float64
	inFlight int
}

// NewCallerLimit returns the filter. liveEntries must not block.
func NewCallerLimit(liveEntries func() int) *CallerLimit {
	return &CallerLimit{liveEntries: liveEntries, callers: make(map[string]*callerState)}
}

// Apply implements Filter.
func (f *CallerLimit) Apply(ctx context.Context, x *Exchange, next Handler) error {
	state, failure := f.enter(x)
	if failure != nil {
		return failure
	}
	defer f.leave(state)
	return next(ctx, x)
}

func (f *CallerLimit) enter(x *Exchange) (*callerState, *Failure) {
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
		failure.RetryAfter = inFlightRetry
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

// take returns 0 when the bucket held a token, or the time until it will.
func (s *callerState) take(share float64) time.Duration {
	if share <= 0 {
		s.bucket, s.share = nil, 0
		return 0
	}
	burst := max(int(math.Ceil(share)), 1) // One second's worth.
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

func (f *CallerLimit) leave(state *callerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state.inFlight--
}

// prune drops callers that a new configuration no longer has. The caller holds mu.
func (f *CallerLimit) prune(active *config.Active) {
	if active.Envelope.Revision <= f.revision {
		return
	}
	f.revision = active.Envelope.Revision
	known := make(map[string]bool, len(active.Config.Callers))
	for i := range active.Config.Callers {
		known[active.Config.Callers[i].Name] = true
	}
	for name, state := range f.callers {
		if !known[name] && state.inFlight == 0 {
			delete(f.callers, name)
		}
	}
}
