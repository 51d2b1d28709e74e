package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/membudget"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
)

// failureKind classifies an attempt without a final response by whether the request was sent and may have run.
type failureKind uint8

const (
	// notSent means that the request did not reach the upstream.
	notSent failureKind = iota + 1
	// declined means that the upstream refused the request without running it.
	declined
	// mayHaveRun means that at least part of the request may have been sent, so that it may have run.
	mayHaveRun
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// final is set when the caller has received its complete response.
	final bool
	// outcome is the value of the metric label "outcome" for a final response.
	outcome string
	status  int
	// kind is set when the attempt has no final response.
	kind failureKind
	// upstream is the upstream to which the request was sent.
	upstream *catalog.Upstream
	// retryTaken is set when a retry has been taken from the budget already.
	retryTaken bool
	cause      error
	duration   time.Duration
	// timeToFirstEvent is measured from the start of the attempt. It is 0 if no event has been forwarded.
	timeToFirstEvent time.Duration
	// answerBegun is set when the upstream has sent the head of a response to the request.
	answerBegun bool
	// silence is the time without a byte from the upstream at the end of the attempt.
	silence time.Duration
	// crashDecided is closed once it is decided whether the upstream ended; nil if that is not in question.
	crashDecided <-chan struct{}
	// rateLimit is the requests a second that the upstream named in its response, -1 if it named none.
	rateLimit float64
	weights   weightsTrace
	stream    streamTrace
	// successor is the result of another attempt that has taken over; nil if none has.
	successor *attemptResult
}

const (
	// dialTimeout is the time after which a connection that is being opened is overdue, see connect. Upstreams are at most a few ms away
	// and accept within 1 ms. It is also the shortest time after which the head of a response or the first event of a stream is overdue.
	dialTimeout = 300 * time.Millisecond
	// firstEventTimeout is the time after which the first event of a stream is overdue. Callers time out after two seconds at the
	// earliest.
	firstEventTimeout = 2 * time.Second
	// streamIdleTimeout is the longest pause between new events of a stream. Events arrive every 50 to 150 ms; loading weights pauses a
	// stream for 300 ms.
	streamIdleTimeout = 850 * time.Millisecond
	// headTimeoutFactor times the route's latency target is the time after which a response that is not a stream is overdue.
	headTimeoutFactor = 2.5
	// maxResponseBytes bounds the body of a response. A longer one is taken for bytes without end and aborted.
	maxResponseBytes = 64 << 20
	// unreachableSuspectTime is how long an upstream that cannot be dialled is marked as suspect.
	unreachableSuspectTime = 1500 * time.Millisecond
)

// attemptUpstream sends the request to the selected upstream and forwards its response. It reports the outcome to the tracker.
func (x *exchange) attemptUpstream(d placement.Decision) attemptResult {
	started := time.Now()
	c, err := x.connect(d.Upstream)
	if err != nil {
		x.lastFailure = "unreachable"
		return attemptResult{kind: notSent, cause: err, duration: time.Since(started)}
	}
	u, conn, tracked := c.upstream, c.Conn, c.tracked
	defer tracked.End(placement.Abandoned) // Takes effect only if the handler panics.
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, conn.Close)
	a := &upstreamAttempt{x: x, ctx: ctx, upstream: u, conn: conn, tracked: tracked, started: started, rateLimit: -1}
	a.subjects, a.stream.after = x.subjects(), x.events.lastID
	defer x.relay.inProgress.add(a, cancel)()
	if x.engine != nil {
		a.weights.assumed, a.weights.reportAge = x.lastKnownVersion(u)
		go a.endWithVersion(cancel)
	}
	res := a.roundTrip()
	res.silence = conn.SilentFor()
	x.lastSilence = res.silence
	if a.complete && !a.unframed {
		a.recordProof()
	}
	res.crashDecided = a.checkCrash(res)
	if !stop() || !res.final || !a.complete {
		conn.Close()
	} else {
		x.relay.cfg.Pool.Put(conn, a.idleTimeout)
	}
	tracked.End(a.outcome(res))
	res.duration, res.weights, res.answerBegun = time.Since(started), a.weights, !a.answerBegan.IsZero()
	res.upstream, res.rateLimit, res.successor = u, a.rateLimit, a.successor
	a.stream.unframed = a.unframed
	res.stream = a.stream
	a.recordIrregularities(errors.Is(res.cause, errMissingEvent))
	if errors.Is(res.cause, errVersionExpired) {
		x.lastFailure = "version expired"
	}
	if errors.Is(res.cause, errPoisoned) {
		x.lastFailure = "crashes upstreams"
	}
	if a.yielded {
		x.lastFailure = "the silent upstream goes on"
	}
	return res
}

