package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against new requests that count as late, and against retries that count as new. If the wait were measured from the route's
// timeout, new requests would count as late once the operator had raised that timeout above the time that callers wait.
func TestPriorWaitIsMeasuredFromTypicalTimeout(t *testing.T) {
	g := NewWithT(t)
	var w waitEstimator
	for range 20 {
		g.Expect(w.priorWait("quote", 6*time.Second)).To(BeZero())
	}
	g.Expect(w.priorWait("quote", 4*time.Second)).To(Equal(2 * time.Second))
	g.Expect(w.priorWait("quote", time.Minute)).To(BeZero(), "a single caller with a longer timeout does not change the typical one")
	g.Expect(w.priorWait("quote", 6*time.Second)).To(BeZero())
	g.Expect(w.priorWait("quote", 0)).To(BeZero(), "no timeout given")
	g.Expect(w.priorWait("order", time.Second)).To(BeZero(), "each route has its own typical timeout")
	for range 60 {
		w.priorWait("quote", 9*time.Second)
	}
	g.Expect(w.priorWait("quote", 9*time.Second)).To(BeZero(), "the new typical timeout has been adopted")
	g.Expect(w.priorWait("quote", 6*time.Second)).To(Equal(3 * time.Second))
}

// Guards against callers that count as new although they come back: once over half of all requests were returns, whose timeouts are all
// different, the typical timeout was lost.
func TestPriorWaitWhileMostRequestsAreReturns(t *testing.T) {
	g := NewWithT(t)
	var w waitEstimator
	for i := range 400 {
		g.Expect(w.priorWait("draft", 6*time.Second)).To(BeZero())
		for range 2 {
			waited := 300*time.Millisecond + time.Duration(i*7919%1500)*time.Millisecond
			estimate := w.priorWait("draft", 6*time.Second-waited)
			if i >= minVotes {
				g.Expect(estimate).To(Equal(waited), "request %d", i)
			}
		}
	}
}

// Guards against new requests that count as returns because each caller has another timeout, so that none is typical.
func TestNoPriorWaitWithoutTypicalTimeout(t *testing.T) {
	g := NewWithT(t)
	var w waitEstimator
	for i := range 400 {
		g.Expect(w.priorWait("draft", 3*time.Second+time.Duration(i*7919%3000)*time.Millisecond)).To(BeZero(), "request %d", i)
	}
}
