package rollout

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
)

var bg = context.Background()

// Guards against taking more than max_unavailable out of service, and against skipping the canary.
func TestCanaryThenMaxUnavailable(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 5)
	c.configure(func(m *config.Model) { m.MaxUnavailable = 2 })
	ctl := c.elected("entry-1")
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-0"}))
	c.finish(0, "v2")
	c.ups[4].Announce.State = message.StateDown
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-1"}), "an upstream that is down counts against max_unavailable")
	c.ups[4].Announce.State = message.StateServing
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-2"}))
	g.Expect(ctl.Status()[0]).To(And(HaveField("AtTarget", 1), HaveField("Permits", 2), HaveField("CanaryPassed", true), HaveField("Holder", "entry-1")))
}

// Guards against an upstream that serves nothing waiting for others.
func TestEmptyUpstreamsAreNotHeldBack(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 3)
	c.configure(nil)
	for i := range c.ups {
		c.ups[i].Announce.State, c.ups[i].Announce.LoadedVersion = message.StateStarting, ""
	}
	settle(c.elected("entry-1"))
	g.Expect(c.permitted()).To(ConsistOf("a-0", "a-1", "a-2"))
}

// Guards against a rollout that goes on after a failed canary, and against one that cannot be tried again.
func TestFailedCanaryHaltsUntilTheTargetChanges(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 3)
	c.configure(nil)
	ctl := c.elected("entry-1")
	settle(ctl)
	g.Expect(c.permitted()).To(HaveLen(1))
	c.ups[0].Announce.FailedVersion, c.ups[0].Announce.LoadError = "v2", "out of memory"
	settle(ctl)
	c.store.advance(time.Minute)
	g.Expect(ctl.lease.acquire(bg)).To(Succeed())
	settle(ctl)
	g.Expect(c.permitted()).To(BeEmpty())
	g.Expect(ctl.Status()[0].HaltedReason).To(ContainSubstring("out of memory"))
	c.store.advance(time.Minute) // The wait for the lapsed lease.
	g.Expect(ctl.lease.acquire(bg)).To(Succeed())
	ctl.lease.grantFrom = time.Time{}
	c.configure(func(m *config.Model) { m.Version = "v3" })
	c.ups[1].Announce.ReadyVersion = "v3"
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-1"}))
}

// Guards against swaps in other data centres before the canary of the first has succeeded.
func TestOtherDataCentreWaitsForTheCanary(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	a, b := newCentre(t, "a", s, 2), newCentre(t, "b", s, 2)
	b.entries = []membership.Entry{{Node: message.Hello{NodeID: "entry-1", DataCentre: "a"}}}
	a.configure(nil)
	b.configure(nil)
	first, second := a.elected("entry-1"), b.elected("entry-2")
	settle(first)
	settle(second)
	g.Expect(b.permitted()).To(BeEmpty())
	a.finish(0, "v2")
	settle(first)
	settle(second)
	g.Expect(b.permitted()).To(Equal([]string{"b-0"}))
}

// Guards against all data centres waiting for one that has no upstream of the model.
func TestDataCentreWithoutUpstreamsLeavesTheCanaryToOthers(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	a, b := newCentre(t, "a", s, 0), newCentre(t, "b", s, 3)
	b.entries = []membership.Entry{{Node: message.Hello{NodeID: "entry-1", DataCentre: "a"}}}
	a.configure(nil)
	b.configure(func(m *config.Model) { m.MaxUnavailable = 3 })
	first, second := a.elected("entry-1"), b.elected("entry-2")
	settle(first)
	s.advance(6 * time.Second)
	for range 2 {
		g.Expect(first.lease.keepAlive(bg)).To(Succeed())
		g.Expect(second.lease.keepAlive(bg)).To(Succeed())
		s.advance(5 * time.Second)
	}
	settle(first)
	g.Expect(first.lease.keepAlive(bg)).To(Succeed())
	g.Expect(second.lease.keepAlive(bg)).To(Succeed())
	settle(first)
	settle(second)
	g.Expect(b.permitted()).To(HaveLen(1), "the local canary limits the first swaps")
}