// upstreamAttempt is one attempt on an open connection.
type upstreamAttempt struct {
	x *exchange
	// ctx ends with the request, or when the attempt has to end before it has begun (see endWithVersion).
	ctx      context.Context
	upstream *catalog.Upstream
	conn     *h1.Conn
	tracked  *placement.Attempt
	started  time.Time
	weights  weightsTrace
	stream   streamTrace
	// rateLimit is as in attemptResult.
	rateLimit float64
	// complete is set when the response has been read to its end.
	complete bool
	// counted is set when the attempt is among the possible runs of the request.
	counted bool
	// yielded is set when the attempt has ended because the silent one that it could take over from goes on.
	yielded bool
	// unframed is set when the response ends with the connection, without a length or chunked encoding, see isCut.
	unframed bool
	// bodyOverdue is set when the deadline of the request passed while its response was being read.
	bodyOverdue bool
	// serverError is set when the upstream itself responded with a status of 500 or above.
	serverError bool
	// subjects are those of the request, see exchange.subjects. proven is set once the upstream has survived the beginning of its answer.
	subjects []string
	proven   bool
	// answerBegan is when the head of a response to the request arrived, whether or not the request has run; zero before.
	answerBegan time.Time
	// previous is the silent attempt from which this one could take over when it fell silent itself, nil if there is none.
	previous *upstreamAttempt
	// successor is the result of the attempt that has taken over, nil if none has.
	successor *attemptResult
	// lastRead is when bytes of a stream last arrived, stalledSince when a new event did or a silence ended. Both begin with the stream.
	lastRead, stalledSince time.Time
	// begun is decided when the first event or the head of the response has arrived, or when the attempt is ended before that.
	begun beginning
	// idleTimeout is the time after which the upstream closes an idle connection, 0 if not given.
	idleTimeout time.Duration
}

// outcome returns the outcome of the attempt for the upstream's failure statistics.
func (a *upstreamAttempt) outcome(res attemptResult) placement.Outcome {
	switch {
	case context.Cause(a.ctx) != nil && !res.final && !a.bodyOverdue, errors.Is(res.cause, errUnavailable),
		errors.Is(res.cause, errRegionNotAllowed), errors.Is(res.cause, errEvacuated), errors.Is(res.cause, membudget.ErrExhausted),
		errors.Is(res.cause, errVersionExpired), a.yielded:
		return placement.Abandoned
	case res.final && !a.serverError:
		return placement.Succeeded
	case res.kind == declined:
		return placement.Declined
	default:
		return placement.Failed
	}
}

// roundTrip sends the request and forwards the response according to its type.
func (a *upstreamAttempt) roundTrip() attemptResult {
	x := a.x
	out := a.buildRequest()
	if err := a.checkUsable(); err != nil {
		x.giveBack(a.upstream)
		return attemptResult{kind: notSent, cause: err}
	}
	x.sends++
	sentAt := time.Now()
	a.conn.OnReadTimeout(a.awaitHead)
	defer a.conn.OnReadTimeout(nil)
	if x.silent != nil {
		defer x.silent.watch(a)() // It must not interrupt a connection that is back in the pool.
	}
	//nolint:bodyclose // Closing a body reads it to its end; the connection is closed or returned to the pool instead.
	resp, err := a.conn.Do(a.ctx, out, a.headTimeout(), func(resp *http.Response) bool {
		return x.ownsResponse(x.relay.cfg.Codec.ParseResponse(resp.StatusCode, resp.Header.Clone()))
	})
	if errors.Is(err, h1.ErrNotSent) {
		x.sends--
		x.giveBack(a.upstream)
		x.lastFailure = "not sent"
		return attemptResult{kind: notSent, cause: err}
	}
	if err != nil {
		a.countRun()
		x.lastFailure = "no answer"
		if context.Cause(a.ctx) == nil && !a.yielded {
			x.relay.availability.RecordResult(processOf(a.upstream), sentAt, false)
		}
		return attemptResult{kind: mayHaveRun, cause: err}
	}
	parsed := x.relay.cfg.Codec.ParseResponse(resp.StatusCode, resp.Header)
	a.answerBegan = time.Now()
	a.recordRateLimit(parsed)
	a.recordLoad(parsed)
	a.recordColdness(parsed)
	a.recordAvailability(parsed, resp.StatusCode, sentAt)
	a.idleTimeout, a.weights.served = parsed.IdleTimeout, parsed.Version
	if parsed.NotRun {
		return a.handleDeclined(resp, parsed)
	}
	a.countRun()
	a.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBytes)
	isStream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case x.responseStarted.hasBegun() && (!isStream || resp.StatusCode != http.StatusOK):
		x.lastFailure = "no stream to resume"
		return attemptResult{kind: mayHaveRun, status: resp.StatusCode,
			cause: errors.Newf("relay: response with status %d that does not continue the stream", resp.StatusCode)}
	case resp.StatusCode < 300 && !parsed.Signed:
		x.lastFailure = "unsigned answer"
		return attemptResult{kind: mayHaveRun, cause: errors.New("relay: successful response without an upstream signature"),
			status: resp.StatusCode}
	case resp.StatusCode >= 500 && !parsed.Signed:
		x.lastFailure = "unsigned failure"
		return attemptResult{kind: mayHaveRun, cause: errors.Newf("relay: response with status %d without an upstream signature",
			resp.StatusCode), status: resp.StatusCode}
	case isStream:
		return a.forwardStream(resp)
	default:
		return a.forwardResponse(resp)
	}
}

