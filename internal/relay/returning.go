package relay

import (
	"fmt"
	"strings"

	"github.com/pimentohead/pimentohead/internal/refusal"
)

// recognise finds out whether the caller comes back after a refusal, here or at another entry of the data centre. It is limited to requests
// for models, whose prompts tell them apart.
func (x *exchange) recognise() {
	if x.engine != nil {
		x.priorWait, x.returning = x.relay.cfg.Refusals.Take(x.fingerprint())
	}
}

// fingerprint identifies the request by what a retry of its caller repeats. The request ID is not among it: each retry has a new one.
func (x *exchange) fingerprint() uint64 {
	if x.fingerprintValue == 0 {
		x.fingerprintValue = refusal.Fingerprint([]byte(x.customer), []byte(x.target()), []byte(x.promptKey()), x.body)
	}
	return x.fingerprintValue
}

// target returns the method, host and URI of the request.
func (x *exchange) target() string { return x.req.Method + " " + x.req.Host + x.req.RequestURI }

// promptKey identifies the prompt and the length of its answer, which the body need not do: a prompt may be given by its parts alone.
func (x *exchange) promptKey() string {
	return fmt.Sprint(strings.Join(x.meta.PromptParts, ","), " ", x.meta.PromptTokens, " ", x.meta.MaxAnswerTokens)
}
