package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that count as late although they are new, such as after the operator has raised a route's limit over the time
// that callers wait, and against returning callers that count as new.
func TestWaitedIsCountedFromTheUsualPatience(t *testing.T) {
	g := NewWithT(t)
	var p patience
	for range 20 {
		g.Expect(p.waited("quote", 6*time.Second)).To(BeZero())
	}
	g.Expect(p.waited("quote", 4*time.Second)).To(Equal(2 * time.Second))
	g.Expect(p.waited("quote", time.Minute)).To(BeZero(), "one patient caller proves nothing")
	g.Expect(p.waited("quote", 6*time.Second)).To(BeZero())
	g.Expect(p.waited("quote", 0)).To(BeZero(), "a caller that does not say")
	g.Expect(p.waited("order", time.Second)).To(BeZero(), "kinds differ")
	for range 60 {
		p.waited("quote", 9*time.Second)
	}
	g.Expect(p.waited("quote", 9*time.Second)).To(BeZero(), "callers have changed")
	g.Expect(p.waited("quote", 6*time.Second)).To(Equal(3 * time.Second))
}
