package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func newClock() *fakeClock { return &fakeClock{at: time.Unix(1000, 0)} }

// Guards against an upstream that keeps receiving requests although it fails part of them while its health checks pass.
func TestRepeatedFailuresMakeSuspect(t *testing.T) {
	g := NewWithT(t)
	clock := newClock()
	tracker := placement.NewTracker(clock.now)
	tracker.Begin("a", 0, 10).End(placement.Failed)
	g.Expect(tracker.IsSuspect("a")).To(BeFalse(), "a single failure may be caused by the request")
	tracker.Begin("a", 0, 10).End(placement.Failed)
	g.Expect(tracker.IsSuspect("a")).To(BeTrue())
	clock.at = clock.at.Add(10 * time.Second)
	g.Expect(tracker.IsSuspect("a")).To(BeFalse(), "a suspicion expires")
	for i := range 20 {
		outcome := placement.Succeeded
		if i%2 == 0 {
			outcome = placement.Failed
		}
		tracker.Begin("b", 0, 10).End(outcome)
	}
	g.Expect(tracker.IsSuspect("b")).To(BeTrue(), "every second request fails")
}

// Guards against cancellations by callers and refusals for lack of capacity that count as failures of an upstream.
func TestAbandonedAndDeclinedAttemptsAreNoFailures(t *testing.T) {
	g := NewWithT(t)
	tracker := placement.NewTracker(newClock().now)
	for range 20 {
		tracker.Begin("a", 0, 10).End(placement.Abandoned)
		tracker.Begin("a", 0, 10).End(placement.Declined)
	}
	g.Expect(tracker.IsSuspect("a")).To(BeFalse())
}

// Guards against requests to upstreams that no longer exist: after a power failure upstreams restart under other IDs at the same
// addresses, and the list of upstreams shows the previous IDs for seconds.
func TestReplacedUpstreamIsLeftOutUntilItAnnouncesItself(t *testing.T) {
	g := NewWithT(t)
	tracker := placement.NewTracker(newClock().now)
	tracker.MarkReplaced("a", 7)
	g.Expect(tracker.IsReplaced("a", 7)).To(BeTrue())
	g.Expect(tracker.IsReplaced("a", 6)).To(BeTrue(), "an older announcement does not clear the mark")
	g.Expect(tracker.IsReplaced("a", 8)).To(BeFalse())
	g.Expect(tracker.IsReplaced("b", 1)).To(BeFalse())
}

// Guards against requests to an upstream on a stalled instance: the upstream is skipped as soon as neither reports nor events
// arrive, not only when requests fail.
func TestTimeSinceActivity(t *testing.T) {
	g := NewWithT(t)
	clock := newClock()
	tracker := placement.NewTracker(clock.now)
	g.Expect(tracker.TimeSinceActivity("a")).To(BeNumerically(">", time.Minute))
	a := tracker.Begin("a", 0, 10)
	a.RecordActivity()
	clock.at = clock.at.Add(300 * time.Millisecond)
	g.Expect(tracker.TimeSinceActivity("a")).To(Equal(300 * time.Millisecond))
}

// Guards against requests of this node that are counted twice, or not at all, in addition to a report.
func TestAddOwnWorkAndExportCountOwnRequests(t *testing.T) {
	g := NewWithT(t)
	clock := newClock()
	tracker := placement.NewTracker(clock.now)
	earlier := tracker.Begin("a", 1, 100)
	earlier.RecordStart()
	clock.at = clock.at.Add(time.Second)
	reported := clock.at
	clock.at = clock.at.Add(50 * time.Millisecond)
	tracker.Begin("a", 0, 200)
	tracker.Begin("a", 8, 300) // Rank 8 is the least urgent that package relay uses.
	var w placement.Work
	tracker.AddOwnWork(&w, "a", 4, reported)
	g.Expect(w.OwnRunning).To(Equal(3))
	g.Expect(w.OwnWaiting).To(Equal(2))
	g.Expect(w.OwnTokens).To(Equal(500.0))
	g.Expect(w.SentSinceReport).To(Equal(2))
	g.Expect(w.AheadShare).To(And(BeNumerically(">", 0.3), BeNumerically("<", 0.9)))
	exported := tracker.Export()
	g.Expect(exported).To(HaveLen(1))
	g.Expect(exported[0].Running).To(Equal(3))
	g.Expect(exported[0].WaitingTokens).To(Equal(500))
	earlier.End(placement.Succeeded)
	earlier.End(placement.Failed)
	g.Expect(tracker.Export()[0].Running).To(Equal(2), "the second end does not count")
}
