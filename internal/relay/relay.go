// Package relay serves callers' requests by sending them directly to upstreams. It selects an upstream with package placement,
// tracks each attempt, retries where allowed, resumes interrupted streams on another upstream, and gives every request one
// final response.
package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/availability"
	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/membudget"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/refusal"
	"github.com/pimentohead/pimentohead/internal/request"
	"github.com/pimentohead/pimentohead/internal/residency"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

const (
	// defaultMaxBody bounds a request body if the configuration does not, in bytes.
	defaultMaxBody = 4 << 20
	// defaultDeadline applies if neither the caller nor the route sets one; it also bounds longer ones.
	defaultDeadline = 30 * time.Second
	// startingRetryAfter is the Retry-After sent by an entry that has no configuration or no complete list of upstreams yet.
	startingRetryAfter = 500 * time.Millisecond
	// VersionMargin is subtracted from Config.VersionApplyWindow, the time in which a rollout has to be complete. It covers the
	// latency to the upstream and clock skew.
	VersionMargin = 400 * time.Millisecond
	// startDelayFactor times the predicted time to the first event, or the delay with which attempts at the upstream begin if that is
	// longer, is assumed to be the longest delay until a request starts. Near the end of a rollout, an upstream is a candidate only if
	// its version is still allowed after that delay.
	startDelayFactor = 3
	// MinVersionLead is the shortest delay that is assumed, for delays that no attempt has shown yet. An attempt that takes longer is
	// cancelled at the end of its upstream's version, see endWithVersion; until then, many fleets have no other version to use.
	MinVersionLead = 500 * time.Millisecond
)

// errCallerGone and errTimeout are the causes with which the context of a request is cancelled.
var (
	errCallerGone = errors.New("relay: caller disconnected")
	errTimeout    = errors.New("relay: request deadline exceeded")
)

// Config holds the dependencies and settings of a Relay.
type Config struct {
	Codec request.Codec
	// State holds the configuration, the list of upstreams and the named versions of weights.
	State *fleet.State
	// Loads holds the newest load of each upstream, PeerWork the work of other entries, Tracker the attempts of this entry.
	Loads           *loadview.Table
	PeerWork        *loadview.WorkTable
	Tracker         *placement.Tracker
	Pool            *h1.Pool
	PriorityLimiter *placement.PriorityLimiter
	RetryBudget     *RetryBudget
	// Poison decides which requests are refused because they crash upstreams; nil selects a ledger that no other entry shares.
	Poison *poison.Ledger
	// RateLimits keeps the requests of all entries within the rates that upstreams name; nil selects a limiter of this entry alone.
	RateLimits *ratelimit.Limiter
	// Observed holds the loads that upstreams state in their responses; nil ignores them.
	Observed *loadview.ObservedTable
	// Warmup keeps the requests of all entries within the rate of upstreams that are cold; nil sets no limit.
	Warmup *warmup.Limiter
	// Refusals recognises callers that come back after a refusal; nil selects a table of this entry alone.
	Refusals *refusal.Table
	// MemoryBudget bounds the bytes that are held for callers; nil sets no limit.
	MemoryBudget *membudget.Budget
	Log          logr.Logger
	Metrics      *Metrics
	// DataCentre is the data centre of this entry.
	DataCentre string
	// Regions maps each data centre to its region. Requests that are restricted to regions run in no data centre that it lacks.
	Regions map[string]string
	// VersionApplyWindow is the time after the naming of a version from which no request may start on older weights.
	VersionApplyWindow time.Duration
	// ServedUntil returns the time at which a process that is shutting down ends the requests in progress, and the zero time otherwise.
	ServedUntil func() time.Time
}

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	cfg Config
	// availability holds what upstreams have said about taking requests from this entry.
	availability *availability.Table
	// endings finds out which upstreams have ended, inProgress holds the attempts that a verdict may end.
	endings    endingTable
	inProgress attemptTable
	// durations holds how long requests took, to decide which ones can still be served during a shutdown.
	durations durationTable
	// slowness holds how often the upstreams of each service are slow.
	slowness *placement.SlownessTable
	memory   memoryState
	// answering is cancelled by answerRequests, shutdown by endRequests.
	answering, shutdown         context.Context
	answerRequests, endRequests context.CancelFunc
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Poison == nil {
		cfg.Poison = poison.New(nil)
	}
	if cfg.RateLimits == nil {
		cfg.RateLimits = ratelimit.New(ratelimit.Config{Members: func() []string { return nil }})
	}
	if cfg.Refusals == nil {
		cfg.Refusals = refusal.New(nil)
	}
	r := &Relay{cfg: cfg}
	r.slowness = placement.NewSlownessTable(nil, r.logSlowness)
	r.shutdown, r.endRequests = context.WithCancel(context.Background())
	r.answering, r.answerRequests = context.WithCancel(r.shutdown)
	r.availability = availability.New(availability.Config{Observe: r.observeAvailability})
	cfg.State.Observe(func(change fleet.Change) {
		if change.Config != nil {
			r.logRestrictions(change.Config)
		}
	})
	cfg.Poison.ObserveVerdicts(func(verdicts []poison.Verdict) {
		r.logVerdicts(verdicts)
		r.inProgress.endPoisoned(verdicts)
	})
	return r
}

