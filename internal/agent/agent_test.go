package agent_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/agent"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/settings"
)

const secret = "0123456789abcdef"

// fixture runs an agent of a plain service. The test acts as one or more entries.
type fixture struct {
	g           *WithT
	upstream    *httptest.Server
	storeServer *httptest.Server
	fakeStore   *fake.Store
	entries     []net.Listener
	conns       []*link.Conn
	received    []chan message.Message
	// silence is locked while the entries read nothing from their links, netConns are the connections of these.
	silence  sync.Mutex
	netConns []*net.TCPConn
	// runs counts the requests that the upstream received, except health checks and /reset.
	runs atomic.Int32
	// silentUntil is when health checks are answered again after a silence, in Unix nanoseconds.
	silentUntil atomic.Int64
	// release is closed to let /wait requests respond.
	release chan struct{}
	stop    context.CancelFunc
	done    chan error
}

// start runs an agent and waits until it has announced to each entry that it serves. The lines of extraSettings are appended to
// the settings.
func start(t *testing.T, entries int, extraSettings ...string) *fixture {
	f := &fixture{g: NewWithT(t), release: make(chan struct{}), done: make(chan error, 1)}
	f.upstream = httptest.NewServer(http.HandlerFunc(f.serve))
	f.fakeStore = fake.NewStore(fake.StoreConfig{})
	f.storeServer = httptest.NewServer(f.fakeStore)
	text := fmt.Sprintf(
		"role = \"agent\"\nid = \"a\"\ndata_centre = \"d\"\nregion = \"r\"\n[listen]\nadmin = \"127.0.0.1:0\"\n[link]\nsecret = %q\n"+
			"[platform]\nstore = %q\n[agent]\npool = \"desk\"\nkind = \"service\"\nupstream = %q\nmax_concurrency = 2\nentries = [",
		secret, f.storeServer.URL, f.upstream.URL)
	for range entries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		f.g.Expect(err).NotTo(HaveOccurred())
		f.entries = append(f.entries, listener)
		text += fmt.Sprintf("%q,", listener.Addr().String())
	}
	s, err := settings.Parse("agent.toml", []byte(text+"]\n"+strings.Join(extraSettings, "\n")))
	f.g.Expect(err).NotTo(HaveOccurred())
	a, err := agent.New(agent.Options{Settings: s, Log: logr.Discard()})
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- a.Run(ctx) }()
	for i := range f.entries {
		f.accept(i)
	}
	t.Cleanup(func() {
		f.releaseRequests()
		cancel()
		f.upstream.CloseClientConnections()
		f.g.Eventually(f.done, "10s").Should(Receive())
		for _, l := range f.entries {
			_ = l.Close()
		}
		f.upstream.Close()
		f.storeServer.Close()
	})
	return f
}

// connectionCloseDelay is the time between the end of the connection of a /crash request and that of the other connections.
const connectionCloseDelay = 20 * time.Millisecond

// serve is the upstream. It responds to /wait after release is closed, never to /hang, closes the connection on /reset, on /wait-reset after
// release is closed, and that connection and then all others on /crash.
func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		time.Sleep(time.Until(time.Unix(0, f.silentUntil.Load())))
		return
	case "/large":
		_, _ = w.Write(make([]byte, message.InitialCreditBytes))
		return
	case "/wait":
		f.runs.Add(1)
		<-f.release
	case "/hang":
		f.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case "/wait-reset":
		f.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-f.release
		netConn, _, _ := w.(http.Hijacker).Hijack()
		_ = netConn.Close()
		return
	case "/reset", "/crash":
		_, _ = io.Copy(io.Discard, r.Body)
		netConn, _, _ := w.(http.Hijacker).Hijack()
		_ = netConn.Close()
		if r.URL.Path == "/crash" {
			time.Sleep(connectionCloseDelay)
			f.upstream.CloseClientConnections()
		}
		return
	default:
		f.runs.Add(1)
		w.Header().Set("X-Model-Version", "v1")
	}
	_, _ = io.WriteString(w, "answer")
}

// releaseRequests lets /wait requests respond. Further calls have no effect.
func (f *fixture) releaseRequests() {
	select {
	case <-f.release:
	default:
		close(f.release)
	}
}

