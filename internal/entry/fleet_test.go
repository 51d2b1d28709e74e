package entry_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a balancer that sends requests to an entry which does not know the upstreams yet.
func TestReadyOnceUpstreamsAreKnown(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntryWaiting(t, time.Hour, "entry-1", "a")
	ready := func() int {
		r, err := http.Get("http://" + e.AdminAddress() + "/readyz")
		g.Expect(err).NotTo(HaveOccurred())
		_ = r.Body.Close()
		return r.StatusCode
	}
	g.Expect(ready()).To(Equal(503))
	newAgent(t, "agent-1", "a", "desk", 1).connect(e, nil)
	g.Expect(ready()).To(Equal(503))
	model := newAgent(t, "agent-2", "a", "assistant", 1)
	model.announce.Kind = "model"
	model.connect(e, nil)
	g.Eventually(ready, waitFor).Should(Equal(200))
}

// Guards against a request that crashes one upstream after the other.
func TestCrashingRequestIsRefusedByAllEntries(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "a", one.LinkAddress())
	linked(g, one, two)
	var suspects atomic.Int32
	crash := func(incarnation uint64) func(*link.Conn, *message.Submit) {
		return func(c *link.Conn, s *message.Submit) {
			if s.Suspect {
				suspects.Add(1)
			}
			fail(t, message.ReasonUpstreamCrash, incarnation)(c, s)
		}
	}
	a, b := newAgent(t, "agent-1", "a", "desk", 1), newAgent(t, "agent-2", "a", "desk", 1)
	a.connect(one, crash(1))
	b.connect(one, crash(1))
	r := call(one, "GET", "/stock/poison", "")
	g.Expect(r.status).To(Equal(503))
	g.Expect(r.outcome()).To(Equal("failed"))
	g.Expect(a.runs.Load() + b.runs.Load()).To(Equal(int32(2)))
	g.Expect(suspects.Load()).To(Equal(int32(1)))
	r = call(one, "GET", "/stock/poison", "")
	g.Expect(r.outcome()).To(Equal("not-run"))
	g.Expect(r.header.Get("Retry-After")).To(Equal("600"))
	healthy := newAgent(t, "agent-3", "a", "desk", 1)
	healthy.connect(two, echo(t))
	g.Eventually(func() string { return call(two, "GET", "/stock/poison", "").body }, waitFor).
		Should(ContainSubstring(`"code":"quarantined"`))
	g.Expect(call(two, "GET", "/stock/bolt", "").status).To(Equal(200))
}

// Guards against an entry that sends on a request although an upstream of another data centre has crashed on it.
func TestCrashBehindAnotherEntryIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	linked(g, one, two)
	var runs, suspects atomic.Int32
	for _, id := range []string{"agent-1", "agent-2", "agent-3"} {
		newAgent(t, id, "b", "desk", 1).connect(two, func(c *link.Conn, s *message.Submit) {
			runs.Add(1)
			if s.Suspect {
				suspects.Add(1)
			}
			fail(t, message.ReasonUpstreamCrash, uint64(runs.Load()))(c, s)
		})
	}
	g.Eventually(func() int { return len(one.Accepting("desk", config.KindService)) }, waitFor).Should(Equal(1))
	r := call(one, "GET", "/stock/poison", "")
	g.Expect(r.outcome()).To(Equal("failed"))
	g.Expect(r.body).To(ContainSubstring(`"code":"quarantined"`))
	g.Expect([]int32{runs.Load(), suspects.Load()}).To(Equal([]int32{2, 1}))
}

// linked waits until the entries know each other.
func linked(g *WithT, entries ...*entry.Entry) {
	for _, e := range entries {
		g.Eventually(func() int { return len(e.Table().Entries()) }, waitFor).Should(Equal(len(entries) - 1))
	}
}

