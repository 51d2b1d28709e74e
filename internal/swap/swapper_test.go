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

const eventuallyTimeout = 10 * time.Second

// fakeUpstream is the engine, the gate and the stored versions of the Swapper under test. It records whether the gate was ever
// open while a load was pending.
type fakeUpstream struct {
	mu               sync.Mutex
	status           swap.EngineStatus
	loads            []string
	fencingTokens    []uint64
	onLoad           func(u *fakeUpstream, version string) error
	openVersion      string
	requestsDone     chan struct{} // Close waits for this channel unless it is nil.
	closing          chan struct{} // Receives a value at each call of Close.
	opened           chan string   // Receives the version at each call of Open.
	completeVersions map[string]bool
	openDuringLoad   bool
	statusReads      int
}

// newFakeUpstream returns an upstream whose engine serves loaded and completes each load at once. v1 and v2 are complete.
func newFakeUpstream(loaded string) *fakeUpstream {
	return &fakeUpstream{
		status:           swap.EngineStatus{LoadedVersion: loaded, Incarnation: 1},
		completeVersions: map[string]bool{"v1": true, "v2": true}, opened: make(chan string, 100), closing: make(chan struct{}, 100),
		onLoad: func(u *fakeUpstream, version string) error { u.status.LoadedVersion = version; return nil },
	}
}

func (u *fakeUpstream) recordOpenDuringLoad() {
	u.openDuringLoad = u.openDuringLoad || u.openVersion != "" && u.status.PendingVersion != ""
}

func (u *fakeUpstream) changeStatus(change func(*swap.EngineStatus)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.status)
}

func (u *fakeUpstream) Load(_ context.Context, version, _ string, fencingToken uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loads, u.fencingTokens = append(u.loads, version), append(u.fencingTokens, fencingToken)
	err := u.onLoad(u, version)
	u.recordOpenDuringLoad()
	return err
}

func (u *fakeUpstream) Status(context.Context) (swap.EngineStatus, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statusReads++
	return u.status, nil
}

func (u *fakeUpstream) Close(ctx context.Context) error {
	u.mu.Lock()
	u.openVersion = ""
	requestsDone := u.requestsDone
	u.mu.Unlock()
	u.closing <- struct{}{}
	if requestsDone == nil {
		return nil
	}
	select {
	case <-requestsDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *fakeUpstream) Open(version string) {
	u.mu.Lock()
	u.openVersion = version
	u.recordOpenDuringLoad()
	u.mu.Unlock()
	u.opened <- version
}

func (u *fakeUpstream) Holds(version string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completeVersions[version]
}

func (u *fakeUpstream) SetLoaded(string, string) {}

// orderedVersions returns the versions of all load orders so far.
func (u *fakeUpstream) orderedVersions() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.loads...)
}

// awaitReads waits until the engine's status has been read more than n times.
func (u *fakeUpstream) awaitReads(g *WithT, n int) {
	count := func() int { u.mu.Lock(); defer u.mu.Unlock(); return u.statusReads }
	before := count()
	g.Eventually(count, eventuallyTimeout).Should(BeNumerically(">", before+n))
}

// startSwapper runs a Swapper with target v2 on the fake. It returns the Swapper and a function that stops it.
func (u *fakeUpstream) startSwapper(t *testing.T, now func() time.Time) (*swap.Swapper, func()) {
	s := swap.New(swap.Config{Gate: u, Engine: u, Versions: u, Source: "http://127.0.0.1:1",
		PollInterval: time.Millisecond, CheckInterval: 2 * time.Millisecond, RetryInterval: time.Hour, Now: now})
	s.SetTarget("v2")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return s, stop
}

func newPermit(epoch uint64, version string, lifetime time.Duration) message.SwapPermit {
	return message.SwapPermit{Epoch: epoch, Version: version, LifetimeMillis: lifetime.Milliseconds()}
}

// Guards against a swap without a permit for the target, against fencing tokens that do not increase, and against an accepted
// permit of an old epoch.
func TestOnlyACurrentPermitForTheTargetLoadsIt(t *testing.T) {
	g := NewWithT(t)
	u := newFakeUpstream("v1")
	s, _ := u.startSwapper(t, nil)
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v1")))
	s.AcceptPermit(newPermit(7, "other", time.Hour))
	s.AcceptPermit(newPermit(6, "v2", time.Hour))
	s.Wake()
	g.Expect(u.orderedVersions()).To(BeEmpty())
	s.AcceptPermit(newPermit(7, "v2", time.Hour))
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v2")))
	s.SetTarget("v1")
	s.AcceptPermit(newPermit(7, "v1", time.Hour))
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v1")))
	g.Expect(u.orderedVersions()).To(Equal([]string{"v2", "v1"}))
	g.Expect(u.fencingTokens[0]).To(BeNumerically(">=", uint64(7)<<20))
	g.Expect(u.fencingTokens[1]).To(BeNumerically(">", u.fencingTokens[0]))
	g.Expect(s.Status().Epoch).To(Equal(uint64(7)))
}

