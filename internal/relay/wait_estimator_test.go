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
	g.Expect(w.priorWait("order", time.Second)).To(BeZero(), "each class has its own typical timeout")
	for range 60 {
		w.priorWait("quote", 9*time.Second)
	}
	g.Expect(w.priorWait("quote", 9*time.Second)).To(BeZero(), "the new typical timeout has been adopted")
	g.Expect(w.priorWait("quote", 6*time.Second)).To(Equal(3 * time.Second))
}
