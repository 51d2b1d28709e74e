package relay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against callers that come back after a refusal and count as new, and against new ones that count as returning because they give
// another timeout, which the users' callers do for each request.
func TestReturningCallersAreRecognised(t *testing.T) {
	g := NewWithT(t)
	e := engineEntry(t)
	refuse := func(id, wait, prompt string) message.Refusal {
		result := e.send(context.Background(), "/stream/1", func(req *http.Request) {
			req.Header.Set("Id", id)
			req.Header.Set("Wait", wait)
			req.Header.Set("Parts", prompt)
		})
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		pending := e.refusals.Pending()
		g.Expect(pending.Refusals).To(HaveLen(1))
		return pending.Refusals[0]
	}
	first := refuse("a", "2000", "shared,own")
	const pause = 60 * time.Millisecond
	time.Sleep(pause)
	second := refuse("b", "1900", "shared,own")
	g.Expect(second.Fingerprint).To(Equal(first.Fingerprint))
	g.Expect(second.WaitedMillis).To(BeNumerically(">=", pause.Milliseconds()))
	other := refuse("c", "1500", "shared,other")
	g.Expect(other.WaitedMillis).To(BeNumerically("<", pause.Milliseconds()))
}
