package retry

import "github.com/pimentohead/pimentohead/internal/message"

// History keeps what is known about the earlier attempts of one request. The zero value is ready to use.
//
// Invariant: an attempt that may have run is never forgotten, so that a later rejection does not turn the request into one
// that was not run.
type History struct {
	ran     bool
	unknown bool
}

// Add records the outcome of an attempt.
func (h *History) Add(outcome message.Outcome) {
	switch outcome {
	case message.OutcomeNotRun:
	case message.OutcomeFailed, message.OutcomeOK:
		h.ran = true
	default:
		h.unknown = true
	}
}

// Outcome returns what a caller may be told about the whole request: not-run only when no attempt can have run.
func (h *History) Outcome() message.Outcome {
	switch {
	case h.unknown:
		return message.OutcomeUnknown
	case h.ran:
		return message.OutcomeFailed
	default:
		return message.OutcomeNotRun
	}
}