// Guards against a holder that was paused and grants although its lease may have lapsed, and against two holders whose permits
// overlap.
func TestPausedHolderStopsAndSuccessorWaits(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 3)
	c.configure(nil)
	old := c.elected("entry-1")
	settle(old)
	g.Expect(c.permitted()).To(Equal([]string{"a-0"}))
	c.store.advance(8 * time.Second) // The lease lives 10 s; the margin is 2 s.
	c.finish(0, "v2")
	settle(old)
	g.Expect(c.permitted()).To(BeEmpty(), "the lease may have lapsed")
	c.store.advance(2 * time.Second)
	next := c.elected("entry-2")
	settle(next)
	g.Expect(c.permitted()).To(BeEmpty(), "permits of the old holder may be in force")
	g.Expect(old.lease.keepAlive(bg)).NotTo(Succeed())
	for range 3 {
		c.store.advance(6 * time.Second)
		g.Expect(next.lease.keepAlive(bg)).To(Succeed())
	}
	settle(next)
	g.Expect(c.sent).To(HaveLen(1))
	epoch := c.sent[0].m.(*message.SwapPermit).Epoch
	_, known := next.lease.known()
	g.Expect(epoch).To(Equal(known))
	settle(old)
	g.Expect(c.permitted()).To(HaveLen(1), "only the new holder has granted")
}

// Guards against a needless wait after a clean release, and against one that is too short while permits are in force.
func TestTakeoverAfterRelease(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 2)
	c.configure(nil)
	old := c.elected("entry-1")
	old.lease.release(0)
	next := c.elected("entry-2")
	settle(next)
	g.Expect(c.permitted()).To(HaveLen(1))
	next.lease.release(next.remaining())
	third := c.elected("entry-3")
	settle(third)
	g.Expect(c.permitted()).To(BeEmpty())
}

// Guards against a claim that took effect, whose answer was lost, and that is then held by nobody.
func TestLostAnswerOfTheClaimIsReadBack(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 1)
	c.store.loseAnswers = true
	ctl := c.elected("entry-1")
	g.Expect(ctl.lease.held()).NotTo(BeZero())
	_, epoch := ctl.lease.known()
	g.Expect(epoch).To(Equal(uint64(c.store.keys[ctl.lease.key].ModRevision)))
	_, granting := ctl.lease.grantEpoch()
	g.Expect(granting).To(BeFalse())
}

// Guards against permits that lapse during a long swap, that outlive a pause, or that block a changed target.
func TestRenewPauseAndChangedTarget(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 2)
	c.configure(nil)
	ctl := c.elected("entry-1")
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-0"}))
	c.store.advance(5 * time.Second)
	g.Expect(ctl.lease.keepAlive(bg)).To(Succeed())
	c.store.advance(4 * time.Second)
	g.Expect(ctl.lease.keepAlive(bg)).To(Succeed())
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-0"}), "renewed")
	c.configure(func(m *config.Model) { m.Paused = true })
	settle(ctl)
	g.Expect(c.sent).To(HaveLen(1))
	g.Expect(c.sent[0].m).To(Equal(&message.SwapRevoke{Epoch: ctl.grants["a-0"].epoch, Version: "v2"}))
	c.sent = nil
	c.configure(func(m *config.Model) { m.Version = "v3" })
	c.ups[0].Announce.ReadyVersion, c.ups[1].Announce.ReadyVersion = "v3", "v3"
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-0"}), "the revoked permit is replaced in place")
}

// Guards against a rollout that is held up by permits of the previous target that were used already.
func TestUsedPermitsDoNotBlockTheNextTarget(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 3)
	c.configure(nil)
	for i := range c.ups {
		c.ups[i].Announce.State, c.ups[i].Announce.LoadedVersion = message.StateStarting, ""
	}
	ctl := c.elected("entry-1")
	settle(ctl)
	g.Expect(c.permitted()).To(HaveLen(3))
	for i := range c.ups {
		c.ups[i].Announce.State, c.ups[i].Announce.LoadedVersion, c.ups[i].Announce.ReadyVersion = message.StateServing, "v2", "v3"
	}
	c.configure(func(m *config.Model) { m.Version = "v3" })
	settle(ctl)
	g.Expect(c.permitted()).To(Equal([]string{"a-0"}))
}

// Guards against a controller that does not start, elect itself or release its key when it is run as a whole.
func TestRunElectsGrantsAndReleases(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(t, "a", newStore(), 1)
	c.configure(nil)
	ctl := c.entry("entry-1")
	ctl.cfg.ReconcileInterval, ctl.cfg.ElectionInterval = time.Millisecond, time.Millisecond
	ctx, cancel := context.WithCancel(bg)
	done := make(chan error)
	go func() { done <- ctl.Run(ctx) }()
	g.Eventually(func() []ModelStatus { c.store.advance(time.Millisecond); return ctl.Status() }, "10s").Should(ContainElement(HaveField("Permits", 1)))
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Expect(c.store.keys).NotTo(HaveKey(ctl.lease.key))
	g.Expect(c.store.keys).To(HaveKey(ctl.lease.mark))
}
