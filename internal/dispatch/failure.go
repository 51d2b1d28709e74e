package dispatch

import (
	"net/http"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
)

// defaultRetryAfter is told to callers when the reason is temporary and the peer gave no delay.
const defaultRetryAfter = time.Second

// failure converts the last result into a failing answer. outcome covers all attempts.
func failure(x *filter.Exchange, result Result, outcome message.Outcome) *filter.Failure {
	f := &filter.Failure{
		Status: status(result, outcome), Code: string(result.Reason), Outcome: outcome, RetryAfter: result.RetryAfter,
		Message: describe(outcome),
	}
	if f.Code == "" {
		f.Code = string(outcome)
	}
	if f.RetryAfter == 0 && temporary(x, result, outcome) {
		f.RetryAfter = defaultRetryAfter
	}
	return f
}

func status(result Result, outcome message.Outcome) int {
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

func temporary(x *filter.Exchange, result Result, outcome message.Outcome) bool {
	if result.Reason == message.ReasonKeyConflict {
		return false
	}
	// With a key it is safe to ask again for an outcome that is not known.
	return outcome == message.OutcomeNotRun || (outcome == message.OutcomeUnknown && x.OrderKey != "")
}

func describe(outcome message.Outcome) string {
	switch outcome {
	case message.OutcomeNotRun:
		return "the request was not run"
	case message.OutcomeFailed:
		return "the upstream ran the request and it failed"
	default:
		return "it is not known whether the request ran"
	}
}