// exchange is the state of one caller request.
type exchange struct {
	relay *Relay
	w     http.ResponseWriter
	req   *http.Request
	ctx   context.Context
	body  []byte
	// bodyHeld is the part of the memory budget that body takes.
	bodyHeld *membudget.Reservation
	meta     request.Metadata
	route    *catalog.Route
	service  string
	engine   *catalog.Engine
	customer string
	// regions is the rule on the regions in which the request may run.
	regions  residency.Rule
	rank     int
	snapshot *fleet.Snapshot
	received time.Time
	// returning is set if the caller comes back after a refusal. priorWait is the time that it had already waited.
	returning bool
	priorWait time.Duration
	// deadline is the earliest of the deadlines that result from the caller's timeout, the route's timeout and defaultDeadline.
	deadline time.Time

	// sends counts the attempts that reached an upstream, possibleRuns those that may have run.
	sends, possibleRuns int
	tried               map[string]bool
	// permits holds the permits that were taken for cold upstreams, by the ID of the upstream.
	permits map[string]warmup.Permit
	// permitExpired is set once a permit has expired before the request was sent.
	permitExpired bool
	// fingerprintValue caches fingerprint.
	fingerprintValue uint64
	// subjectList caches subjects.
	subjectList []string
	// silent is the newest attempt whose upstream is silent while others try to take over from it; nil if there is none.
	silent *upstreamAttempt
	// lastFailure describes the most recent failure, for logs, lastSilence is the time without a byte from the upstream at its end.
	lastFailure string
	lastSilence time.Duration
	// exclusion is why the request may not run on an upstream that the last placement found in a region that is not allowed.
	exclusion residency.Reason
	// decision is the placement decision that refused the request, if there is one.
	decision placement.Decision
	// responseStarted is decided when the head of the response is sent to the caller, or when a shutdown ends the request before that.
	responseStarted beginning
	// timeToFirstEvent is the time from receipt until the stream's response started, 0 for other requests.
	timeToFirstEvent time.Duration
	// events is the progress of a streamed response.
	events streamProgress
	// pauses holds the pauses between the events of a streamed response.
	pauses streamPauses
	// readerWait is how long the response waited for the caller to read.
	readerWait time.Duration
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	received := time.Now()
	x := &exchange{relay: r, w: w, req: req, received: received, tried: map[string]bool{}, meta: r.cfg.Codec.ParseRequest(req.Header),
		bodyHeld: r.cfg.MemoryBudget.Reserve()}
	defer x.bodyHeld.Release()
	defer x.answerPanic()
	x.limitWrites(received.Add(defaultDeadline))
	if !x.admit() {
		return
	}
	if x.outlastsShutdown() {
		x.refuse(http.StatusServiceUnavailable, shutdownCode, shutdownRetryAfter)
		return
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	defer context.AfterFunc(r.shutdown, func() { cancel(errShutdown) })()
	defer context.AfterFunc(r.answering, func() {
		if x.responseStarted.prevent() {
			cancel(errShutdown)
		}
	})()
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(errTimeout) })
	defer timer.Stop()
	x.ctx = ctx
	x.run()
}

// run makes attempts until the request has a final response.
func (x *exchange) run() {
	x.relay.cfg.RetryBudget.RecordRequest(x.service)
	x.relay.cfg.RateLimits.RecordDemand(x.service)
	if x.route.Resumable {
		x.events.lastID = x.meta.LastEventID
	}
	for {
		if x.poisoned() {
			x.relay.cfg.PriorityLimiter.Protect(x.trafficClass())
			x.failPlacement(crashRefusal)
			return
		}
		d := x.placeOrWait()
		if cause := context.Cause(x.ctx); cause != nil && d.Upstream == nil {
			x.endCancelled(cause)
			return
		}
		if d.Upstream == nil {
			x.failPlacement(d)
			return
		}
		result := x.attempt(d)
		if result.final {
			x.relay.durations.record(x.trafficClass(), time.Since(x.received))
			x.recordOutcome(result.outcome, result.status)
			return
		}
		if cause := context.Cause(x.ctx); cause != nil {
			x.endCancelled(cause)
			return
		}
		if errors.Is(result.cause, errCallerGone) {
			x.endCancelled(errCallerGone)
			return
		}
		x.awaitVerdict(result.crashDecided)
		if !x.mayRetry(result) {
			x.failAttempt(result)
			return
		}
	}
}