// Guards against requests that fail although another data centre can serve them, and against answers that are damaged on
// the way through two entries.
func TestForwardToAnotherDataCentre(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	linked(g, one, two)
	agent := newAgent(t, "agent-1", "b", "desk", 1)
	agent.connect(two, nil)
	g.Eventually(func() int { return len(one.Accepting("desk", config.KindService)) }, waitFor).Should(Equal(1))
	done := start(one, "GET", "/stock/large", "")
	conn, submit := agent.nextSubmit()
	g.Expect(submit.Forwarded).To(BeTrue())
	const size = 1 << 20
	sendLarge(t, agent, conn, submit.Attempt, size)
	r := <-done
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(HaveLen(size))

	rejected := start(one, "POST", orders, "bolt")
	conn, submit = agent.nextSubmit()
	send(t, conn, &message.Reject{Attempt: submit.Attempt, Reason: message.ReasonStoreDown})
	g.Expect((<-rejected).outcome()).To(Equal("not-run"))
}

// Guards against new work on upstreams that leave, drain, swap or have no version.
func TestUpstreamsThatTakeNoWork(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	conn := agent.connect(e, echo(t))
	status := func() int { return call(e, "POST", orders, "bolt").status }
	g.Expect(status()).To(Equal(200))
	apply(g, e, 2, func(c *config.Config) { c.Drains = []config.Drain{{Agent: "agent-1"}} })
	g.Expect(status()).To(Equal(503))
	apply(g, e, 3, func(*config.Config) {})
	g.Expect(status()).To(Equal(200))
	e.Table().SetListedLeaving(map[string]bool{"agent-1": true})
	g.Expect(status()).To(Equal(503))
	e.Table().SetListedLeaving(nil)
	leaving := agent.announce
	leaving.State = message.StateLeaving
	send(t, conn, &leaving)
	g.Eventually(status, waitFor).Should(Equal(503))
	unloaded := newAgent(t, "agent-2", "a", "assistant", 1)
	unloaded.announce.LoadedVersion = ""
	unloaded.connect(e, echo(t))
	g.Expect(call(e, "POST", chat, "{}").status).To(Equal(503))
}

// Guards against a planned stop that cuts off a request in progress or is not announced.
func TestGracefulShutdown(t *testing.T) {
	g := NewWithT(t)
	one, stop := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "a", one.LinkAddress())
	linked(g, one, two)
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(one, nil)
	done := start(one, "POST", orders, "bolt")
	conn, submit := agent.nextSubmit()
	ready := func() int {
		r, err := http.Get("http://" + one.AdminAddress() + "/readyz")
		if err != nil {
			return 0
		}
		_ = r.Body.Close()
		return r.StatusCode
	}
	g.Eventually(ready, waitFor).Should(Equal(200))
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	g.Eventually(func() bool { return two.Table().Entries()[0].Leaving }, waitFor).Should(BeTrue())
	g.Expect(ready()).To(Equal(503))
	g.Eventually(func() error {
		nc, err := net.Dial("tcp", one.CallerAddress())
		if err == nil {
			_ = nc.Close()
		}
		return err
	}, waitFor).Should(HaveOccurred())
	send(t, conn, answer(submit.Attempt, "done")...)
	g.Expect((<-done).body).To(Equal("done"))
	g.Expect(<-stopped).To(Succeed())
}

// Guards against two entries that keep replacing each other's link.
func TestOneLinkPerPairOfEntries(t *testing.T) {
	g := NewWithT(t)
	placeholder, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = placeholder.Close() }()
	one, _ := startEntry(t, "entry-1", "a", placeholder.Addr().String())
	two, _ := startEntry(t, "entry-2", "a", one.LinkAddress())
	linked(g, one, two)
	// entry-1 dials as well: its own link has the lower dialler and replaces the other on both sides.
	replaced := one.Table().Entries()[0].Conn
	conn, err := link.Dial(context.Background(), two.LinkAddress(), one.Hello(), link.Config{Secret: []byte(secret)},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() { _ = conn.Serve(context.Background(), func(*link.Conn, message.Message) {}) }()
	g.Eventually(replaced.Done(), waitFor).Should(BeClosed())
	g.Eventually(func() int { return len(two.Table().Entries()) }, waitFor).Should(Equal(1))
}

