package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/callerconn"
	"github.com/pimentohead/pimentohead/internal/filter"
)

// Reasons for which requests end without a complete answer, beside those of results.
const (
	reasonCallerLeft = "caller-left"
	// reasonUnread means that the caller did not read the response in time, or that its connection failed.
	reasonUnread = "unread"
)

// leaveUnanswered ends a request without a complete answer, err being the error of the filter chain. It does not return,
// see callerconn.Abort.
func (e *Entry) leaveUnanswered(x *filter.Exchange, err error) {
	reason := unansweredReason(x, err)
	e.metrics.recordUnanswered(reason, x.Begun)
	values := []any{"request", x.ID, "reason", reason, "begun", x.Begun, "attempts", x.Attempts,
		"after_ms", time.Since(x.Start).Milliseconds(), "leaving", e.leaving.Load(), "shutdown_timeout", e.shutdown.Err() != nil}
	if !x.LastReceived.IsZero() {
		values = append(values, "silent_ms", time.Since(x.LastReceived).Milliseconds())
	}
	if x.Active != nil {
		values = append(values, "config", x.Active.Envelope.Revision, "config_in_force", e.holder.Revision())
	}
	e.log.Info("request ended without a complete answer", append(values, callerconn.LogValues(x.Request.Context())...)...)
	callerconn.Abort(x.Request, x.Begun)
}

func unansweredReason(x *filter.Exchange, err error) string {
	switch {
	case errors.Is(err, filter.ErrAborted):
		return x.AbortReason
	case x.Request.Context().Err() != nil:
		return reasonCallerLeft
	default:
		return reasonUnread
	}
}
