package relay

import (
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Reasons for which requests end without a complete answer, beside the codes of failures.
const (
	reasonCallerLeft = "caller-left"
	reasonUnread     = "unread"
	reasonPanic      = "panic"
)

// leaveUnanswered ends the request without a complete answer. It does not return, see callerconn.Abort.
func (x *exchange) leaveUnanswered(reason string) {
	begun := x.responseStarted.hasBegun()
	x.relay.cfg.Metrics.RecordUnanswered(reason, begun)
	values := []any{"request", x.meta.ID, "reason", reason, "begun", begun, "events", x.events.count, "sends", x.sends, "runs", x.possibleRuns,
		"after_ms", time.Since(x.received).Milliseconds(), "silent_ms", x.lastSilence.Milliseconds()}
	if x.snapshot != nil && x.snapshot.Index != nil {
		values = append(values, "config", x.snapshot.Index.Config.Version, "config_age_ms", time.Since(x.snapshot.ConfigAppliedAt).Milliseconds())
	}
	if until := x.relay.cfg.ServedUntil(); !until.IsZero() {
		values = append(values, "served_for_ms", time.Until(until).Milliseconds())
	}
	values = append(values, callerconn.LogValues(x.req.Context())...)
	x.relay.cfg.Log.Info("request ended without a complete answer", values...)
	callerconn.Abort(x.req, begun)
}

// answerPanic answers a request whose handler has panicked for another reason than to abort the response. net/http would close the
// connection without an answer. It is deferred.
func (x *exchange) answerPanic() {
	if !telemetry.LogPanic(x.relay.cfg.Log, recover(), "request", x.meta.ID, "sends", x.sends) {
		return
	}
	if x.sends > 0 {
		x.respondFailure(http.StatusBadGateway, reasonPanic, "unknown", 0)
		return
	}
	x.refuse(http.StatusServiceUnavailable, reasonPanic, declinedRetryAfter)
}
