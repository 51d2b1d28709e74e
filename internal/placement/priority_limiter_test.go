package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// Pattern: a burst of the least urgent kind, whose target is long, fills all slots, and urgent kinds with short targets are refused.
// Trace: 33 of 100 urgent requests in time, 61 of 100 of the least urgent ones.
func TestLeastUrgentKindLeavesRoom(t *testing.T) {
	g := NewWithT(t)
	f := placement.NewPriorityLimiter(newClock().now)
	press(f)
	busy := []placement.Candidate{{Upstream: up("busy"), Local: true, Work: reported(16, 1)}}
	drafts := query(time.Second)
	g.Expect(placement.Choose(drafts, busy).Upstream).NotTo(BeNil(), "its own target would allow it")
	drafts.MaxWait = f.MaxWait("drafts", 2, 400*time.Millisecond)
	g.Expect(placement.Choose(drafts, busy).Upstream).To(BeNil())
	drafts.MaxWait = f.MaxWait("drafts", 2, 400*time.Millisecond)
	free := []placement.Candidate{{Upstream: up("free"), Local: true, Work: reported(11, 0)}}
	g.Expect(placement.Choose(drafts, free).Upstream).NotTo(BeNil())
	g.Expect(f.MaxWait("quotes", 0, 400*time.Millisecond)).To(BeZero(), "the most urgent kind has only its own target")
	g.Expect(f.MaxWait("answers", 1, 400*time.Millisecond)).To(BeNumerically(">", drafts.MaxWait))
}

// press makes other kinds miss their targets.
func press(f *placement.PriorityLimiter) {
	for range 10 {
		f.Record("quotes", true, false)
	}
}

// Pattern: one data centre is busier than others. As long as urgent requests keep their target, nothing is refused for them. Trace: 286
// of 2,494 requests of the busiest data centre were refused in calm hours, 60 of the others.
func TestNothingIsRefusedForKindsThatAreInTime(t *testing.T) {
	g := NewWithT(t)
	f := placement.NewPriorityLimiter(newClock().now)
	for range 10 {
		f.Record("quotes", true, true)
	}
	g.Expect(f.MaxWait("drafts", 2, 400*time.Millisecond)).To(BeZero())
}

// Guards against a kind that is shut out for as long as the load lasts.
func TestStarvedKindGetsItsFloor(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	f := placement.NewPriorityLimiter(c.now)
	for range 20 {
		f.Record("quotes", true, false)
		f.Record("drafts", false, false)
	}
	g.Expect(f.MaxWait("drafts", 2, 400*time.Millisecond)).To(BeZero())
	for range 60 {
		f.Record("drafts", true, true)
	}
	g.Expect(f.MaxWait("drafts", 2, 400*time.Millisecond)).NotTo(BeZero())
	for range 200 {
		f.Record("drafts", false, false)
	}
	c.at = c.at.Add(time.Minute)
	press(f)
	g.Expect(f.MaxWait("drafts", 2, 400*time.Millisecond)).NotTo(BeZero(), "what was long ago does not count")
}

// Guards against long prompts being refused more often than short ones.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	g := NewWithT(t)
	f := placement.NewPriorityLimiter(newClock().now)
	press(f)
	q := query(time.Second)
	q.MaxWait = f.MaxWait("drafts", 2, 400*time.Millisecond)
	q.PromptTokens = 3800
	free := []placement.Candidate{{Upstream: up("free"), Local: true, Work: reported(8, 0)}}
	g.Expect(placement.Choose(q, free).Upstream).NotTo(BeNil())
}