// crashesUpstreams is the reason for which a request is refused that would crash its upstream. poisonRetryAfter is the Retry-After sent
// with it: a verdict holds for minutes, so the longest that callers observe.
const (
	crashesUpstreams placement.Reason = "crashes-upstreams"
	poisonRetryAfter                  = 10 * time.Second
)

// crashRefusal is the decision on a request that would crash its upstream.
var crashRefusal = placement.Decision{Reason: crashesUpstreams, RetryAfter: poisonRetryAfter}

// place selects the upstream for the next attempt, or returns a refusal. The request is taken from what the upstream takes.
func (x *exchange) place() placement.Decision {
	q, list, out := x.choices(time.Now())
	x.exclusion = out.exclusion
	for {
		d := placement.Choose(q, list)
		if d.Upstream == nil {
			return out.refusal(d)
		}
		reason, ok := x.take(d.Upstream)
		if ok {
			x.relay.cfg.Metrics.RecordColdAvoided(x.service, out.cold)
			return d
		}
		// Another request has taken the last one meanwhile.
		out.addWait(reason, minRefusalWait)
		list = slices.DeleteFunc(list, func(c placement.Candidate) bool { return c.Upstream == d.Upstream })
	}
}

// choices returns what package placement selects an upstream from, and what is known of the upstreams that are no candidates. It takes nothing.
func (x *exchange) choices(now time.Time) (q placement.Query, list []placement.Candidate, out leftOut) {
	x.snapshot = x.relay.cfg.State.Snapshot()
	list, out = x.candidates(now)
	list = x.avoidInterruptions(x.avoidOlderWeights(list), now)
	q = placement.Query{Engine: x.engine, PromptTokens: float64(x.meta.PromptTokens), AnswerTokens: float64(x.meta.MaxAnswerTokens),
		Target:  x.route.LatencyTarget,
		Elapsed: now.Sub(x.received) + x.priorWait, Remaining: x.deadline.Sub(now), MustPlace: x.responseStarted.hasBegun() || x.possibleRuns > 0,
		Returning: x.returning,
		MaxWait:   x.relay.cfg.PriorityLimiter.MaxWait(x.trafficClass(), x.route.Priority, x.snapshot.Index.ShortestLatencyTarget(x.service))}
	x.weighLateness(&q, list)
	return q, list, out
}

// placeOrWait is place, but waits for an upstream for a response that has begun: ending the request would end the response, while an upstream
// may be about to come back, or to have loaded a version.
func (x *exchange) placeOrWait() placement.Decision {
	d := x.place()
	if !x.responseStarted.hasBegun() {
		return d
	}
	for until := time.Now().Add(resumeWait); d.Upstream == nil && x.ctx.Err() == nil && time.Now().Before(until); d = x.place() {
		pause.For(x.ctx, resumeCheckInterval)
		if x.poisoned() {
			return crashRefusal
		}
	}
	return d
}

const (
	// resumeWait bounds the wait for an upstream that continues a response. Callers leave after a pause of two seconds at the earliest.
	resumeWait = 1500 * time.Millisecond
	// resumeCheckInterval is the time between checks for such an upstream.
	resumeCheckInterval = 50 * time.Millisecond
)

// trafficClass returns the class of the request for the priority limiter: routes of one service with equal priority and latency target
// belong to one class.
func (x *exchange) trafficClass() string {
	return x.service + "/" + strconv.Itoa(x.route.Priority) + "/" + x.route.LatencyTarget.String()
}

// maxSends bounds how often a request is sent, including sends that upstreams declined. An attempt that was not sent is repeated while fewer
// than maxSends upstreams have been tried.
const maxSends = 4

// mayRetry reports whether another attempt is allowed after one without a final response. It takes a retry from the budget,
// except after an attempt that was not sent.
func (x *exchange) mayRetry(res attemptResult) bool {
	switch {
	case res.kind == notSent:
		return len(x.tried) < maxSends
	case x.sends >= maxSends:
		return false
	case x.responseStarted.hasBegun() && (x.route.Kind != catalog.Stream || x.events.count == 0):
		return false // Only a stream of events can be resumed.
	case res.kind == mayHaveRun && (!x.route.MayRepeat() || !x.mayRunAgain(res)):
		return false
	default:
		return res.retryTaken || x.relay.cfg.RetryBudget.TryRetry(x.service)
	}
}

// mayRunAgain reports whether the route allows another run after an attempt that may have run. A run counts unless its upstream has
// ended: a connection may also be reset while the upstream works on, and an attempt that is ended may begin while the close is on its way.
func (x *exchange) mayRunAgain(res attemptResult) bool {
	allowed := max(x.route.MaxAttempts, 1)
	switch {
	case x.possibleRuns != allowed:
		return x.possibleRuns < allowed
	case !errors.Is(res.cause, h1.ErrBroken) || errors.Is(res.cause, h1.ErrMalformed):
		return false
	default:
		ended, _ := x.awaitEnd(res.upstream)
		return ended
	}
}
