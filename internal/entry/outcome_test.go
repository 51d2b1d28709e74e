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

// Guards against a response that reaches the caller incomplete or with wrong headers.
func TestCompleteResponseReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	newAgent(t, "agent-1", "a", "desk", 1).connect(e, echoBody(t))
	r := call(e, "POST", ordersPath, "two bolts")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(200))
	g.Expect(r.body).To(Equal("two bolts"))
	g.Expect(r.header.Get("Content-Length")).To(Equal("9"))
	g.Expect(r.header.Get("Pimentohead-Request-Id")).NotTo(BeEmpty())
	g.Expect(r.outcome()).To(BeEmpty())
}

// Guards against an outcome that claims more than the entry knows, and against an order (a request that is not idempotent) that is
// sent again although it may have been executed.
func TestOutcomesOfOrders(t *testing.T) {
	for _, tc := range []struct {
		name    string
		respond func(*testing.T) func(*link.Conn, *message.Submit)
		status  int
		outcome string
		submits int32
	}{
		{"rejected", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return rejectWith(t, message.ReasonQueueFull)
		}, 503, "not-run", 3},
		{"key pending", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return rejectWith(t, message.ReasonKeyPending)
		}, 409, "unknown", 1},
		{"key conflict", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return rejectWith(t, message.ReasonKeyConflict)
		}, 422, "not-run", 1},
		{"failed", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return failWith(t, message.ReasonUpstreamError, 0)
		}, 502, "failed", 1},
		{"gap in the body", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return func(c *link.Conn, s *message.Submit) {
				send(t, c, &message.ResponseHead{Attempt: s.Attempt, Status: 200},
					&message.ResponseBody{Attempt: s.Attempt, Offset: 5, Data: []byte("x")})
			}
		}, 502, "unknown", 1},
		{"body shorter than its length", func(t *testing.T) func(*link.Conn, *message.Submit) {
			return func(c *link.Conn, s *message.Submit) {
				send(t, c, &message.ResponseHead{Attempt: s.Attempt, Status: 200},
					&message.ResponseBody{Attempt: s.Attempt, Data: []byte("x")},
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
			r := call(e, "POST", ordersPath, "bolt")
			g.Expect(r.status).To(Equal(tc.status))
			g.Expect(r.outcome()).To(Equal(tc.outcome))
			g.Expect(r.body).To(ContainSubstring(`"outcome":"` + tc.outcome + `"`))
			g.Expect(agent.submitCount.Load() + other.submitCount.Load()).To(Equal(tc.submits))
		})
	}
}

// Guards against a request without an idempotency key that fails during the graceful shutdown of an agent: its Submit was sent
// before the agent's announcement arrived, so the agent rejects it.
func TestRejectedRequestIsSentToAnotherAgent(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	for _, id := range []string{"agent-1", "agent-2"} {
		newAgent(t, id, "a", "desk", 1).connect(e, func(c *link.Conn, s *message.Submit) {
			if s.Attempt.Number == 1 {
				rejectWith(t, message.ReasonNotServing)(c, s)
				return
			}
			echoBody(t)(c, s)
		})
	}
	g.Expect(call(e, "POST", ordersPath, "bolt").body).To(Equal("bolt"))
}

// Guards against a false not-run outcome: the first attempt failed, so it may have been executed, although later ones were rejected.
func TestOutcomeIncludesEarlierAttempts(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, func(c *link.Conn, s *message.Submit) {
		if s.Attempt.Number == 1 {
			failWith(t, message.ReasonUpstreamError, 0)(c, s)
			return
		}
		rejectWith(t, message.ReasonQueueFull)(c, s)
	})
	r := call(e, "GET", "/stock/bolt", "")
	g.Expect(r.status).To(Equal(502))
	g.Expect(r.outcome()).To(Equal("failed"))
	g.Expect(agent.submitCount.Load()).To(Equal(int32(3)))
}

// Guards against a response to an earlier attempt that is mixed into the response to a later one.
func TestLateResponseToEarlierAttemptIsDropped(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	done := callAsync(e, "GET", "/stock/bolt", "")
	conn, first := agent.nextSubmit()
	send(t, conn, &message.ResponseHead{Attempt: first.Attempt, Status: 200},
		&message.ResponseBody{Attempt: first.Attempt, Data: []byte("old")})
	send(t, conn, &message.ResponseEnd{Attempt: first.Attempt, Outcome: message.OutcomeFailed})
	conn, second := agent.nextSubmit()
	g.Expect(second.Attempt.Number).To(Equal(2))
	send(t, conn, responseMessages(first.Attempt, "late")...)
	send(t, conn, responseMessages(second.Attempt, "new")...)
	g.Expect((<-done).body).To(Equal("new"))
}

// Guards against responses that reach the wrong caller when they arrive interleaved on one link.
func TestInterleavedResponsesReachTheirCallers(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	a, b := callAsync(e, "POST", ordersPath, "A"), callAsync(e, "POST", ordersPath, "B")
	conn, first := agent.nextSubmit()
	_, second := agent.nextSubmit()
	toFirst, toSecond := responseMessages(first.Attempt, "for "+string(first.Body)),
		responseMessages(second.Attempt, "for "+string(second.Body))
	send(t, conn, toSecond[0], toFirst[0], toFirst[1], toSecond[1], toSecond[2], toFirst[2])
	g.Expect((<-a).body).To(Equal("for A"))
	g.Expect((<-b).body).To(Equal("for B"))
}