// accept accepts the link of the agent as entry i and waits until the agent announces that it serves.
func (f *fixture) accept(i int) {
	netConn, err := f.entries[i].Accept()
	f.g.Expect(err).NotTo(HaveOccurred())
	hello := message.Hello{NodeID: fmt.Sprint("entry-", i), Role: message.RoleEntry, Incarnation: 1}
	conn, err := link.Accept(netConn, hello, link.Config{Secret: []byte(secret)}, func() message.Heartbeat { return message.Heartbeat{} })
	f.g.Expect(err).NotTo(HaveOccurred())
	received := make(chan message.Message, 1000)
	go func() {
		_ = conn.Serve(context.Background(), func(_ *link.Conn, m message.Message) {
			f.silence.Lock()
			defer f.silence.Unlock()
			received <- m
		})
	}()
	f.netConns = append(f.netConns, netConn.(*net.TCPConn))
	f.conns, f.received = append(f.conns, conn), append(f.received, received)
	f.awaitState(i, message.StateServing)
}

// awaitState waits until the agent announces a state to entry i.
func (f *fixture) awaitState(i int, state message.State) {
	f.g.Eventually(f.received[i], "5s").Should(Receive(HaveField("State", state)))
}

// submit returns the first attempt of a request. The key "-" makes it idempotent; any other makes it an order, without a key when
// empty.
func submit(id, path, key string) *message.Submit {
	return &message.Submit{
		Attempt: message.Attempt{RequestID: id, Number: 1}, Caller: "caller", Pool: "desk", DeadlineMillis: 20_000,
		Idempotent: key == "-", IdempotencyKey: key, Method: http.MethodPost, Path: path, Body: []byte("{}"),
	}
}

func (f *fixture) send(i int, m message.Message) {
	f.g.Expect(f.conns[i].Send(context.Background(), m)).To(Succeed())
}

// awaitEnd returns the next ResponseEnd or Reject of an attempt, or the next QueryReply.
func (f *fixture) awaitEnd(i int, id string) message.Message {
	timeout := time.After(10 * time.Second)
	for {
		select {
		case m := <-f.received[i]:
			switch m := m.(type) {
			case *message.ResponseEnd:
				if m.Attempt.RequestID == id {
					return m
				}
			case *message.Reject:
				if m.Attempt.RequestID == id {
					return m
				}
			case *message.QueryReply:
				return m
			}
		case <-timeout:
			f.g.Fail("no ResponseEnd, Reject or QueryReply received for " + id)
		}
	}
}

// Guards against an order that runs twice, or whose response or version is lost, when its key is repeated, and against a conflict reported as ok.
func TestOrderRunsOnce(t *testing.T) {
	f := start(t, 2)
	f.send(0, submit("r1", "/orders", "key"))
	f.g.Expect(f.awaitEnd(0, "r1")).To(And(HaveField("Outcome", message.OutcomeOK), HaveField("Length", int64(6))))
	f.send(1, submit("r2", "/orders", "key"))
	f.g.Eventually(f.received[1], "5s").Should(Receive(And(HaveField("Replayed", true), HaveField("Version", "v1"))))
	f.g.Expect(f.awaitEnd(1, "r2")).To(And(HaveField("Outcome", message.OutcomeOK), HaveField("Length", int64(6))))
	f.send(1, submit("conflict", "/other", "key"))
	f.g.Expect(f.awaitEnd(1, "conflict")).To(HaveField("Reason", message.ReasonKeyConflict))
	f.send(1, submit("r1", "/orders", "key"))
	f.send(1, submit("r3", "/orders", ""))
	f.g.Expect(f.awaitEnd(1, "r3")).To(HaveField("Outcome", message.OutcomeOK))
	f.g.Expect(f.runs.Load()).To(Equal(int32(2)))
}

// Guards against running an attempt whose Submit arrives after its Cancel, or after the reply to a query has reported it as revoked.
func TestQueryAndCancelRevokeUnseenAttempts(t *testing.T) {
	f := start(t, 1)
	late, cancelled := submit("late", "/orders", ""), submit("cancelled", "/orders", "")
	f.send(0, &message.Cancel{Attempt: cancelled.Attempt})
	f.send(0, &message.Query{Attempt: late.Attempt, AgentIncarnation: f.conns[0].Peer().Incarnation})
	f.g.Expect(f.awaitEnd(0, "late")).To(HaveField("State", message.AttemptRevoked))
	for _, m := range []*message.Submit{late, cancelled} {
		f.send(0, m)
		f.g.Expect(f.awaitEnd(0, m.Attempt.RequestID)).To(HaveField("Reason", message.ReasonRevoked))
	}
	f.send(0, &message.Query{Attempt: late.Attempt, AgentIncarnation: 1})
	f.g.Expect(f.awaitEnd(0, "late")).To(HaveField("State", message.AttemptUnknown))
	f.g.Expect(f.runs.Load()).To(BeZero())
}

