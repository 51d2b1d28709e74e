package dispatch

import (
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
)

// defaultRetryAfter is the retry delay returned to callers when suggestsRetry holds and the peer gave no delay, and to entries
// whose forwarded attempt is refused because of maxForwarded.
const defaultRetryAfter = time.Second

// newFailure converts the result of the last attempt into a failure response. outcome is the combined outcome of all attempts.
func newFailure(x *filter.Exchange, result Result, outcome message.Outcome) *filter.Failure {
	f := &filter.Failure{
		Status: httpStatus(result, outcome), Code: string(result.Reason), Outcome: outcome, RetryAfter: result.RetryAfter,
		Message: outcomeMessage(outcome),
	}
	if f.Code == "" {
		f.Code = string(outcome)
	}
	if f.RetryAfter == 0 && suggestsRetry(x, result, outcome) {
		f.RetryAfter = defaultRetryAfter
	}
	return f
}

func httpStatus(result Result, outcome message.Outcome) int {
	switch result.Reason {
	case message.ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case message.ReasonKeyPending:
		return http.StatusConflict
	case message.ReasonTimeout:
		return http.StatusGatewayTimeout
	case message.ReasonQuarantined:
		return http.StatusServiceUnavailable
	}
	if outcome == message.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// suggestsRetry reports whether the caller is told to retry although the peer gave no delay: the request was not run, or its outcome
// is unknown and it has an idempotency key. A retry with a conflicting key would be refused again.
func suggestsRetry(x *filter.Exchange, result Result, outcome message.Outcome) bool {
	if result.Reason == message.ReasonKeyConflict {
		return false
	}
	// The idempotency key makes a retry after an unknown outcome safe.
	return outcome == message.OutcomeNotRun || (outcome == message.OutcomeUnknown && x.IdempotencyKey != "")
}

func outcomeMessage(outcome message.Outcome) string {
	switch outcome {
	case message.OutcomeNotRun:
		return "the request was not run"
	case message.OutcomeFailed:
		return "the upstream ran the request and it failed"
	default:
		return "it is not known whether the request ran"
	}
}
