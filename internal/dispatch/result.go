// Package dispatch runs requests on upstreams over links: it sends attempts, matches their answers, finds out the outcome of
// attempts whose link was lost, retries, and serves requests that other entries forward.
package dispatch

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Reasons that arise at the entry.
const (
	// ReasonIncomplete means that an answer had a gap or a wrong length.
	ReasonIncomplete message.Reason = "incomplete-answer"
	// ReasonLinkLost means that the link was lost and the outcome could not be found out.
	ReasonLinkLost message.Reason = "link-lost"
	// ReasonProtocol means that the peer broke the protocol of answers.
	ReasonProtocol message.Reason = "protocol-error"
)

// Result is the end of one attempt.
type Result struct {
	// Outcome is OutcomeOK when the answer is whole.
	Outcome    message.Outcome
	Reason     message.Reason
	RetryAfter time.Duration
	// Rejected tells that the peer said so with Reject. The outcome may still be unknown, as for an order whose key is pending.
	Rejected bool
	// UpstreamIncarnation is set with ReasonUpstreamCrash.
	UpstreamIncarnation uint64
	// BesideSuspect is set with ReasonUpstreamCrash when a suspect ran on the upstream and this request was none.
	BesideSuspect bool
}

func rejected(m *message.Reject) Result {
	outcome := message.OutcomeNotRun
	if m.Reason == message.ReasonKeyPending {
		// The attempt was not run, but the order that claimed the key before may have been.
		outcome = message.OutcomeUnknown
	}
	return Result{Outcome: outcome, Reason: m.Reason, RetryAfter: millis(m.RetryAfterMillis), Rejected: true}
}

func ended(m *message.ResponseEnd, started bool, received int64) Result {
	result := Result{
		Outcome: m.Outcome, Reason: m.Reason, RetryAfter: millis(m.RetryAfterMillis), UpstreamIncarnation: m.UpstreamIncarnation,
		BesideSuspect: m.BesideSuspect,
	}
	switch m.Outcome {
	case message.OutcomeOK:
		if !started || received != m.Length {
			return Result{Outcome: message.OutcomeUnknown, Reason: ReasonIncomplete}
		}
	case message.OutcomeNotRun:
		if started {
			result.Outcome = message.OutcomeUnknown
		}
	case message.OutcomeFailed:
	default:
		result.Outcome = message.OutcomeUnknown
	}
	return result
}

func millis(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }
