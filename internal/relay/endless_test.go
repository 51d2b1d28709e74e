package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// sendEndlessly returns a script that sends the head of a response with the given status line and header lines, and then part without end,
// with a pause after each. It ends when the connection is closed.
func sendEndlessly(head, part string, pause time.Duration) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %s\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", head, req.Header.Get("Id"))
		for err == nil {
			_, err = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
			time.Sleep(pause)
		}
	}
}

// trackClose returns script and a channel that receives a value whenever script has returned.
func trackClose(script func(net.Conn, *http.Request)) (tracked func(net.Conn, *http.Request), closed <-chan struct{}) {
	ended := make(chan struct{}, 100)
	return func(nc net.Conn, req *http.Request) {
		script(nc, req)
		_ = nc.Close()
		ended <- struct{}{}
	}, ended
}

// Guards against waiting for the end of the body of a refusal: a request that another upstream could have served was reported as
// possibly run after its deadline.
func TestEndlessBodyOfRefusalIsNotRead(t *testing.T) {
	for name, pause := range map[string]time.Duration{"slow": 10 * time.Millisecond, "fast": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script, closed := trackClose(sendEndlessly("503 x\r\nNot-Run: 1", strings.Repeat("x", 100), pause))
			full, free := newUpstream(t, "u1", script), newUpstream(t, "u2", respondOK)
			e := newEntry(t, full, free)
			for i := 0; len(full.requests()) == 0 && i < 64; i++ {
				a := e.send(context.Background(), "/order/", nil)
				g.Expect(a.status).To(Equal(200))
				g.Expect(a.elapsed).To(BeNumerically("<", 700*time.Millisecond))
			}
			g.Eventually(closed, "2s").Should(Receive())
			alone := newEntry(t, newUpstream(t, "u1", script))
			g.Expect(alone.send(context.Background(), "/order/", nil).status).To(Equal(503))
		})
	}
}

// Guards against bytes that form no new event and keep a stream open: before the first event, after it, as parts of an event without
// end, as comments, as events without an ID, and as events that the caller has received.
func TestStreamWithoutNewEventsResumes(t *testing.T) {
	const pause = 100 * time.Millisecond
	for name, c := range map[string]struct{ prefix, part string }{
		"no event":              {"", "x"},
		"event without end":     {event(1) + event(2) + "id: 3\ndata: ", "x"},
		"comments":              {event(1), ": x\n\n"},
		"events without an ID":  {event(1), "data: x\n\n"},
		"events received twice": {event(1) + event(2), event(1)},
		"no event with an ID":   {"", "data: x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			script, closed := trackClose(func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				if c.prefix != "" {
					chunk(nc, c.prefix)
				}
				for err := error(nil); err == nil; {
					_, err = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(c.part), c.part)
					time.Sleep(pause)
				}
			})
			failing, healthy := newUpstream(t, "u1", script), newUpstream(t, "u2", streamUpTo(5))
			e := newEntry(t, failing, healthy)
			for i := 0; len(failing.requests()) == 0 && i < 64; i++ {
				a := e.send(context.Background(), "/long/", func(r *http.Request) { r.Header.Set("Wait", "20000") })
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.elapsed).To(BeNumerically("<", 10*time.Second))
				for id := 1; id <= 5; id++ {
					g.Expect(strings.Count(a.body, event(id))).To(Equal(1), "event %d", id)
				}
			}
			g.Eventually(closed, "2s").Should(Receive())
		})
	}
}

// Guards against taking a stream whose events have no IDs for a stalled one.
func TestStreamOfEventsWithoutIDs(t *testing.T) {
	g := NewWithT(t)
	const part, count = "data: x\n\n", 5
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		streamHead(nc, req)
		for range count {
			chunk(nc, part)
			time.Sleep(200 * time.Millisecond)
		}
		_, _ = nc.Write([]byte("0\r\n\r\n"))
	})
	a := newEntry(t, u).send(context.Background(), "/once/", func(r *http.Request) { r.Header.Set("Wait", "20000") })
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(strings.Repeat(part, count)))
}