// Guards against a load under a permit that expired or was revoked while requests were still in progress.
func TestNoLoadWhenThePermitEndsBeforeTheGateIsClosed(t *testing.T) {
	for _, endedBy := range []string{"expiry", "revoke"} {
		t.Run(endedBy, func(t *testing.T) {
			g := NewWithT(t)
			u := newFakeUpstream("v1")
			u.requestsDone = make(chan struct{})
			var mu sync.Mutex
			clock := time.Unix(0, 0)
			s, _ := u.startSwapper(t, func() time.Time { mu.Lock(); defer mu.Unlock(); return clock })
			g.Eventually(u.opened, eventuallyTimeout).Should(Receive())
			s.AcceptPermit(newPermit(1, "v2", time.Second))
			g.Eventually(u.closing, eventuallyTimeout).Should(Receive())
			if endedBy == "expiry" {
				mu.Lock()
				clock = clock.Add(2 * time.Second)
				mu.Unlock()
			} else {
				s.RevokePermit(message.SwapRevoke{Epoch: 1, Version: "v2"})
			}
			g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v1")))
			g.Expect(u.orderedVersions()).To(BeEmpty())
		})
	}
}

// Guards against an upstream that stays out of service after a failed load, against a failure that is not announced, and
// against a second load of a failed version.
func TestFailedLoadReopensThePreviousVersion(t *testing.T) {
	g := NewWithT(t)
	u := newFakeUpstream("v1")
	u.onLoad = func(u *fakeUpstream, version string) error {
		u.status.FailedVersion, u.status.LoadError = version, "out of memory"
		return nil
	}
	s, _ := u.startSwapper(t, nil)
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive())
	s.AcceptPermit(newPermit(1, "v2", time.Hour))
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v1")))
	g.Expect(s.Status().FailedVersion).To(Equal("v2"))
	g.Expect(s.Status().LoadError).To(ContainSubstring("out of memory"))
	s.AcceptPermit(newPermit(1, "v2", time.Hour))
	u.awaitReads(g, 5)
	g.Expect(u.orderedVersions()).To(HaveLen(1), "a failed version is not loaded again")
}

// Guards against serving requests while a load is pending after the agent was restarted during the load.
func TestRestartedAgentWaitsForThePendingLoad(t *testing.T) {
	g := NewWithT(t)
	u := newFakeUpstream("v1")
	ordered := make(chan struct{})
	u.onLoad = func(u *fakeUpstream, version string) error {
		u.status.PendingVersion = version
		close(ordered)
		return nil
	}
	s, stop := u.startSwapper(t, nil)
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive())
	s.AcceptPermit(newPermit(1, "v2", time.Hour))
	g.Eventually(ordered, eventuallyTimeout).Should(BeClosed())
	stop()
	u.startSwapper(t, nil)
	u.awaitReads(g, 5)
	g.Expect(u.opened).NotTo(Receive())
	u.changeStatus(func(st *swap.EngineStatus) { st.LoadedVersion, st.PendingVersion = "v2", "" })
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v2")))
	g.Expect(u.openDuringLoad).To(BeFalse())
}

// Guards against a gate that stays open when an engine that ignores fencing tokens accepts a delayed order of an earlier
// agent process.
func TestLoadOfAnEarlierProcessClosesTheGate(t *testing.T) {
	g := NewWithT(t)
	u := newFakeUpstream("v2")
	u.startSwapper(t, nil)
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v2")))
	u.changeStatus(func(st *swap.EngineStatus) { st.PendingVersion = "v1" })
	g.Eventually(u.closing, eventuallyTimeout).Should(Receive())
	u.awaitReads(g, 5)
	g.Expect(u.opened).NotTo(Receive())
	u.changeStatus(func(st *swap.EngineStatus) { st.LoadedVersion, st.PendingVersion = "v1", "" })
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v1")))
}

// Guards against an upstream that stays out of service after its engine has started or restarted with nothing loaded, because the
// agent waits for a permit or because the target fails to load.
func TestEmptyEngineLoadsWithoutPermit(t *testing.T) {
	g := NewWithT(t)
	u := newFakeUpstream("")
	s, _ := u.startSwapper(t, nil)
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v2")))
	u.mu.Lock()
	u.onLoad = func(u *fakeUpstream, version string) error {
		if version == "v3" {
			u.status.FailedVersion = version
			return nil
		}
		u.status.LoadedVersion = version
		return nil
	}
	u.completeVersions["v3"] = true
	u.mu.Unlock()
	s.SetTarget("v3")
	u.changeStatus(func(st *swap.EngineStatus) { *st = swap.EngineStatus{Incarnation: 2} })
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v2")), "the version served last replaces a target that fails")
	g.Expect(u.orderedVersions()).To(Equal([]string{"v2", "v3", "v2"}))
}

// Guards against a lost load order that counts as a failed version and so halts the rollout in all data centres.
func TestLostOrderIsNotAFailedVersion(t *testing.T) {
	g := NewWithT(t)
	u := newFakeUpstream("v1")
	calls := 0
	u.onLoad = func(u *fakeUpstream, version string) error {
		if calls++; calls == 1 {
			return errors.New("connection reset")
		}
		u.status.LoadedVersion = version
		return nil
	}
	s, _ := u.startSwapper(t, nil)
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive())
	s.AcceptPermit(newPermit(1, "v2", time.Hour))
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v1")))
	g.Expect(s.Status().FailedVersion).To(BeEmpty())
	s.AcceptPermit(newPermit(1, "v2", time.Hour))
	g.Eventually(u.opened, eventuallyTimeout).Should(Receive(Equal("v2")))
}
