package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// failureBody is the body of a refusal or failure that the entry itself generates.
type failureBody struct {
	Error struct {
		Code string `json:"code"`
		// Outcome is "not-run", or "unknown" if the request may have run.
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id,omitempty"`
	} `json:"error"`
}

// refuse responds to a request that has not run and will not run. code is the reason in the body, in logs and in metrics.
func (x *exchange) refuse(status int, code string, retryAfter time.Duration) {
	x.respondFailure(status, code, "not-run", retryAfter)
}

// respondFailure sends a final response that the entry itself generates, or aborts a response that has already started.
// outcome is the Outcome of failureBody.
func (x *exchange) respondFailure(status int, code, outcome string, retryAfter time.Duration) {
	values := []any{"request", x.meta.ID, "status", status, "reason", code,
		"outcome", outcome, "retry_after_ms", retryAfter.Milliseconds(), "after_ms", time.Since(x.received).Milliseconds(),
		"waited_before_ms", x.priorWait.Milliseconds(), "rank", x.rank, "service", x.service,
		"prompt_parts", strings.Join(x.meta.PromptParts, ","), "sends", x.sends, "runs", x.possibleRuns,
		"begun", x.responseStarted.hasBegun(), "last", x.lastFailure,
		"left_ms", time.Until(x.deadline).Milliseconds(), "predicted_ms", x.decision.PredictedWait.Milliseconds(),
		"running", x.decision.Work.Running, "waiting", x.decision.Work.Waiting}
	values = append(values, x.regionValues(nil)...)
	values = append(values, latenessValues(x.decision.Lateness)...)
	x.relay.cfg.Log.Info("request ended without an upstream response", values...)
	x.recordOutcome(code, status)
	if x.engine != nil && status == http.StatusServiceUnavailable {
		x.relay.cfg.Refusals.Record(x.fingerprint(), time.Since(x.received)+x.priorWait)
	}
	if x.responseStarted.hasBegun() {
		x.leaveUnanswered(code) // A truncated response must not look complete.
	}
	var body failureBody
	body.Error.Code, body.Error.Outcome, body.Error.RequestID = code, outcome, x.meta.ID
	text, err := json.Marshal(body)
	if err != nil {
		x.relay.cfg.Log.Error(err, "response could not be encoded", "request", x.meta.ID)
	}
	x.discardBody()
	x.limitWrites(time.Now())
	x.setConnectionHeaders()
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	x.relay.cfg.Codec.SetRefusalHeaders(h, x.meta.ID, retryAfter)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(text)
}

const (
	// maxDiscardedBody bounds the rest of a body that is read before a refusal, in bytes, and discardTime the time for it.
	maxDiscardedBody = defaultMaxBody
	discardTime      = 5 * time.Second
)

// discardBody reads the rest of the body of a request that is refused. net/http closes the connection of a caller that still sends a long
// one, which may fail to send then instead of reading the response. A caller that expects to be told to send a body has not sent it.
func (x *exchange) discardBody() {
	if x.body != nil || x.req.Header.Get("Expect") != "" {
		return
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, x.req.Body, maxDiscardedBody)
	_ = controller.SetReadDeadline(time.Time{})
}

// setConnectionHeaders tells the caller how long its connection stays open after this response: not at all if the process is shutting down,
// otherwise for the idle limit in force, which callerconn keeps to after a change. It is called before the head of the response is sent.
func (x *exchange) setConnectionHeaders() {
	h := x.w.Header()
	if !x.relay.cfg.ServedUntil().IsZero() {
		h.Set("Connection", "close")
		return
	}
	if x.snapshot.Index == nil {
		return
	}
	limit := min(x.snapshot.Index.Config.Limits.IdleTimeout, callerconn.MaxIdleHold)
	if seconds := int(limit / time.Second); seconds > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// failPlacement responds to a request for which no upstream was selected.
func (x *exchange) failPlacement(d placement.Decision) {
	code := string(d.Reason)
	if d.Reason == noAllowedRegion {
		x.relay.cfg.Metrics.RecordRegionExclusion(stagePlacement, string(x.exclusion))
	}
	if x.possibleRuns > 0 || x.responseStarted.hasBegun() {
		x.respondFailure(http.StatusBadGateway, code, "unknown", 0)
		return
	}
	x.decision = d
	retryAfter := min(d.RetryAfter, time.Until(x.deadline)/3) // Before a retry, a caller waits at most a third of its timeout.
	x.refuse(http.StatusServiceUnavailable, code, retryAfter)
}

// failAttempt responds to a request whose last attempt may not be retried.
func (x *exchange) failAttempt(res attemptResult) {
	switch {
	case x.possibleRuns > 0:
		x.respondFailure(http.StatusBadGateway, "upstream-failed", "unknown", 0)
	case res.kind == declined:
		x.refuse(http.StatusServiceUnavailable, "upstreams-declined", x.retryAfterDeclined())
	default:
		x.refuse(http.StatusServiceUnavailable, "upstreams-unreachable", declinedRetryAfter)
	}
}

// retryAfterDeclined returns the Retry-After sent when upstreams have declined the request: until one of them takes requests again, if all
// pause.
func (x *exchange) retryAfterDeclined() time.Duration {
	list, out := x.candidates(time.Now())
	if len(list) > 0 || out.reason != upstreamsPause {
		return declinedRetryAfter
	}
	d := out.refusal(placement.Decision{Reason: placement.NoUpstream, RetryAfter: declinedRetryAfter})
	return min(max(d.RetryAfter, declinedRetryAfter), time.Until(x.deadline)/3)
}

// declinedRetryAfter is the Retry-After sent when upstreams were full or unreachable, or when the deadline passed before any
// attempt reached an upstream.
const declinedRetryAfter = 500 * time.Millisecond

// endCancelled ends a request whose caller has disconnected, whose deadline has passed or that the process cannot finish.
func (x *exchange) endCancelled(cause error) {
	if errors.Is(cause, errShutdown) {
		x.endForShutdown()
		return
	}
	x.relay.durations.extend(x.trafficClass(), time.Since(x.received))
	if errors.Is(cause, errTimeout) {
		if x.possibleRuns > 0 || x.sends > 0 {
			x.respondFailure(http.StatusGatewayTimeout, "timeout", "unknown", 0)
		} else {
			x.refuse(http.StatusServiceUnavailable, "timeout", declinedRetryAfter)
		}
		return
	}
	x.relay.cfg.Log.Info("caller disconnected", "request", x.meta.ID, "after_ms", time.Since(x.received).Milliseconds(), "sends", x.sends,
		"last", x.lastFailure)
	x.recordOutcome(reasonCallerLeft, 0)
	x.leaveUnanswered(reasonCallerLeft)
}

// recordOutcome records the outcome of the request in the metrics. It also records the outcome of a request to a model service in the
// priority limiter, unless the caller has disconnected or the request is one that crashes upstreams: nobody misses its answer. status is 0
// if no response was sent.
func (x *exchange) recordOutcome(outcome string, status int) {
	kind := "unknown"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	if x.engine != nil && outcome != reasonCallerLeft && outcome != string(crashesUpstreams) {
		served := status > 0 && status < http.StatusMultipleChoices
		x.relay.cfg.PriorityLimiter.Record(x.trafficClass(), placement.Finished{Returning: x.returning, Served: served,
			InTime: served && x.timeToFirstEvent+x.priorWait <= x.route.LatencyTarget})
	}
	x.relay.cfg.Metrics.RecordOutcome(kind, x.rank, outcome, status, time.Since(x.received))
}