// Guards against a silent link that keeps a new one of the same node out.
func TestSilentLinkOfAnEntryIsReplaced(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	// entry-1 dials, so by the rule for pairs its link stays unless it is silent.
	e, _ := startEntry(t, "entry-1", "a", listener.Addr().String())
	hello := message.Hello{NodeID: "entry-9", Role: message.RoleEntry, DataCentre: "a", Incarnation: 1, Address: listener.Addr().String()}
	heartbeat := func() message.Heartbeat { return message.Heartbeat{} }
	nc, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	old, err := link.Accept(nc, hello, link.Config{Secret: []byte(secret), HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour}, heartbeat)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = old.Serve(context.Background(), func(*link.Conn, message.Message) {}) }()
	g.Eventually(func() int { return len(e.Table().Entries()) }, waitFor).Should(Equal(1))
	first := e.Table().Entries()[0].Conn
	g.Eventually(func() <-chan struct{} {
		conn, err := link.Dial(context.Background(), e.LinkAddress(), hello, link.Config{Secret: []byte(secret)}, heartbeat)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(conn.Close)
		go func() { _ = conn.Serve(context.Background(), func(*link.Conn, message.Message) {}) }()
		return first.Done()
	}, waitFor, "200ms").Should(BeClosed())
}

// Guards against agents that do not learn from which agents of other data centres they can fetch weights.
func TestPeerViewCoversAllDataCentres(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	linked(g, one, two)
	far := newAgent(t, "agent-2", "b", "assistant", 1)
	far.announce.PeerAddress, far.announce.ReadyVersion = "127.0.0.1:9", "v2"
	far.connect(two, nil)
	views := make(chan *message.PeerView, 100)
	near := newAgent(t, "agent-1", "a", "assistant", 1)
	conn, err := link.Dial(context.Background(), one.LinkAddress(), near.hello, link.Config{Secret: []byte(secret)},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() {
		_ = conn.Serve(context.Background(), func(_ *link.Conn, m message.Message) {
			if view, ok := m.(*message.PeerView); ok {
				views <- view
			}
		})
	}()
	send(t, conn, &near.announce)
	g.Eventually(views, waitFor).Should(Receive(HaveField("Peers", ContainElement(
		message.Peer{NodeID: "agent-2", DataCentre: "b", Region: "", Address: "127.0.0.1:9", Pool: "assistant", Versions: []string{"v2"}}))))
}

// Guards against a restarted entry that takes requests before its agents have connected again, and refuses them.
func TestRestartedEntryWaitsForTheAgentsOfItsNeighbours(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	desk, model := newAgent(t, "agent-1", "a", "desk", 1), newAgent(t, "agent-2", "a", "assistant", 1)
	desk.connect(one, nil)
	model.connect(one, nil)
	two, _ := startEntryWaiting(t, time.Hour, "entry-2", "a", one.LinkAddress())
	linked(g, one, two)
	status := func() int {
		r, err := http.Get("http://" + two.AdminAddress() + "/readyz")
		g.Expect(err).NotTo(HaveOccurred())
		_ = r.Body.Close()
		return r.StatusCode
	}
	g.Eventually(func() int { return len(two.Status().Nodes) }, waitFor).Should(Equal(4)) // The view has arrived.
	g.Expect(status()).To(Equal(503))
	desk.connect(two, nil)
	g.Expect(status()).To(Equal(503))
	model.connect(two, nil)
	g.Eventually(status, waitFor).Should(Equal(200))
}

// Guards against a request that is refused because the last upstream left shortly before its successor connected.
func TestRequestWaitsForAnUpstream(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	done := start(e, "GET", "/stock/bolt", "")
	// The call must be in progress before the agent connects; a call that is refused at once ends the test here.
	g.Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
	newAgent(t, "agent-1", "a", "desk", 1).connect(e, echo(t))
	r := <-done
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(200))
}
