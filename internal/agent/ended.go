package agent

import (
	"crypto/sha256"
	"strconv"

	"github.com/pimentohead/pimentohead/internal/message"
)

// endedKey identifies an ended attempt by 128 bits of a cryptographic hash of its ID. These do not collide in practice, and take
// a fraction of the memory of the IDs.
type endedKey [16]byte

func newEndedKey(id message.Attempt) endedKey {
	var buffer [96]byte
	text := strconv.AppendInt(buffer[:0], int64(id.Number), 10)
	text = append(append(text, ' '), id.RequestID...)
	sum := sha256.Sum256(text)
	return endedKey(sum[:16])
}

// endedCode encodes how an attempt ended: endedRevoked, or 1 plus the index of its outcome in endedOutcomes.
type endedCode uint8

const endedRevoked endedCode = 0

// endedOutcomes are the outcomes that a code can represent. Unknown is the first: newEndedCode falls back to code 1.
var endedOutcomes = [...]message.Outcome{
	message.OutcomeUnknown, message.OutcomeOK, message.OutcomeFailed, message.OutcomeNotRun,
}

// newEndedCode returns the code of an ended attempt. An outcome that is not in endedOutcomes becomes unknown.
func newEndedCode(state attemptState, outcome message.Outcome) endedCode {
	if state == attemptRevoked {
		return endedRevoked
	}
	for i, o := range endedOutcomes {
		if o == outcome {
			return endedCode(i + 1)
		}
	}
	return 1
}

func (c endedCode) decode() (attemptState, message.Outcome) {
	if c == endedRevoked {
		return attemptRevoked, ""
	}
	return attemptDone, endedOutcomes[c-1]
}
