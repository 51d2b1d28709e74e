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

// Guards against an entry that reports ready before upstreams of all pools have connected, so that the load balancer sends it
// requests that it has to refuse.
func TestReadyOnceUpstreamsAreKnown(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntryWithStartupTimeout(t, time.Hour, "entry-1", "a")
	ready := func() int {
		r, err := http.Get("http://" + e.AdminAddress() + "/readyz")
		g.Expect(err).NotTo(HaveOccurred())
		_ = r.Body.Close()
		return r.StatusCode
	}
	g.Expect(ready()).To(Equal(503))
	newAgent(t, "agent-1", "a", "desk", 1).connect(e, nil)
	g.Expect(ready()).To(Equal(503))
	modelAgent := newAgent(t, "agent-2", "a", "assistant", 1)
	modelAgent.announce.Kind = "model"
	modelAgent.connect(e, nil)
	g.Eventually(ready, waitTimeout).Should(Equal(200))
}

// Guards against a request that crashes one upstream after another: after two crashes all entries have to refuse it.
func TestCrashingRequestIsRefusedByAllEntries(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "a", one.LinkAddress())
	waitUntilLinked(g, one, two)
	var suspects atomic.Int32
	crashWith := func(incarnation uint64) func(*link.Conn, *message.Submit) {
		return func(c *link.Conn, s *message.Submit) {
			if s.Suspect {
				suspects.Add(1)
			}
			failWith(t, message.ReasonUpstreamCrash, incarnation)(c, s)
		}
	}
	a, b := newAgent(t, "agent-1", "a", "desk", 1), newAgent(t, "agent-2", "a", "desk", 1)
	a.connect(one, crashWith(1))
	b.connect(one, crashWith(1))
	r := call(one, "GET", "/stock/poison", "")
	g.Expect(r.status).To(Equal(503))
	g.Expect(r.outcome()).To(Equal("failed"))
	g.Expect(a.submitCount.Load() + b.submitCount.Load()).To(Equal(int32(2)))
	g.Expect(suspects.Load()).To(Equal(int32(1)))
	r = call(one, "GET", "/stock/poison", "")
	g.Expect(r.outcome()).To(Equal("not-run"))
	g.Expect(r.header.Get("Retry-After")).To(Equal("600"))
	healthy := newAgent(t, "agent-3", "a", "desk", 1)
	healthy.connect(two, echoBody(t))
	g.Eventually(func() string { return call(two, "GET", "/stock/poison", "").body }, waitTimeout).
		Should(ContainSubstring(`"code":"quarantined"`))
	g.Expect(call(two, "GET", "/stock/bolt", "").status).To(Equal(200))
}

// Guards against an entry that continues to retry a request after two upstreams of another data centre have crashed on it, and
// against a crash that both entries count.
func TestCrashInAnotherDataCentreIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	waitUntilLinked(g, one, two)
	var submitCount, suspects atomic.Int32
	for _, id := range []string{"agent-1", "agent-2", "agent-3"} {
		newAgent(t, id, "b", "desk", 1).connect(two, func(c *link.Conn, s *message.Submit) {
			submitCount.Add(1)
			if s.Suspect {
				suspects.Add(1)
			}
			failWith(t, message.ReasonUpstreamCrash, uint64(submitCount.Load()))(c, s)
		})
	}
	g.Eventually(func() int { return len(one.Accepting("desk", config.KindService)) }, waitTimeout).Should(Equal(1))
	r := call(one, "GET", "/stock/poison", "")
	g.Expect(r.outcome()).To(Equal("failed"))
	g.Expect(r.body).To(ContainSubstring(`"code":"quarantined"`))
	g.Expect([]int32{submitCount.Load(), suspects.Load()}).To(Equal([]int32{2, 1}))
}

// waitUntilLinked waits until each of the entries has all others in its table.
func waitUntilLinked(g *WithT, entries ...*entry.Entry) {
	for _, e := range entries {
		g.Eventually(func() int { return len(e.Table().Entries()) }, waitTimeout).Should(Equal(len(entries) - 1))
	}
}

