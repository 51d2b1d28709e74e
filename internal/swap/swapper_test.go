package swap_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/swap"
)

const patience = 10 * time.Second

// rig is a fake engine, gate and weights. It records every moment in which the gate was open while a load was pending.
type rig struct {
	mu       sync.Mutex
	status   swap.EngineStatus
	loads    []string
	fences   []uint64
	onLoad   func(r *rig, version string) error
	open     string
	busy     chan struct{} // Close waits for it when it is set
	closing  chan struct{}
	opened   chan string
	held     map[string]bool
	mixed    bool
	statuses int
}

func newRig(loaded string) *rig {
	return &rig{
		status: swap.EngineStatus{LoadedVersion: loaded, Incarnation: 1},
		held:   map[string]bool{"v1": true, "v2": true}, opened: make(chan string, 100), closing: make(chan struct{}, 100),
		onLoad: func(r *rig, version string) error { r.status.LoadedVersion = version; return nil },
	}
}

func (r *rig) check() { r.mixed = r.mixed || r.open != "" && r.status.PendingVersion != "" }

func (r *rig) set(change func(*swap.EngineStatus)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.status)
}

func (r *rig) Load(_ context.Context, version, _ string, fence uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads, r.fences = append(r.loads, version), append(r.fences, fence)
	err := r.onLoad(r, version)
	r.check()
	return err
}

func (r *rig) Status(context.Context) (swap.EngineStatus, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses++
	return r.status, nil
}

func (r *rig) Close(ctx context.Context) error {
	r.mu.Lock()
	r.open = ""
	busy := r.busy
	r.mu.Unlock()
	r.closing <- struct{}{}
	if busy == nil {
		return nil
	}
	select {
	case <-busy:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *rig) Open(version string) {
	r.mu.Lock()
	r.open = version
	r.check()
	r.mu.Unlock()
	r.opened <- version
}

func (r *rig) Holds(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[version]
}

func (r *rig) SetLoaded(string, string) {}

func (r *rig) orders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.loads...)
}

// awaitReads waits until the engine's status was read n more times.
func (r *rig) awaitReads(g *WithT, n int) {
	count := func() int { r.mu.Lock(); defer r.mu.Unlock(); return r.statuses }
	before := count()
	g.Eventually(count, patience).Should(BeNumerically(">", before+n))
}

// run starts a Swapper on the rig.
func (r *rig) run(t *testing.T, now func() time.Time) (*swap.Swapper, func()) {
	s := swap.New(swap.Config{Gate: r, Engine: r, Versions: r, Source: "http://127.0.0.1:1",
		PollInterval: time.Millisecond, CheckInterval: 2 * time.Millisecond, RetryInterval: time.Hour, Now: now})
	s.SetTarget("v2")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return s, stop
}

func permit(epoch uint64, version string, lifetime time.Duration) message.SwapPermit {
	return message.SwapPermit{Epoch: epoch, Version: version, LifetimeMillis: lifetime.Milliseconds()}
}

// Guards against a swap without a permit, against fences that do not grow, and against an accepted old epoch.
func TestPermitLoadsTheTarget(t *testing.T) {
	g := NewWithT(t)
	r := newRig("v1")
	s, _ := r.run(t, nil)
	g.Eventually(r.opened, patience).Should(Receive(Equal("v1")))
	s.AcceptPermit(permit(7, "other", time.Hour))
	s.AcceptPermit(permit(6, "v2", time.Hour))
	s.Wake()
	g.Expect(r.orders()).To(BeEmpty())
	s.AcceptPermit(permit(7, "v2", time.Hour))
	g.Eventually(r.opened, patience).Should(Receive(Equal("v2")))
	s.SetTarget("v1")
	s.AcceptPermit(permit(7, "v1", time.Hour))
	g.Eventually(r.opened, patience).Should(Receive(Equal("v1")))
	g.Expect(r.orders()).To(Equal([]string{"v2", "v1"}))
	g.Expect(r.fences[0]).To(BeNumerically(">=", uint64(7)<<20))
	g.Expect(r.fences[1]).To(BeNumerically(">", r.fences[0]))
	g.Expect(s.Status().Epoch).To(Equal(uint64(7)))
}

// Guards against a load on a permit that ended while requests were still in progress.
func TestPermitThatExpiresBeforeTheGateClosedIsDropped(t *testing.T) {
	for _, end := range []string{"expiry", "revoke"} {
		t.Run(end, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig("v1")
			r.busy = make(chan struct{})
			var mu sync.Mutex
			clock := time.Unix(0, 0)
			s, _ := r.run(t, func() time.Time { mu.Lock(); defer mu.Unlock(); return clock })
			g.Eventually(r.opened, patience).Should(Receive())
			s.AcceptPermit(permit(1, "v2", time.Second))
			g.Eventually(r.closing, patience).Should(Receive())
			if end == "expiry" {
				mu.Lock()
				clock = clock.Add(2 * time.Second)
				mu.Unlock()
			} else {
				s.RevokePermit(message.SwapRevoke{Epoch: 1, Version: "v2"})
			}
			g.Eventually(r.opened, patience).Should(Receive(Equal("v1")))
			g.Expect(r.orders()).To(BeEmpty())
		})
	}
}

