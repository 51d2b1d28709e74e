package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against new requests that count as late, for example after the operator has raised a route's timeout above the time
// that callers wait, and against returning callers that count as new.
func TestPriorWaitIsMeasuredFromTypicalDeadline(t *testing.T) {
	g := NewWithT(t)
	var w waitEstimator
	for range 20 {
		g.Expect(w.priorWait("quote", 6*time.Second)).To(BeZero())
	}
	g.Expect(w.priorWait("quote", 4*time.Second)).To(Equal(2 * time.Second))
	g.Expect(w.priorWait("quote", time.Minute)).To(BeZero(), "a single caller with a longer deadline does not change the typical one")
	g.Expect(w.priorWait("quote", 6*time.Second)).To(BeZero())
	g.Expect(w.priorWait("quote", 0)).To(BeZero(), "no deadline given")
	g.Expect(w.priorWait("order", time.Second)).To(BeZero(), "each class has its own typical deadline")
	for range 60 {
		w.priorWait("quote", 9*time.Second)
	}
	g.Expect(w.priorWait("quote", 9*time.Second)).To(BeZero(), "the new typical deadline has been adopted")
	g.Expect(w.priorWait("quote", 6*time.Second)).To(Equal(3 * time.Second))
}
