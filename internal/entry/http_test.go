package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against refusals with the wrong status or outcome, and against refused requests that reach an upstream.
func TestRefusedRequestsReachNoUpstream(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, echoBody(t))
	for _, tc := range []struct {
		name, method, path, body string
		header                   []string
		status                   int
	}{
		{"unknown caller", "POST", ordersPath, "", []string{"Authorization", "Bearer other"}, 401},
		{"no key", "POST", ordersPath, "", []string{"Authorization", ""}, 401},
		{"no route", "POST", "/other", "", nil, 404},
		{"method", "PUT", ordersPath, "", nil, 405},
		{"body too large", "POST", ordersPath, strings.Repeat("x", 4097), nil, 413},
		{"header too large", "POST", ordersPath, "", []string{"X-Note", strings.Repeat("x", 4097)}, 431},
		{"unknown priority", "POST", ordersPath, "", []string{"Pimentohead-Priority", "x"}, 400},
		{"no upstream", "POST", chatPath, "{}", nil, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := call(e, tc.method, tc.path, tc.body, tc.header...)
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.status).To(Equal(tc.status))
			var body filter.ErrorBody
			g.Expect(json.Unmarshal([]byte(r.body), &body)).To(Succeed())
			g.Expect(body.Error.Outcome).To(Equal(message.OutcomeNotRun))
			g.Expect(r.outcome()).To(Equal("not-run"))
			g.Expect(r.header.Get("Pimentohead-Request-Id")).To(Equal(body.Error.RequestID))
		})
	}
	g.Expect(agent.submitCount.Load()).To(BeZero())
}

// Guards against executing a request that arrived only in part.
func TestTruncatedRequestsAreRefused(t *testing.T) {
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, echoBody(t))
	head := "POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey + "\r\n"
	for _, tc := range []struct {
		name, text string
		cut        bool
		status     int
	}{
		{"slow body", head + "Content-Length: 9\r\n\r\nhalf", false, 408},
		{"cut body", head + "Content-Length: 9\r\n\r\nhalf", true, 400},
		{"cut chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, 400},
		{"malformed chunks", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", false, 400},
		{"malformed request", "POST\r\n\r\n", false, 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			nc, err := net.Dial("tcp", e.CallerAddress())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, tc.text)
			g.Expect(err).NotTo(HaveOccurred())
			if tc.cut {
				g.Expect(nc.(*net.TCPConn).CloseWrite()).To(Succeed())
			}
			response, err := http.ReadResponse(bufio.NewReader(nc), nil)
			g.Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			g.Expect(response.StatusCode).To(Equal(tc.status))
		})
	}
	NewWithT(t).Expect(agent.submitCount.Load()).To(BeZero())
}

// Guards against a caller that does not read its response and thereby blocks the responses to other callers on the same link, and
// against the failure of responses that are larger than the flow-control window.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	const size = 32 << 20 // Exceeds the socket buffers.
	started := make(chan (<-chan struct{}), 1)
	go func() {
		conn, largeSubmit := agent.nextSubmit()
		started <- sendLargeResponse(t, agent, conn, largeSubmit.Attempt, size)
	}()
	slowResponse, err := http.DefaultTransport.RoundTrip(newRequest(e, "GET", "/stock/large", ""))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = slowResponse.Body.Close() }()
	sent := <-started
	otherResult := callAsync(e, "GET", "/stock/bolt", "")
	conn, smallSubmit := agent.nextSubmit()
	send(t, conn, responseMessages(smallSubmit.Attempt, "7")...)
	g.Expect((<-otherResult).body).To(Equal("7"))
	g.Expect(sent).NotTo(BeClosed())
	n, err := io.Copy(io.Discard, slowResponse.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(int64(size)))
}