// Guards against an upstream that stays out of service, or a failure that is not announced, after a failed load.
func TestFailedLoadReopensTheOldVersion(t *testing.T) {
	g := NewWithT(t)
	r := newRig("v1")
	r.onLoad = func(r *rig, version string) error {
		r.status.FailedVersion, r.status.LoadError = version, "out of memory"
		return nil
	}
	s, _ := r.run(t, nil)
	g.Eventually(r.opened, patience).Should(Receive())
	s.AcceptPermit(permit(1, "v2", time.Hour))
	g.Eventually(r.opened, patience).Should(Receive(Equal("v1")))
	g.Expect(s.Status().FailedVersion).To(Equal("v2"))
	g.Expect(s.Status().LoadError).To(ContainSubstring("out of memory"))
	s.AcceptPermit(permit(1, "v2", time.Hour))
	r.awaitReads(g, 5)
	g.Expect(r.orders()).To(HaveLen(1), "a failed version is not loaded again")
}

// Guards against serving while a load is pending when an agent restarts during a load.
func TestRestartedAgentWaitsForThePendingLoad(t *testing.T) {
	g := NewWithT(t)
	r := newRig("v1")
	ordered := make(chan struct{})
	r.onLoad = func(r *rig, version string) error {
		r.status.PendingVersion = version
		close(ordered)
		return nil
	}
	s, stop := r.run(t, nil)
	g.Eventually(r.opened, patience).Should(Receive())
	s.AcceptPermit(permit(1, "v2", time.Hour))
	g.Eventually(ordered, patience).Should(BeClosed())
	stop()
	r.run(t, nil)
	r.awaitReads(g, 5)
	g.Expect(r.opened).NotTo(Receive())
	r.set(func(st *swap.EngineStatus) { st.LoadedVersion, st.PendingVersion = "v2", "" })
	g.Eventually(r.opened, patience).Should(Receive(Equal("v2")))
	g.Expect(r.mixed).To(BeFalse())
}

// Guards against an open gate when an engine that ignores fencing numbers accepts a late order of an earlier process.
func TestLateOrderClosesTheGate(t *testing.T) {
	g := NewWithT(t)
	r := newRig("v2")
	r.run(t, nil)
	g.Eventually(r.opened, patience).Should(Receive(Equal("v2")))
	r.set(func(st *swap.EngineStatus) { st.PendingVersion = "v1" })
	g.Eventually(r.closing, patience).Should(Receive())
	r.awaitReads(g, 5)
	g.Expect(r.opened).NotTo(Receive())
	r.set(func(st *swap.EngineStatus) { st.LoadedVersion, st.PendingVersion = "v1", "" })
	g.Eventually(r.opened, patience).Should(Receive(Equal("v1")))
}

// Guards against an empty or restarted engine that waits for a permit although it serves nothing.
func TestEmptyEngineLoadsWithoutPermit(t *testing.T) {
	g := NewWithT(t)
	r := newRig("")
	s, _ := r.run(t, nil)
	g.Eventually(r.opened, patience).Should(Receive(Equal("v2")))
	r.mu.Lock()
	r.onLoad = func(r *rig, version string) error {
		if version == "v3" {
			r.status.FailedVersion = version
			return nil
		}
		r.status.LoadedVersion = version
		return nil
	}
	r.held["v3"] = true
	r.mu.Unlock()
	s.SetTarget("v3")
	r.set(func(st *swap.EngineStatus) { *st = swap.EngineStatus{Incarnation: 2} })
	g.Eventually(r.opened, patience).Should(Receive(Equal("v2")), "the last version replaces a target that fails")
	g.Expect(r.orders()).To(Equal([]string{"v2", "v3", "v2"}))
}

// Guards against a lost load order that stops the whole rollout.
func TestLostOrderIsNotAFailedVersion(t *testing.T) {
	g := NewWithT(t)
	r := newRig("v1")
	lost := 0
	r.onLoad = func(r *rig, version string) error {
		if lost++; lost == 1 {
			return errors.New("connection reset")
		}
		r.status.LoadedVersion = version
		return nil
	}
	s, _ := r.run(t, nil)
	g.Eventually(r.opened, patience).Should(Receive())
	s.AcceptPermit(permit(1, "v2", time.Hour))
	g.Eventually(r.opened, patience).Should(Receive(Equal("v1")))
	g.Expect(s.Status().FailedVersion).To(BeEmpty())
	s.AcceptPermit(permit(1, "v2", time.Hour))
	g.Eventually(r.opened, patience).Should(Receive(Equal("v2")))
}