// Guards against running a request on more upstreams than its route allows because bytes that are no response are taken for the end of an
// upstream: only a run on an upstream that has ended does not count.
func TestMalformedResponsesCountAsRuns(t *testing.T) {
	garbage := func(nc net.Conn, _ *http.Request) {
		for err := error(nil); err == nil; {
			_, err = nc.Write(bytes.Repeat([]byte("no response at all\r\n"), 1000))
		}
	}
	const signed = "200 x\r\nStamp: s"
	for name, c := range map[string]struct {
		path   string
		script func(net.Conn, *http.Request)
	}{
		"garbage": {"/look/", garbage},
		"head without end": {"/look/", func(nc net.Conn, _ *http.Request) {
			_, err := nc.Write([]byte("HTTP/1.1 200 OK\r\n"))
			for err == nil {
				_, err = nc.Write(bytes.Repeat([]byte("Name: value\r\n"), 1000))
			}
		}},
		"interim responses": {"/look/", func(nc net.Conn, _ *http.Request) {
			for err := error(nil); err == nil; {
				_, err = nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		}},
		"chunks": {"/look/", func(nc net.Conn, req *http.Request) {
			_, err := fmt.Fprintf(nc, "HTTP/1.1 %s\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", signed, req.Header.Get("Id"))
			for err == nil {
				_, err = nc.Write([]byte("no chunk\r\n"))
			}
		}},
		"event without end": {"/stream/", sendEndlessly(signed+"\r\nContent-Type: text/event-stream", strings.Repeat("x", 1000), 0)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script, closed := trackClose(c.script)
			u1, u2, u3 := newUpstream(t, "u1", script), newUpstream(t, "u2", script), newUpstream(t, "u3", script)
			a := newEntry(t, u1, u2, u3).send(context.Background(), c.path, nil)
			g.Expect(a.status).To(Equal(502))
			g.Expect(totalRequests(u1, u2, u3)).To(Equal(2), "the route allows two")
			for range 2 {
				g.Eventually(closed, "2s").Should(Receive())
			}
			u1, u2 = newUpstream(t, "u1", script), newUpstream(t, "u2", script)
			a = newEntry(t, u1, u2).send(context.Background(), "/order/", nil)
			g.Expect(a.status).To(Equal(502))
			g.Expect(totalRequests(u1, u2)).To(Equal(1), "an order may run once")
		})
	}
}

// Guards against forwarding a response without end until the deadline of the request, and against one that looks complete afterwards.
func TestResponseOverTheSizeLimitIsAborted(t *testing.T) {
	const maxResponseBytes = 64 << 20
	const signed = "200 x\r\nStamp: s"
	for name, head := range map[string]string{"body": signed, "events without an ID": signed + "\r\nContent-Type: text/event-stream"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script, closed := trackClose(sendEndlessly(head, strings.Repeat("data: x\n\n", 10_000), 0))
			u := newUpstream(t, "u1", script)
			a := newEntry(t, u).send(context.Background(), "/once/", func(r *http.Request) { r.Header.Set("Wait", "20000") })
			g.Expect(a.err).To(HaveOccurred())
			g.Expect(len(a.body)).To(BeNumerically("<=", maxResponseBytes))
			g.Expect(totalRequests(u)).To(Equal(1))
			g.Eventually(closed, "2s").Should(Receive())
		})
	}
}

// Guards against a second response that is appended to one which has begun: only a stream of events can be resumed.
func TestBrokenResponseOfStreamRouteIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	const bufferedBytes = 512 << 10 // The relay forwards a response once it has read this much.
	script := func(nc net.Conn, req *http.Request) {
		const head = "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
		_, _ = fmt.Fprintf(nc, head, req.Header.Get("Id"))
		chunk(nc, strings.Repeat("x", bufferedBytes+1))
		time.Sleep(50 * time.Millisecond)
		_ = nc.Close()
	}
	u1, u2 := newUpstream(t, "u1", script), newUpstream(t, "u2", script)
	a := newEntry(t, u1, u2).send(context.Background(), "/stream/", nil)
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(len(a.body)).To(BeNumerically("<=", bufferedBytes+1))
	g.Expect(totalRequests(u1, u2)).To(Equal(1))
}

// Guards against an upstream that is used again and again although its bodies never end: a deadline that passes within a body is a failure
// of the upstream.
func TestUpstreamWithEndlessBodiesIsAvoided(t *testing.T) {
	for name, wait := range map[string]string{"deadline within the body": "300", "route timeout": "20000"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script, closed := trackClose(sendEndlessly("200 x\r\nStamp: s", "x", 20*time.Millisecond))
			failing, healthy := newUpstream(t, "u1", script), newUpstream(t, "u2", respondOK)
			e := newEntry(t, failing, healthy)
			order := func() callResult {
				return e.send(context.Background(), "/order/", func(r *http.Request) { r.Header.Set("Wait", wait) })
			}
			const failuresUntilAvoided, requestsWhileAvoided = 2, 10
			for i := 0; len(failing.requests()) < failuresUntilAvoided && i < 64; i++ {
				before := len(failing.requests())
				if a := order(); len(failing.requests()) > before {
					g.Expect(a.status).To(Equal(504))
				}
			}
			for range requestsWhileAvoided {
				g.Expect(order().status).To(Equal(200))
			}
			g.Expect(failing.requests()).To(HaveLen(failuresUntilAvoided))
			for range failuresUntilAvoided {
				g.Eventually(closed, "2s").Should(Receive())
			}
		})
	}
}
