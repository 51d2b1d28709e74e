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
		prompt := fmt.Sprint(strings.Join(x.meta.PromptParts, ","), " ", x.meta.PromptTokens, " ", x.meta.MaxAnswerTokens, " ",
			x.meta.LastEventID)
		x.fingerprintValue = refusal.Fingerprint([]byte(x.customer), []byte(x.req.Method+" "+x.req.Host+x.req.RequestURI),
			[]byte(prompt), x.body)
	}
	return x.fingerprintValue
}