// sendLargeResponse sends a response of size bytes and waits for credit whenever the flow-control window is used up. The
// returned channel is closed once all has been sent.
func sendLargeResponse(t *testing.T, agent *fakeAgent, conn *link.Conn, attempt message.Attempt, size int) <-chan struct{} {
	const step = message.InitialCreditBytes / 8
	done := make(chan struct{})
	go func() {
		send(t, conn, &message.ResponseHead{Attempt: attempt, Status: 200})
		window := message.InitialCreditBytes
		for offset := 0; offset < size; offset += step {
			for window < step {
				if credit, ok := agent.nextMessage().m.(*message.Credit); ok && credit.Attempt == attempt {
					window += int(credit.Bytes)
				}
			}
			send(t, conn, &message.ResponseBody{Attempt: attempt, Offset: int64(offset), Data: make([]byte, step)})
			window -= step
		}
		send(t, conn, &message.ResponseEnd{Attempt: attempt, Outcome: message.OutcomeOK, Length: int64(size)})
		close(done)
	}()
	return done
}

// Guards against a stream that breaks off but looks complete to the caller. Responses to HTTP/1.0 end with the connection.
func TestBrokenStreamEndsInErrorEvent(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "assistant", 1)
	agent.connect(e, func(c *link.Conn, s *message.Submit) {
		send(t, c,
			&message.ResponseHead{Attempt: s.Attempt, Status: 200,
				Header: []message.HeaderField{{Name: "Content-Type", Value: "text/event-stream"}}},
			&message.ResponseBody{Attempt: s.Attempt, Data: []byte("data: {}\n\n")},
			&message.ResponseEnd{Attempt: s.Attempt, Outcome: message.OutcomeFailed, Reason: message.ReasonUpstreamCrash, Length: 10,
				UpstreamIncarnation: 1})
	})
	r := call(e, "POST", chatPath, `{"stream":true}`)
	g.Expect(r.err).To(HaveOccurred())
	g.Expect(r.body).To(ContainSubstring("event: error\ndata: {\"error\":{\"code\":\"upstream-crash\""))
	g.Expect(agent.submitCount.Load()).To(Equal(int32(1)))
	nc, err := net.Dial("tcp", e.CallerAddress())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = nc.Close() }()
	_, err = fmt.Fprintf(nc, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: 15\r\n\r\n{\"stream\":true}", chatPath, apiKey)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(nc)
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
}

// Guards against an upstream that continues to work on the request of a caller that has disconnected.
func TestRequestOfDisconnectedCallerIsCancelled(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	nc, err := net.Dial("tcp", e.CallerAddress())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(newRequest(e, "GET", "/stock/bolt", "").Write(nc)).To(Succeed())
	_, submit := agent.nextSubmit()
	g.Expect(nc.Close()).To(Succeed())
	g.Expect(agent.nextMessage().m).To(Equal(&message.Cancel{Attempt: submit.Attempt}))
}

// Guards against caller limits that keep their old values under a new configuration, and against limits that are not enforced.
func TestCallerLimitsFollowTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	e, _ := startEntry(t, "entry-1", "a")
	agent := newAgent(t, "agent-1", "a", "desk", 1)
	agent.connect(e, nil)
	first := callAsync(e, "POST", ordersPath, "1")
	conn, submit := agent.nextSubmit()
	applyConfig(g, e, 2, func(c *config.Config) { c.Callers[0].MaxInFlight = 1 })
	r := call(e, "POST", ordersPath, "2")
	g.Expect(r.status).To(Equal(429))
	g.Expect(r.outcome()).To(Equal("not-run"))
	send(t, conn, responseMessages(submit.Attempt, "1")...)
	g.Expect((<-first).status).To(Equal(200))
	applyConfig(g, e, 3, func(c *config.Config) { c.Callers[0].Rate = 0.001 })
	second := callAsync(e, "POST", ordersPath, "3")
	conn, submit = agent.nextSubmit()
	send(t, conn, responseMessages(submit.Attempt, "3")...)
	g.Expect((<-second).status).To(Equal(200))
	r = call(e, "POST", ordersPath, "4")
	g.Expect(r.status).To(Equal(429))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
}

// applyConfig puts a changed fleetConfig into force.
func applyConfig(g *WithT, e *entry.Entry, revision uint64, change func(*config.Config)) {
	c := fleetConfig()
	change(c)
	g.Expect(e.Holder().Apply(&config.Active{Envelope: config.Envelope{Revision: revision}, Config: c})).To(Succeed())
}
