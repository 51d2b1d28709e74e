package agent

import (
	"crypto/sha256"
	"strconv"

	"github.com/pimentohead/pimentohead/internal/message"
)

// endedKey identifies an attempt that ended. 128 bits of a cryptographic hash do not collide in practice, and take a fraction
// of the memory of the identifiers.
type endedKey [16]byte

func keyOf(id message.Attempt) endedKey {
	var buffer [96]byte
	text := strconv.AppendInt(buffer[:0], int64(id.Number), 10)
	text = append(append(text, ' '), id.RequestID...)
	sum := sha256.Sum256(text)
	return endedKey(sum[:16])
}

// endedCode is what is remembered of an attempt that ended: that it was revoked, or its outcome.
type endedCode uint8

const endedRevoked endedCode = 0

// endedOutcomes are the outcomes of codes from 1.
var endedOutcomes = [...]message.Outcome{
	message.OutcomeUnknown, message.OutcomeOK, message.OutcomeFailed, message.OutcomeNotRun,
}

// codeOf returns the code of an attempt that ended. An outcome without a code is remembered as unknown.
func codeOf(state attemptState, outcome message.Outcome) endedCode {
	if state == attemptRevoked {
		return endedRevoked
	}
	for i, known := range endedOutcomes {
		if known == outcome {
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
