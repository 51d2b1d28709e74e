package entry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

func TestWholeAnswerReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	newAgent(t, "agent-1", "a", "desk", 1).connect(e, echo(t))
	r := call(e, "POST", orders, "two bolts")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(200))
	g.Expect(r.body).To(Equal("two bolts"))
	g.Expect(r.header.Get("Content-Length")).To(Equal("9"))
	g.Expect(r.header.Get("Pimentohead-Request-Id")).NotTo(BeEmpty())
	g.Expect(r.outcome()).To(BeEmpty())
}

// Guards against outcomes that claim more than is known, and against orders that are sent twice.
func TestOutcomesOfOrders(t *testing.T) {
	for _, tc := range []struct {
		name    string
		respond func(*testing.T) func(*link.Conn, *message.Submit)
		status  int
		outcome string
		submits int32
	}{
		{"rejected", func(t *testing.T) func(*link.Conn, *message.Submit) { return reject(t, message.ReasonQueueFull) }, 503, "not-run", 3},
		{"key pending", func(t *testing.T) func(*link.Conn, *message.Submit) { return reject(t, message.ReasonKeyPending) }, 409, "unknown", 1},
		{"key conflict", func(t *testing.T) func(*link.Conn, *message.Submit) { return reject(t, message.ReasonKeyConflict) }, 422, "not-run", 1},
		{"failed", func(t *testing.T) func(*link.Conn, *message.Submit) { return fail(t, message.ReasonUpstreamError, 0) }, 502, "failed", 1},
		{"gap", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return func(c *link.Conn, s *message.Submit) {
				send(t, c, &message.ResponseHead{Attempt: s.Attempt, Status: 200}, &message.ResponseBody{Attempt: s.Attempt, Offset: 5, Data: []byte("x")})
			}
		}, 502, "unknown", 1},
		{"short", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return func(c *link.Conn, s *message.Submit) {
				send(t, c, &message.ResponseHead{Attempt: s.Attempt, Status: 200}, &message.ResponseBody{Attempt: s.Attempt, Data: []byte("x")},
					&message.ResponseEnd{Attempt: s.Attempt, Outcome: message.OutcomeOK, Length: 2})
			}
		}, 502, "unknown", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			e, _ := startEntry(t, "entry-1", "a")
			agent := newAgent(t, "agent-1", "a", "desk", 1)
			agent.connect(e, tc.respond(t))
			other := newAgent(t, "agent-2", "a", "desk", 1)
			other.connect(e, tc.respond(t))
			r := call(e, "POST", orders, "bolt")
			g.Expect(r.status).To(Equal(tc.status))
			g.Expect(r.outcome()).To(Equal(tc.outcome))
			g.Expect(r.body).To(ContainSubstring(`"outcome":"` + tc.outcome + `"`))
			g.Expect(agent.runs.Load() + other.runs.Load()).To(Equal(tc.submits))
		})
	}
}

// Guards against a planned stop that refuses an order without a key because its Submit crossed the agent's announcement.
func TestRejectedOrderIsSentToAnotherAgent(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	for _, id := range []string{"agent-1", "agent-2"} {
		newAgent(t, id, "a", "desk", 1).connect(e, func(c *link.Conn, s *message.Submit) {
			if s.Attempt.Number == 1 {
				reject(t, message.ReasonNotServing)(c, s)
				return
			}
			echo(t)(c, s)
		})
	}
	g.Expect(call(e, "POST", orders, "bolt").body).To(Equal("bolt"))
}

// Guards against a false not-run: the first attempt may have run although the later ones were rejected.
func TestEarlierAttemptIsRemembered(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, func(c *link.Conn, s *message.Submit) {
		if s.Attempt.Number == 1 {
			fail(t, message.ReasonUpstreamError, 0)(c, s)
			return
		}
		reject(t, message.ReasonQueueFull)(c, s)
	})
	r := call(e, "GET", "/stock/bolt", "")
	g.Expect(r.status).To(Equal(502))
	g.Expect(r.outcome()).To(Equal("failed"))
	g.Expect(agent.runs.Load()).To(Equal(int32(3)))
}