// Guards against requests that fail although another data centre can serve them, and against responses that are corrupted, or
// rejections whose outcome is lost, when they pass through two entries.
func TestRequestIsForwardedToAnotherDataCentre(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	waitUntilLinked(g, one, two)
	agent := newAgent(t, "agent-1", "b", "desk", 1)
	agent.connect(two, nil)
	g.Eventually(func() int { return len(one.Accepting("desk", config.KindService)) }, waitTimeout).Should(Equal(1))
	done := callAsync(one, "GET", "/stock/large", "")
	conn, submit := agent.nextSubmit()
	g.Expect(submit.Forwarded).To(BeTrue())
	const size = 1 << 20
	sendLargeResponse(t, agent, conn, submit.Attempt, size)
	r := <-done
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(HaveLen(size))

	rejected := callAsync(one, "POST", ordersPath, "bolt")
	conn, submit = agent.nextSubmit()
	send(t, conn, &message.Reject{Attempt: submit.Attempt, Reason: message.ReasonStoreDown})
	g.Expect((<-rejected).outcome()).To(Equal("not-run"))
}

// Guards against requests that are sent to upstreams that are draining, leaving or have no version loaded.
func TestUnavailableUpstreamsReceiveNoRequests(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	conn := agent.connect(e, echoBody(t))
	status := func() int { return call(e, "POST", ordersPath, "bolt").status }
	g.Expect(status()).To(Equal(200))
	applyConfig(g, e, 2, func(c *config.Config) { c.Drains = []config.Drain{{Agent: "agent-1"}} })
	g.Expect(status()).To(Equal(503))
	applyConfig(g, e, 3, func(*config.Config) {})
	g.Expect(status()).To(Equal(200))
	e.Table().SetListedLeaving(map[string]bool{"agent-1": true})
	g.Expect(status()).To(Equal(503))
	e.Table().SetListedLeaving(nil)
	leaving := agent.announce
	leaving.State = message.StateLeaving
	send(t, conn, &leaving)
	g.Eventually(status, waitTimeout).Should(Equal(503))
	unloaded := newAgent(t, "agent-2", "a", "assistant", 1)
	unloaded.announce.LoadedVersion = ""
	unloaded.connect(e, echoBody(t))
	g.Expect(call(e, "POST", chatPath, "{}").status).To(Equal(503))
}

// Guards against a graceful shutdown that cuts off a request in progress, or that the load balancer and other entries do not learn of
// while the entry still serves.
func TestGracefulShutdown(t *testing.T) {
	g := NewWithT(t)
	one, stop := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "a", one.LinkAddress())
	waitUntilLinked(g, one, two)
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(one, nil)
	done := callAsync(one, "POST", ordersPath, "bolt")
	conn, submit := agent.nextSubmit()
	ready := func() int {
		r, err := http.Get("http://" + one.AdminAddress() + "/readyz")
		if err != nil {
			return 0
		}
		_ = r.Body.Close()
		return r.StatusCode
	}
	g.Eventually(ready, waitTimeout).Should(Equal(200))
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	g.Eventually(func() bool { return two.Table().Entries()[0].Leaving }, waitTimeout).Should(BeTrue())
	g.Expect(ready()).To(Equal(503))
	g.Eventually(func() error {
		nc, err := net.Dial("tcp", one.CallerAddress())
		if err == nil {
			_ = nc.Close()
		}
		return err
	}, waitTimeout).Should(HaveOccurred())
	send(t, conn, responseMessages(submit.Attempt, "done")...)
	g.Expect((<-done).body).To(Equal("done"))
	g.Expect(<-stopped).To(Succeed())
}

// Guards against two entries that dial each other and keep replacing each other's link.
func TestOneLinkPerPairOfEntries(t *testing.T) {
	g := NewWithT(t)
	// entry-1 dials a peer that accepts connections but never completes the handshake.
	placeholder, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = placeholder.Close() }()
	one, _ := startEntry(t, "entry-1", "a", placeholder.Addr().String())
	two, _ := startEntry(t, "entry-2", "a", one.LinkAddress())
	waitUntilLinked(g, one, two)
	// entry-1 dials as well: its node ID is lower, so its link replaces the one that entry-2 dialled, on both sides.
	replaced := one.Table().Entries()[0].Conn
	conn, err := link.Dial(context.Background(), two.LinkAddress(), one.Hello(), link.Config{Secret: []byte(secret)},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() { _ = conn.Serve(context.Background(), func(*link.Conn, message.Message) {}) }()
	g.Eventually(replaced.Done(), waitTimeout).Should(BeClosed())
	g.Eventually(func() int { return len(two.Table().Entries()) }, waitTimeout).Should(Equal(1))
}

