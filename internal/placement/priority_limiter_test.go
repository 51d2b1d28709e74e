package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// Guards against a burst of the least urgent class, whose target is long, that fills all slots, so that urgent classes with short
// targets are refused: 33 of 100 urgent requests were in time, and 61 of 100 of the least urgent ones.
func TestLeastUrgentClassLeavesCapacity(t *testing.T) {
	g := NewWithT(t)
	limiter := placement.NewPriorityLimiter(newClock().now)
	missTargets(limiter)
	busy := []placement.Candidate{{Upstream: newUpstream("busy"), Local: true, Work: workWithReport(16, 1)}}
	drafts := newQuery(time.Second)
	g.Expect(placement.Choose(drafts, busy).Upstream).NotTo(BeNil(), "its own target would allow it")
	drafts.MaxWait = limiter.MaxWait("drafts", 2, 400*time.Millisecond)
	g.Expect(placement.Choose(drafts, busy).Upstream).To(BeNil())
	drafts.MaxWait = limiter.MaxWait("drafts", 2, 400*time.Millisecond)
	free := []placement.Candidate{{Upstream: newUpstream("free"), Local: true, Work: workWithReport(11, 0)}}
	g.Expect(placement.Choose(drafts, free).Upstream).NotTo(BeNil())
	g.Expect(limiter.MaxWait("quotes", 0, 400*time.Millisecond)).To(BeZero(), "the most urgent class has only its own target")
	g.Expect(limiter.MaxWait("answers", 1, 400*time.Millisecond)).To(BeNumerically(">", drafts.MaxWait))
}

// missTargets records ten requests of the class "quotes" that are served late.
func missTargets(limiter *placement.PriorityLimiter) {
	for range 10 {
		limiter.Record("quotes", placement.Finished{Served: true})
	}
}

// Guards against refusals in favour of urgent requests that meet their target anyway, in a data centre that is busier than the
// others: 286 of 2,494 requests of the busiest data centre were refused in quiet hours, and 60 of the others.
func TestNoLimitWhileOtherClassesMeetTheirTargets(t *testing.T) {
	g := NewWithT(t)
	limiter := placement.NewPriorityLimiter(newClock().now)
	for range 10 {
		limiter.Record("quotes", placement.Finished{Served: true, InTime: true})
	}
	g.Expect(limiter.MaxWait("drafts", 2, 400*time.Millisecond)).To(BeZero())
}

// Guards against a class that is refused for as long as the load lasts.
func TestLimitIsLiftedForStarvedClass(t *testing.T) {
	g := NewWithT(t)
	clock := newClock()
	limiter := placement.NewPriorityLimiter(clock.now)
	for range 20 {
		limiter.Record("quotes", placement.Finished{Served: true})
		limiter.Record("drafts", placement.Finished{})
	}
	g.Expect(limiter.MaxWait("drafts", 2, 400*time.Millisecond)).To(BeZero())
	for range 60 {
		limiter.Record("drafts", placement.Finished{Served: true, InTime: true})
	}
	g.Expect(limiter.MaxWait("drafts", 2, 400*time.Millisecond)).NotTo(BeZero())
	for range 200 {
		limiter.Record("drafts", placement.Finished{})
	}
	clock.at = clock.at.Add(time.Minute)
	missTargets(limiter)
	g.Expect(limiter.MaxWait("drafts", 2, 400*time.Millisecond)).NotTo(BeZero(), "old requests do not count")
}

// Guards against long prompts being refused more often than short ones.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	g := NewWithT(t)
	limiter := placement.NewPriorityLimiter(newClock().now)
	missTargets(limiter)
	q := newQuery(time.Second)
	q.MaxWait = limiter.MaxWait("drafts", 2, 400*time.Millisecond)
	q.PromptTokens = 3800
	free := []placement.Candidate{{Upstream: newUpstream("free"), Local: true, Work: workWithReport(8, 0)}}
	g.Expect(placement.Choose(q, free).Upstream).NotTo(BeNil())
}

// Guards against a class that counts as starved because its refused callers come back and are refused again, although most of its new
// ones are served.
func TestReturningCallersDoNotCountAsStarved(t *testing.T) {
	g := NewWithT(t)
	limiter := placement.NewPriorityLimiter(newClock().now)
	for i := range 100 {
		limiter.Record("quotes", placement.Finished{Served: true})
		limiter.Record("drafts", placement.Finished{Served: i%5 > 0})
		limiter.Record("drafts", placement.Finished{Returning: true})
	}
	g.Expect(limiter.MaxWait("drafts", 2, 400*time.Millisecond)).NotTo(BeZero())
	for range 50 {
		limiter.Record("drafts", placement.Finished{})
	}
	g.Expect(limiter.MaxWait("drafts", 2, 400*time.Millisecond)).To(BeZero())
}

// Guards against a protected class that still yields while fewer than half of its first attempts are served, against one that takes more
// than all classes together have, and against protection without end.
func TestProtectedClassKeepsMoreThanHalf(t *testing.T) {
	g := NewWithT(t)
	clock := newClock()
	limiter := placement.NewPriorityLimiter(clock.now)
	record := func(class string, served, refused int) {
		for range served {
			limiter.Record(class, placement.Finished{Served: true})
		}
		for range refused {
			limiter.Record(class, placement.Finished{})
		}
	}
	limited := func() bool { return limiter.MaxWait("drafts", 2, 400*time.Millisecond) > 0 }
	record("quotes", 70, 30)
	record("drafts", 55, 45)
	g.Expect(limited()).To(BeTrue())
	limiter.Protect("drafts")
	g.Expect(limited()).To(BeFalse())
	record("drafts", 30, 0)
	g.Expect(limited()).To(BeTrue(), "it has its share")
	record("quotes", 0, 200)
	record("drafts", 0, 80)
	g.Expect(limited()).To(BeTrue(), "all classes together have less")
	record("quotes", 400, 100)
	g.Expect(limited()).To(BeFalse())
	clock.at = clock.at.Add(21 * time.Second)
	record("quotes", 70, 30)
	record("drafts", 10, 8)
	g.Expect(limited()).To(BeTrue(), "the protection is over")
}