// Guards against answers of an earlier attempt that are mixed into a later one.
func TestLateAnswerOfEarlierAttemptIsDropped(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	done := start(e, "GET", "/stock/bolt", "")
	conn, first := agent.nextSubmit()
	send(t, conn, &message.ResponseHead{Attempt: first.Attempt, Status: 200}, &message.ResponseBody{Attempt: first.Attempt, Data: []byte("old")})
	send(t, conn, &message.ResponseEnd{Attempt: first.Attempt, Outcome: message.OutcomeFailed})
	conn, second := agent.nextSubmit()
	g.Expect(second.Attempt.Number).To(Equal(2))
	send(t, conn, answer(first.Attempt, "late")...)
	send(t, conn, answer(second.Attempt, "new")...)
	g.Expect((<-done).body).To(Equal("new"))
}

// Guards against answers that reach the wrong caller when they arrive crossed.
func TestCrossedAnswers(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	a, b := start(e, "POST", orders, "A"), start(e, "POST", orders, "B")
	conn, first := agent.nextSubmit()
	_, second := agent.nextSubmit()
	x, y := answer(first.Attempt, "for "+string(first.Body)), answer(second.Attempt, "for "+string(second.Body))
	send(t, conn, y[0], x[0], x[1], y[1], y[2], x[2])
	g.Expect((<-a).body).To(Equal("for A"))
	g.Expect((<-b).body).To(Equal("for B"))
}

// Guards against a wrong outcome after the link was lost with an order in flight.
func TestLostLink(t *testing.T) {
	for _, tc := range []struct {
		name        string
		known       message.AttemptState
		incarnation uint64
		outcome     string
		submits     int32
	}{
		{"revoked", message.AttemptRevoked, 1, "not-run", 3},
		{"running", message.AttemptRunning, 1, "unknown", 1},
		{"done", message.AttemptDone, 1, "unknown", 1},
		{"agent restarted", message.AttemptRevoked, 2, "unknown", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			e, _ := startEntry(t, "entry-1", "a")
			agent := newAgent(t, "agent-1", "a", "desk", 1)
			agent.connect(e, nil)
			done := start(e, "POST", orders, "bolt")
			conn, submit := agent.nextSubmit()
			conn.Close()
			again := newAgent(t, "agent-1", "a", "desk", tc.incarnation)
			again.connect(e, reject(t, message.ReasonNotServing))
			if tc.incarnation == 1 {
				r := again.next()
				g.Expect(r.m).To(Equal(&message.Query{Attempt: submit.Attempt, AgentIncarnation: 1}))
				send(t, r.conn, &message.QueryReply{Attempt: submit.Attempt, State: tc.known, Outcome: message.OutcomeOK})
			}
			g.Expect((<-done).outcome()).To(Equal(tc.outcome))
			// Only an attempt that was revoked may be followed by others.
			g.Expect(agent.runs.Load() + again.runs.Load()).To(Equal(tc.submits))
		})
	}
}

