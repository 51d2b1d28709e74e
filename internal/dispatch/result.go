// Package dispatch runs requests on upstreams over links. It sends attempts, matches responses to them, determines the outcome of
// attempts whose link was lost, retries, and serves requests that other entries forward.
package dispatch

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Reasons that the entry itself determines.
const (
	// ReasonIncomplete means that a response had a gap or the wrong length.
	ReasonIncomplete message.Reason = "incomplete-answer"
	// ReasonLinkLost means that the link was lost and the full response or its outcome could not be recovered.
	ReasonLinkLost message.Reason = "link-lost"
	// ReasonProtocol means that the peer violated the response protocol.
	ReasonProtocol message.Reason = "protocol-error"
)

// Result is the result of one attempt.
type Result struct {
	// Outcome is OutcomeOK when the response is complete.
	Outcome message.Outcome
	// Reason explains an outcome other than OutcomeOK. It may be empty.
	Reason message.Reason
	// RetryAfter is the delay after which the request may be sent again; 0 when none is known.
	RetryAfter time.Duration
	// Rejected is set when the peer sent a Reject. The outcome may still be unknown, as for a request whose idempotency key is
	// pending.
	Rejected bool
	// UpstreamIncarnation identifies the upstream process that crashed. It is set with ReasonUpstreamCrash.
	UpstreamIncarnation uint64
	// BesideSuspect is set with ReasonUpstreamCrash when a suspect request was running on the upstream and this request was not
	// suspect.
	BesideSuspect bool
}

// rejectResult converts a Reject into a result.
func rejectResult(m *message.Reject) Result {
	outcome := message.OutcomeNotRun
	if m.Reason == message.ReasonKeyPending {
		// The attempt was not run, but the earlier request that holds the key may have been.
		outcome = message.OutcomeUnknown
	}
	return Result{Outcome: outcome, Reason: m.Reason, RetryAfter: millis(m.RetryAfterMillis), Rejected: true}
}

// endResult converts a ResponseEnd into a result. It checks the reported outcome against the part of the response that arrived.
func endResult(m *message.ResponseEnd, responseStarted bool, receivedBytes int64) Result {
	result := Result{
		Outcome: m.Outcome, Reason: m.Reason, RetryAfter: millis(m.RetryAfterMillis), UpstreamIncarnation: m.UpstreamIncarnation,
		BesideSuspect: m.BesideSuspect,
	}
	switch m.Outcome {
	case message.OutcomeOK:
		if !responseStarted || receivedBytes != m.Length {
			return Result{Outcome: message.OutcomeUnknown, Reason: ReasonIncomplete}
		}
	case message.OutcomeNotRun:
		if responseStarted {
			result.Outcome = message.OutcomeUnknown
		}
	case message.OutcomeFailed:
	default:
		result.Outcome = message.OutcomeUnknown
	}
	return result
}

// millis returns n milliseconds as a Duration, or 0 if n is negative.
func millis(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }
