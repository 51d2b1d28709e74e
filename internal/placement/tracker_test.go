package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// clock is a clock that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// Pattern: an upstream fails part of its requests while its health is good.
func TestRepeatedFailuresMakeSuspect(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	tr := placement.NewTracker(c.now)
	tr.Begin("a", 0, 10).End(placement.Failed)
	g.Expect(tr.IsSuspect("a")).To(BeFalse(), "one failure may be the request's")
	tr.Begin("a", 0, 10).End(placement.Failed)
	g.Expect(tr.IsSuspect("a")).To(BeTrue())
	c.at = c.at.Add(10 * time.Second)
	g.Expect(tr.IsSuspect("a")).To(BeFalse(), "it gets another chance")
	for i := range 20 {
		o := placement.Succeeded
		if i%2 == 0 {
			o = placement.Failed
		}
		tr.Begin("b", 0, 10).End(o)
	}
	g.Expect(tr.IsSuspect("b")).To(BeTrue(), "every second request fails")
}

// Guards against callers that leave, and refusals for lack of room, being held against an upstream.
func TestAbandonedAndDeclinedAttemptsAreNoFailures(t *testing.T) {
	g := NewWithT(t)
	tr := placement.NewTracker(newClock().now)
	for range 20 {
		tr.Begin("a", 0, 10).End(placement.Abandoned)
		tr.Begin("a", 0, 10).End(placement.Declined)
	}
	g.Expect(tr.IsSuspect("a")).To(BeFalse())
}

// Pattern: after a loss of power servers start again under other IDs at the same addresses, and the list shows the old ones for
// seconds.
func TestReplacedUpstreamIsLeftOutUntilItAnnouncesItself(t *testing.T) {
	g := NewWithT(t)
	tr := placement.NewTracker(newClock().now)
	tr.MarkReplaced("a", 7)
	g.Expect(tr.IsReplaced("a", 7)).To(BeTrue())
	g.Expect(tr.IsReplaced("a", 6)).To(BeTrue(), "an older announcement proves nothing")
	g.Expect(tr.IsReplaced("a", 8)).To(BeFalse())
	g.Expect(tr.IsReplaced("b", 1)).To(BeFalse())
}

// Pattern: a machine stands still. Its upstream is left out as soon as neither reports nor events come, not only when requests fail.
func TestHeardAge(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	tr := placement.NewTracker(c.now)
	g.Expect(tr.TimeSinceActivity("a")).To(BeNumerically(">", time.Minute))
	a := tr.Begin("a", 0, 10)
	a.RecordActivity()
	c.at = c.at.Add(300 * time.Millisecond)
	g.Expect(tr.TimeSinceActivity("a")).To(Equal(300 * time.Millisecond))
}

// Guards against own requests that are counted twice or not at all beside a report.
func TestFillAndExportCountOwnWork(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	tr := placement.NewTracker(c.now)
	old := tr.Begin("a", 1, 100)
	old.RecordStart()
	c.at = c.at.Add(time.Second)
	reported := c.at
	c.at = c.at.Add(50 * time.Millisecond)
	tr.Begin("a", 0, 200)
	tr.Begin("a", 8, 300)
	var w placement.Work
	tr.AddOwnWork(&w, "a", 4, reported)
	g.Expect(w.OwnRunning).To(Equal(3))
	g.Expect(w.OwnWaiting).To(Equal(2))
	g.Expect(w.OwnTokens).To(Equal(500.0))
	g.Expect(w.SentSinceReport).To(Equal(2))
	g.Expect(w.AheadShare).To(And(BeNumerically(">", 0.3), BeNumerically("<", 0.9)))
	out := tr.Export()
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Running).To(Equal(3))
	g.Expect(out[0].Tokens).To(Equal(500))
	old.End(placement.Succeeded)
	old.End(placement.Failed)
	g.Expect(tr.Export()[0].Running).To(Equal(2), "the second end does not count")
}
