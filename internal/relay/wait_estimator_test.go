package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against new requests that count as late, as they would with a wait measured from the route's timeout after the operator has
// raised it above the time that callers wait, and against retrying callers that count as new.
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
