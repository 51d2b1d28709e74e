package retry

import "github.com/pimentohead/pimentohead/internal/message"

// History combines the outcomes of the attempts of one request. The zero value is ready to use.
//
// Invariant: an attempt that may have run is never forgotten, so that a later rejection does not turn the outcome of the request
// into not-run.
type History struct {
	// ran is set when an attempt has run.
	ran bool
	// unknown is set when it is unknown whether an attempt has run.
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

// Outcome returns the outcome that the caller gets for a request that did not succeed. It is not-run only if no attempt can have run.
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