// Guards against a request that waits on a connection that is open but silent. The agent reads nothing, so that it does not
// answer probes, and sends no heartbeats.
func TestSilentLinkIsProbedAndReplaced(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	conn, err := link.Dial(context.Background(), e.LinkAddress(), agent.hello,
		link.Config{Secret: []byte(secret), HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	release := make(chan struct{})
	defer close(release)
	go func() {
		_ = conn.Serve(context.Background(), func(_ *link.Conn, m message.Message) {
			if _, ok := m.(*message.Submit); ok {
				<-release
			}
		})
	}()
	send(t, conn, &agent.announce)
	g.Eventually(func() bool { _, ok := e.Table().Upstream("agent-1"); return ok }, waitFor).Should(BeTrue())
	silent, _ := e.Table().Upstream("agent-1")
	done := start(e, "POST", orders, "bolt")
	g.Eventually(silent.Conn.Done(), waitFor).Should(BeClosed())
	agent.connect(e, reject(t, message.ReasonNotServing))
	query := agent.next()
	send(t, query.conn, &message.QueryReply{Attempt: query.m.(*message.Query).Attempt, State: message.AttemptRevoked})
	g.Expect((<-done).outcome()).To(Equal("not-run"))
}

// Guards against a forwarded attempt that runs after the other entry was told that it was revoked, and against one that runs
// twice.
func TestForwardedAttemptIsRevokedOrRunOnce(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, echo(t))
	other := newAgent(t, "entry-9", "b", "", 1)
	other.hello.Role = message.RoleEntry
	conn, err := link.Dial(context.Background(), e.LinkAddress(), other.hello, link.Config{Secret: []byte(secret)},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() {
		_ = conn.Serve(context.Background(), func(c *link.Conn, m message.Message) {
			switch m.(type) {
			case *message.Heartbeat, *message.PeerView:
			default:
				other.messages <- received{c, m}
			}
		})
	}()
	submit := func(id string) *message.Submit {
		return &message.Submit{
			Attempt: message.Attempt{RequestID: id, Number: 1}, Pool: "desk", DeadlineMillis: 20000, Forwarded: true, Body: []byte("bolt"),
		}
	}
	late := submit("late")
	query := &message.Query{Attempt: late.Attempt, AgentIncarnation: e.Hello().Incarnation}
	send(t, conn, query)
	g.Expect(other.next().m).To(Equal(&message.QueryReply{Attempt: late.Attempt, State: message.AttemptRevoked}))
	send(t, conn, late)
	g.Expect(other.next().m).To(Equal(&message.Reject{Attempt: late.Attempt, Reason: message.ReasonRevoked}))
	once := submit("once")
	send(t, conn, once)
	for range 3 {
		other.next() // The answer: head, body, end.
	}
	send(t, conn, once)
	send(t, conn, &message.Query{Attempt: once.Attempt, AgentIncarnation: e.Hello().Incarnation})
	g.Expect(other.next().m).To(Equal(&message.QueryReply{Attempt: once.Attempt, State: message.AttemptDone, Outcome: message.OutcomeOK}))
	send(t, conn, &message.Query{Attempt: once.Attempt, AgentIncarnation: 1})
	g.Expect(other.next().m).To(Equal(&message.QueryReply{Attempt: once.Attempt, State: message.AttemptUnknown}))
	g.Expect(agent.runs.Load()).To(Equal(int32(1)))
}

// Guards against an idempotent request that is lost with its agent although another one can serve it.
func TestIdempotentRequestOutlivesItsAgent(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	dying := newAgent(t, "agent-1", "a", "desk", 1)
	dying.connect(e, nil)
	done := start(e, "GET", "/stock/bolt", "")
	conn, _ := dying.nextSubmit()
	other := newAgent(t, "agent-2", "a", "desk", 1)
	other.connect(e, func(c *link.Conn, s *message.Submit) { send(t, c, answer(s.Attempt, "7")...) })
	conn.Close()
	g.Expect((<-done).body).To(Equal("7"))
}

// Guards against a request that outlives its deadline, and against a claim that it was not run.
func TestDeadlineEndsInUnknown(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	apply(g, e, 2, func(c *config.Config) { c.Limits.RequestTimeout = config.Duration(100 * time.Millisecond) })
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	r := call(e, "GET", "/stock/bolt", "")
	g.Expect(r.status).To(Equal(504))
	g.Expect(r.outcome()).To(Equal("unknown"))
	_, submit := agent.nextSubmit()
	g.Expect(agent.next().m).To(Equal(&message.Cancel{Attempt: submit.Attempt}))
	g.Expect(agent.runs.Load()).To(Equal(int32(1)))
}