// Guards against a silent link that prevents a new link from the same node from being admitted.
func TestSilentLinkOfAnEntryIsReplaced(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	// entry-1 dials and has the lower node ID, so its link is kept unless it is silent.
	e, _ := startEntry(t, "entry-1", "a", listener.Addr().String())
	hello := message.Hello{NodeID: "entry-9", Role: message.RoleEntry, DataCentre: "a", Incarnation: 1, Address: listener.Addr().String()}
	heartbeat := func() message.Heartbeat { return message.Heartbeat{} }
	nc, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	old, err := link.Accept(nc, hello,
		link.Config{Secret: []byte(secret), HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour}, heartbeat)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = old.Serve(context.Background(), func(*link.Conn, message.Message) {}) }()
	g.Eventually(func() int { return len(e.Table().Entries()) }, waitTimeout).Should(Equal(1))
	first := e.Table().Entries()[0].Conn
	g.Eventually(func() <-chan struct{} {
		conn, err := link.Dial(context.Background(), e.LinkAddress(), hello, link.Config{Secret: []byte(secret)}, heartbeat)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(conn.Close)
		go func() { _ = conn.Serve(context.Background(), func(*link.Conn, message.Message) {}) }()
		return first.Done()
	}, waitTimeout, "200ms").Should(BeClosed())
}

// Guards against peer views sent to agents that omit the agents of other data centres from which they can fetch weights.
func TestPeerViewCoversAllDataCentres(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	two, _ := startEntry(t, "entry-2", "b", one.LinkAddress())
	waitUntilLinked(g, one, two)
	remoteAgent := newAgent(t, "agent-2", "b", "assistant", 1)
	remoteAgent.announce.PeerAddress, remoteAgent.announce.ReadyVersion = "127.0.0.1:9", "v2"
	remoteAgent.connect(two, nil)
	views := make(chan *message.PeerView, 100)
	localAgent := newAgent(t, "agent-1", "a", "assistant", 1)
	conn, err := link.Dial(context.Background(), one.LinkAddress(), localAgent.hello, link.Config{Secret: []byte(secret)},
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
	send(t, conn, &localAgent.announce)
	g.Eventually(views, waitTimeout).Should(Receive(HaveField("Peers", ContainElement(
		message.Peer{NodeID: "agent-2", DataCentre: "b", Region: "", Address: "127.0.0.1:9", Pool: "assistant",
			Versions: []string{"v2"}}))))
}

// Guards against a restarted entry that reports ready before the agents that other entries list have connected again, and so refuses
// requests.
func TestRestartedEntryWaitsForAgentsOfOtherEntries(t *testing.T) {
	g := NewWithT(t)
	one, _ := startEntry(t, "entry-1", "a")
	serviceAgent, modelAgent := newAgent(t, "agent-1", "a", "desk", 1), newAgent(t, "agent-2", "a", "assistant", 1)
	serviceAgent.connect(one, nil)
	modelAgent.connect(one, nil)
	two, _ := startEntryWithStartupTimeout(t, time.Hour, "entry-2", "a", one.LinkAddress())
	waitUntilLinked(g, one, two)
	status := func() int {
		r, err := http.Get("http://" + two.AdminAddress() + "/readyz")
		g.Expect(err).NotTo(HaveOccurred())
		_ = r.Body.Close()
		return r.StatusCode
	}
	g.Eventually(func() int { return len(two.Status().Nodes) }, waitTimeout).Should(Equal(4)) // The peer view of entry-1 has arrived.
	g.Expect(status()).To(Equal(503))
	serviceAgent.connect(two, nil)
	g.Expect(status()).To(Equal(503))
	modelAgent.connect(two, nil)
	g.Eventually(status, waitTimeout).Should(Equal(200))
}

// Guards against a request that is refused because it arrives after the last upstream has left and before the next one connects.
func TestRequestWaitsForAnUpstream(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	done := callAsync(e, "GET", "/stock/bolt", "")
	// The call must be in progress before the agent connects; a call that is refused at once ends the test here.
	g.Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
	newAgent(t, "agent-1", "a", "desk", 1).connect(e, echoBody(t))
	r := <-done
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(200))
}