// checkUsable returns the reason for which the request must not be sent to the upstream any more, nil if there is none. The connection may
// have opened late.
func (a *upstreamAttempt) checkUsable() error {
	x := a.x
	switch {
	case x.relay.availability.Blocked(processOf(a.upstream)):
		delete(x.tried, a.upstream.ID) // It counts as an upstream that pauses or leaves.
		x.lastFailure = "upstream takes no requests"
		return errUnavailable
	case !a.mayBeSentTo():
		x.lastFailure = "region not allowed" // It stays among those tried, so that attempts end if the configuration changes again and again.
		return errRegionNotAllowed
	case x.isEvacuated(a.upstream):
		delete(x.tried, a.upstream.ID) // It counts as evacuated.
		x.lastFailure = "data centre evacuated"
		return errEvacuated
	case x.engine != nil && a.untilVersionEnds() <= 0:
		return errVersionExpired
	case !x.renewPermit(a.upstream):
		x.lastFailure = "upstream is cold"
		if !x.permitExpired {
			x.permitExpired = true
			delete(x.tried, a.upstream.ID) // It counts as a cold upstream without a permit. Once only, so that attempts end.
		}
		return errors.WithStack(errNoPermit)
	default:
		return nil
	}
}

// countRun counts the attempt among the possible runs of the request.
func (a *upstreamAttempt) countRun() {
	if !a.counted {
		a.counted = true
		a.x.possibleRuns++
	}
}

// ownsResponse reports whether a response belongs to the request. A refusal has to name the request: an upstream may write an earlier one
// once more, and a refusal is believed to state that this request has not run.
func (x *exchange) ownsResponse(parsed request.Response) bool {
	return parsed.ID == x.meta.ID || parsed.ID == "" && !parsed.NotRun
}

// fromOther reports whether another upstream responded, which has the address now.
func (a *upstreamAttempt) fromOther(parsed request.Response) bool {
	return parsed.Misdirected && parsed.Instance != "" && parsed.Instance != a.upstream.ID
}

// buildRequest returns the request to the upstream. Once a minimum version of the weights applies, the request names the version that
// the upstream was last known to hold, so that an upstream that holds another one refuses it.
func (a *upstreamAttempt) buildRequest() *h1.Request {
	x := a.x
	header := x.req.Header.Clone()
	out := request.UpstreamMetadata{Remaining: time.Until(x.deadline), Instance: a.upstream.ID, Customer: x.customer,
		Rank: x.upstreamRank(), LastEventID: x.events.lastID}
	if x.engine != nil && x.snapshot.MinVersion(x.meta.Model, time.Now(), x.relay.cfg.VersionApplyWindow-VersionMargin) > 0 {
		out.Version = a.weights.assumed
	}
	x.relay.cfg.Codec.PrepareUpstreamHeaders(header, out)
	return &h1.Request{Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Header: header, Body: x.body,
		HasBody: x.req.ContentLength != 0 || len(x.req.TransferEncoding) > 0}
}

// upstreamRank returns the scheduling rank at the upstream, from 0, the most urgent, to 8; see priorityLevels. A stream that has
// started gets rank 0, because its caller waits for the next event. A request whose caller had already waited longer than the latency
// target before sending it can no longer meet the target and gets the last rank of its customer priority: 2, 5 or 8.
func (x *exchange) upstreamRank() int {
	switch {
	case x.responseStarted.hasBegun():
		return 0
	case x.priorWait > x.route.LatencyTarget:
		return x.rank/priorityLevels*priorityLevels + priorityLevels - 1
	default:
		return x.rank
	}
}

// headTimeout returns the time after which a response is overdue, see awaitHead; 0 is unlimited.
func (a *upstreamAttempt) headTimeout() time.Duration {
	x := a.x
	if !x.route.MayRepeat() {
		return 0 // The request cannot be retried, so only its deadline bounds the wait.
	}
	if x.route.Kind == catalog.Stream {
		return firstEventTimeout
	}
	return max(time.Duration(headTimeoutFactor*float64(x.route.LatencyTarget)), dialTimeout)
}

// handleDeclined handles a response which states that the request has not run. It does not read the body, because the connection is
// not reused.
func (a *upstreamAttempt) handleDeclined(resp *http.Response, parsed request.Response) attemptResult {
	x := a.x
	x.lastFailure = "declined"
	switch {
	case a.fromOther(parsed):
		x.lastFailure = "wrong instance"
		x.relay.cfg.Tracker.MarkReplaced(a.upstream.ID, a.upstream.Sequence)
	case parsed.Misdirected:
		x.lastFailure = "wrong version"
		x.relay.cfg.Tracker.MarkSuspect(a.upstream.ID, wrongVersionSuspectTime)
	}
	return attemptResult{kind: declined, status: resp.StatusCode}
}

// wrongVersionSuspectTime is how long an upstream that turned out to hold another version is marked as suspect: what it last
// reported is outdated.
const wrongVersionSuspectTime = 400 * time.Millisecond