// Guards against a wrong outcome after the link to the agent is lost while a non-idempotent request is in progress.
func TestOutcomeAfterLostLink(t *testing.T) {
	for _, tc := range []struct {
		name        string
		replyState  message.AttemptState
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
			done := callAsync(e, "POST", ordersPath, "bolt")
			conn, submit := agent.nextSubmit()
			conn.Close()
			reconnected := newAgent(t, "agent-1", "a", "desk", tc.incarnation)
			reconnected.connect(e, rejectWith(t, message.ReasonNotServing))
			if tc.incarnation == 1 {
				r := reconnected.nextMessage()
				g.Expect(r.m).To(Equal(&message.Query{Attempt: submit.Attempt, AgentIncarnation: 1}))
				send(t, r.conn, &message.QueryReply{Attempt: submit.Attempt, State: tc.replyState, Outcome: message.OutcomeOK})
			}
			g.Expect((<-done).outcome()).To(Equal(tc.outcome))
			// Only an attempt that the agent has revoked may be retried.
			g.Expect(agent.submitCount.Load() + reconnected.submitCount.Load()).To(Equal(tc.submits))
		})
	}
}

// Guards against a request that waits on a connection that is open but silent. The agent blocks in its message handler, so that it
// does not reply to probes, and sends no heartbeats.
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
	g.Eventually(func() bool { _, ok := e.Table().Upstream("agent-1"); return ok }, waitTimeout).Should(BeTrue())
	silent, _ := e.Table().Upstream("agent-1")
	done := callAsync(e, "POST", ordersPath, "bolt")
	g.Eventually(silent.Conn.Done(), waitTimeout).Should(BeClosed())
	agent.connect(e, rejectWith(t, message.ReasonNotServing))
	query := agent.nextMessage()
	send(t, query.conn, &message.QueryReply{Attempt: query.m.(*message.Query).Attempt, State: message.AttemptRevoked})
	g.Expect((<-done).outcome()).To(Equal("not-run"))
}

// Guards against a forwarded attempt that is executed after this entry has reported it as revoked, and against one that is executed
// twice.
func TestForwardedAttemptIsRevokedOrExecutedOnce(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, echoBody(t))
	forwardingEntry := newAgent(t, "entry-9", "b", "", 1)
	forwardingEntry.hello.Role = message.RoleEntry
	conn, err := link.Dial(context.Background(), e.LinkAddress(), forwardingEntry.hello, link.Config{Secret: []byte(secret)},
		func() message.Heartbeat { return message.Heartbeat{} })
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() {
		_ = conn.Serve(context.Background(), func(c *link.Conn, m message.Message) {
			switch m.(type) {
			case *message.Heartbeat, *message.PeerView:
			default:
				forwardingEntry.messages <- receivedMessage{c, m}
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
	g.Expect(forwardingEntry.nextMessage().m).To(Equal(&message.QueryReply{Attempt: late.Attempt, State: message.AttemptRevoked}))
	send(t, conn, late)
	g.Expect(forwardingEntry.nextMessage().m).To(Equal(&message.Reject{Attempt: late.Attempt, Reason: message.ReasonRevoked}))
	once := submit("once")
	send(t, conn, once)
	for range 3 {
		forwardingEntry.nextMessage() // The response: head, body, end.
	}
	send(t, conn, once)
	send(t, conn, &message.Query{Attempt: once.Attempt, AgentIncarnation: e.Hello().Incarnation})
	g.Expect(forwardingEntry.nextMessage().m).To(Equal(
		&message.QueryReply{Attempt: once.Attempt, State: message.AttemptDone, Outcome: message.OutcomeOK}))
	send(t, conn, &message.Query{Attempt: once.Attempt, AgentIncarnation: 1})
	g.Expect(forwardingEntry.nextMessage().m).To(Equal(&message.QueryReply{Attempt: once.Attempt, State: message.AttemptUnknown}))
	g.Expect(agent.submitCount.Load()).To(Equal(int32(1)))
}

// Guards against an idempotent request that fails when the link to its agent is lost, although another agent can serve it.
func TestIdempotentRequestIsRetriedOnAnotherAgent(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	lostAgent := newAgent(t, "agent-1", "a", "desk", 1)
	lostAgent.connect(e, nil)
	done := callAsync(e, "GET", "/stock/bolt", "")
	conn, _ := lostAgent.nextSubmit()
	other := newAgent(t, "agent-2", "a", "desk", 1)
	other.connect(e, func(c *link.Conn, s *message.Submit) { send(t, c, responseMessages(s.Attempt, "7")...) })
	conn.Close()
	g.Expect((<-done).body).To(Equal("7"))
}

// Guards against a request that continues after its deadline, and against a not-run outcome although it may have been executed.
func TestExpiredDeadlineYieldsUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	applyConfig(g, e, 2, func(c *config.Config) { c.Limits.RequestTimeout = config.Duration(100 * time.Millisecond) })
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	r := call(e, "GET", "/stock/bolt", "")
	g.Expect(r.status).To(Equal(504))
	g.Expect(r.outcome()).To(Equal("unknown"))
	_, submit := agent.nextSubmit()
	g.Expect(agent.nextMessage().m).To(Equal(&message.Cancel{Attempt: submit.Attempt}))
	g.Expect(agent.submitCount.Load()).To(Equal(int32(1)))
}