// Guards against losing the outcome of a running order, and against running queued ones, when the entry's link breaks.
func TestBrokenLinkKeepsRunningOrders(t *testing.T) {
	f := start(t, 2)
	incarnation := f.conns[0].Peer().Incarnation
	for i := range 4 { // Two run, two wait: max_concurrency is 2.
		f.send(0, submit(fmt.Sprint("r", i), "/wait", ""))
	}
	f.g.Eventually(f.received[1], "5s").Should(Receive(And(HaveField("InFlight", 2), HaveField("Queued", 2))))
	f.conns[0].Close()
	f.g.Eventually(f.received[1], "5s").Should(Receive(And(HaveField("InFlight", 2), HaveField("Queued", 0))))
	query := func(id string) message.Message {
		f.send(1, &message.Query{Attempt: message.Attempt{RequestID: id, Number: 1}, AgentIncarnation: incarnation})
		return f.awaitEnd(1, id)
	}
	f.g.Expect(query("r0")).To(HaveField("State", message.AttemptRunning))
	f.g.Expect(query("r3")).To(HaveField("State", message.AttemptRevoked))
	f.releaseRequests()
	f.g.Eventually(func() message.Message { return query("r0") }, "5s").Should(
		And(HaveField("State", message.AttemptDone), HaveField("Outcome", message.OutcomeOK)))
	f.g.Expect(f.runs.Load()).To(Equal(int32(2)))
}

// Guards against reporting a connection reset by a healthy upstream as a crash, or a crash as anything else.
func TestCrashIsDistinguishedFromConnectionReset(t *testing.T) {
	f := start(t, 1)
	f.send(0, submit("reset", "/reset", "-"))
	f.g.Expect(f.awaitEnd(0, "reset")).To(HaveField("Reason", message.ReasonUpstreamError))
	f.send(0, submit("r1", "/wait", ""))
	f.g.Eventually(f.runs.Load, "5s").Should(Equal(int32(1)))
	_ = f.upstream.Listener.Close()
	f.upstream.CloseClientConnections()
	f.g.Expect(f.awaitEnd(0, "r1")).To(And(HaveField("Reason", message.ReasonUpstreamCrash),
		HaveField("UpstreamIncarnation", Not(BeZero()))))
	f.send(0, submit("r2", "/orders", ""))
	f.g.Expect(f.awaitEnd(0, "r2")).To(HaveField("Reason", message.ReasonNoUpstream))
}

// Guards against attributing a crash to the other requests that ran beside a suspect.
func TestCrashBesideSuspectIsReported(t *testing.T) {
	f := start(t, 1)
	suspect := submit("suspect", "/wait", "")
	suspect.Suspect = true
	f.send(0, suspect)
	f.send(0, submit("neighbour", "/wait", ""))
	f.g.Eventually(f.runs.Load, "5s").Should(Equal(int32(2)))
	_ = f.upstream.Listener.Close()
	f.upstream.CloseClientConnections()
	ends := map[string]message.Message{}
	f.g.Eventually(func() int {
		select {
		case m := <-f.received[0]:
			if end, ok := m.(*message.ResponseEnd); ok {
				ends[end.Attempt.RequestID] = end
			}
		default:
		}
		return len(ends)
	}, "5s").Should(Equal(2))
	f.g.Expect(ends["suspect"]).To(And(HaveField("Reason", message.ReasonUpstreamCrash), HaveField("BesideSuspect", false)))
	f.g.Expect(ends["neighbour"]).To(And(HaveField("Reason", message.ReasonUpstreamCrash), HaveField("BesideSuspect", true)))
}

// Guards against missing the crash of a service that is up again before the next health check.
func TestRestartBetweenChecksIsACrash(t *testing.T) {
	f := start(t, 1)
	f.send(0, submit("r1", "/wait", ""))
	f.g.Eventually(f.runs.Load, "5s").Should(Equal(int32(1)))
	f.upstream.CloseClientConnections()
	f.g.Expect(f.awaitEnd(0, "r1")).To(And(HaveField("Reason", message.ReasonUpstreamCrash), HaveField("Outcome", message.OutcomeUnknown)))
	f.send(0, submit("r2", "/orders", ""))
	f.g.Expect(f.awaitEnd(0, "r2")).To(HaveField("Outcome", message.OutcomeOK))
}

