package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// failureBody is the body of a refusal or failure of the system's own.
type failureBody struct {
	Error struct {
		Code string `json:"code"`
		// Outcome is "not-run", or "unknown" if the request may have run.
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id,omitempty"`
	} `json:"error"`
}

// refuse answers a request that has not run and will not.
func (x *exchange) refuse(status int, code string, retryAfter time.Duration) {
	x.end(status, code, "not-run", retryAfter)
}

// end sends a final answer of the system's own, or breaks off an answer that has begun.
func (x *exchange) end(status int, code, outcome string, retryAfter time.Duration) {
	x.r.cfg.Log.Info("request ended without an upstream's answer", "request", x.meta.ID, "status", status, "reason", code,
		"outcome", outcome, "retry_after_ms", retryAfter.Milliseconds(), "after_ms", time.Since(x.received).Milliseconds(),
		"rank", x.rank, "service", x.service, "sends", x.sends, "runs", x.runs, "begun", x.begun, "last", x.last,
		"left_ms", time.Until(x.until).Milliseconds(), "predicted_ms", x.decision.Predicted.Milliseconds(),
		"running", x.decision.Work.Running, "waiting", x.decision.Work.Waiting)
	x.done(code, status)
	if x.begun {
		panic(http.ErrAbortHandler) // An answer that ends early must not look complete.
	}
	var body failureBody
	body.Error.Code, body.Error.Outcome, body.Error.RequestID = code, outcome, x.meta.ID
	text, err := json.Marshal(body)
	if err != nil {
		x.r.cfg.Log.Error(err, "answer could not be encoded", "request", x.meta.ID)
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	x.r.cfg.Codec.Refuse(h, x.meta.ID, retryAfter)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(text)
}

// giveUp answers a request for which no upstream was found.
func (x *exchange) giveUp(d placement.Decision) {
	code := string(d.Reason)
	if x.runs > 0 || x.begun {
		x.end(http.StatusBadGateway, code, "unknown", 0)
		return
	}
	x.decision = d
	retryAfter := min(d.RetryAfter, time.Until(x.until)/3)
	x.refuse(http.StatusServiceUnavailable, code, retryAfter)
}

// fail answers a request whose last attempt may not be repeated.
func (x *exchange) fail(res result) {
	switch {
	case x.runs > 0:
		x.end(http.StatusBadGateway, "upstream-failed", "unknown", 0)
	case res.kind == declined:
		x.refuse(http.StatusServiceUnavailable, "upstreams-declined", declinedRetryAfter)
	default:
		x.refuse(http.StatusServiceUnavailable, "upstreams-unreachable", declinedRetryAfter)
	}
}

// declinedRetryAfter is when a caller should return after upstreams had no room or could not be reached.
const declinedRetryAfter = 500 * time.Millisecond

// expired ends a request whose caller has left or whose time is used up.
func (x *exchange) expired(cause error) {
	if errors.Is(cause, errTimeout) {
		if x.runs > 0 || x.sends > 0 {
			x.end(http.StatusGatewayTimeout, "timeout", "unknown", 0)
		} else {
			x.refuse(http.StatusServiceUnavailable, "timeout", declinedRetryAfter)
		}
		return
	}
	x.r.cfg.Log.Info("caller left", "request", x.meta.ID, "after_ms", time.Since(x.received).Milliseconds(), "sends", x.sends,
		"last", x.last)
	x.done("caller-left", 0)
	panic(http.ErrAbortHandler)
}

// done counts the outcome.
func (x *exchange) done(outcome string, status int) {
	kind := "unknown"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	if x.engine != nil && outcome != "caller-left" {
		served := status > 0 && status < http.StatusMultipleChoices
		x.r.cfg.Floors.Record(x.kind(), served, served && x.firstEvent+x.waited <= x.route.LatencyTarget)
	}
	x.r.cfg.Metrics.Done(kind, x.rank, outcome, status, time.Since(x.received))
}