// Guards against missing a crash because a health check still succeeds on a connection that the ending process closes later than that of
// the lost request.
func TestCrashThatClosesConnectionsOneByOneIsACrash(t *testing.T) {
	f := start(t, 1)
	f.send(0, submit("r1", "/crash", ""))
	f.g.Expect(f.awaitEnd(0, "r1")).To(And(HaveField("Reason", message.ReasonUpstreamCrash), HaveField("Outcome", message.OutcomeUnknown)))
	f.send(0, submit("r2", "/orders", ""))
	f.g.Expect(f.awaitEnd(0, "r2")).To(HaveField("Outcome", message.OutcomeOK))
}

// Guards against a leaving agent that starts queued requests long after it has announced that it leaves.
func TestLeavingAgentRejectsItsQueue(t *testing.T) {
	f := start(t, 1)
	for i := range 3 { // Two run, one waits: max_concurrency is 2.
		f.send(0, submit(fmt.Sprint("r", i), "/wait", ""))
	}
	f.g.Eventually(f.runs.Load, "5s").Should(Equal(int32(2)))
	f.stop()
	f.g.Expect(f.awaitEnd(0, "r2")).To(HaveField("Reason", message.ReasonNotServing))
	f.releaseRequests()
	f.g.Expect(f.awaitEnd(0, "r0")).To(HaveField("Outcome", message.OutcomeOK))
	f.g.Expect(f.runs.Load()).To(Equal(int32(2)))
}

// Guards against losing responses that are still to be recorded when requests in progress exceed the shutdown timeout.
func TestShutdownRecordsResponsesAfterItsTimeout(t *testing.T) {
	f := start(t, 1, "[shutdown]\ntimeout = \"100ms\"")
	f.send(0, submit("r1", "/hang", ""))
	f.send(0, submit("r2", "/wait", "key"))
	f.g.Eventually(f.runs.Load, "5s").Should(Equal(int32(2)))
	f.fakeStore.SetFault(fake.Fault{DelayMillis: 500})
	f.releaseRequests()
	f.g.Expect(f.awaitEnd(0, "r2")).To(HaveField("Outcome", message.OutcomeOK))
	f.stop()
	f.g.Eventually(f.done, "10s").Should(Receive(HaveOccurred()))
	f.done <- nil // The cleanup of start receives from done too.
	client := store.NewClient(f.storeServer.URL, 100, logr.Discard())
	defer client.Close()
	kv, err := client.Get(context.Background(), fmt.Sprintf("/pimentohead/order/caller/%x", sha256.Sum256([]byte("key"))))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(string(kv.Value)).To(ContainSubstring("answer"))
}

// Guards against a graceful shutdown that aborts running requests or accepts new ones.
func TestShutdownFinishesRunningRequests(t *testing.T) {
	f := start(t, 1)
	f.send(0, submit("r1", "/wait", "key"))
	f.g.Eventually(f.runs.Load, "5s").Should(Equal(int32(1)))
	f.stop()
	f.awaitState(0, message.StateLeaving)
	f.send(0, submit("r2", "/orders", ""))
	f.g.Expect(f.awaitEnd(0, "r2")).To(HaveField("Reason", message.ReasonNotServing))
	f.releaseRequests()
	f.g.Expect(f.awaitEnd(0, "r1")).To(HaveField("Outcome", message.OutcomeOK))
	f.g.Eventually(f.done, "10s").Should(Receive(BeNil()))
	f.done <- nil // The cleanup of start receives from done too.
}

// Guards against responses whose rest is lost because the agent stops while the entry is silent for a second.
func TestStoppedAgentDeliversLastResponsesToSilentEntry(t *testing.T) {
	f := start(t, 1)
	f.g.Expect(f.netConns[0].SetReadBuffer(64 << 10)).To(Succeed())
	requests := []string{"r1", "r2", "r3", "r4"} // Together they exceed the buffers of the receiver.
	f.silence.Lock()
	for _, id := range requests {
		f.send(0, submit(id, "/large", "-"))
	}
	time.Sleep(100 * time.Millisecond)
	f.stop()
	time.Sleep(1100 * time.Millisecond)
	// An entry grants credit as it passes a response on. A closed connection is reset by it.
	f.send(0, &message.Credit{Attempt: submit("r1", "", "").Attempt, Bytes: 1})
	time.Sleep(20 * time.Millisecond)
	f.silence.Unlock()
	ended := map[string]message.Outcome{}
	f.g.Eventually(func() map[string]message.Outcome {
		select {
		case m := <-f.received[0]:
			if end, ok := m.(*message.ResponseEnd); ok {
				ended[end.Attempt.RequestID] = end.Outcome
			}
		default:
		}
		return ended
	}, "5s", "1ms").Should(HaveLen(len(requests)))
	f.g.Expect(ended).To(HaveEach(message.OutcomeOK))
}
