package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// atOnce is the time within which a malformed response has ended its attempt; the deadlines of the requests are 1 s and later.
const atOnce = 500 * time.Millisecond

// malformed returns a script that answers with a status, and a body that begins like a response to the request.
func malformed(status string) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		body := fmt.Sprintf("HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Length: 6\r\n\r\nforged", req.Header.Get("Id"))
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s x\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", status, req.Header.Get("Id"), len(body), body)
	}
}

// Guards against a caller that gets the body of an upstream in trouble as its response, and against one that waits until its deadline.
func TestStatusBelow100FailsTheAttempt(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		t.Run(status+" idempotent", func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			bad, good := newUpstream(t, "u1", malformed(status)), newUpstream(t, "u2", respondOK)
			e := newEntry(t, bad, good)
			for i := 0; len(bad.requests()) == 0 && i < 64; i++ {
				r := e.send(context.Background(), "/look/", nil)
				g.Expect(r.err).NotTo(HaveOccurred())
				g.Expect(r.status).To(Equal(200))
				g.Expect(r.body).To(Equal("fine"))
				g.Expect(r.elapsed).To(BeNumerically("<", atOnce))
			}
			g.Expect(bad.requests()).NotTo(BeEmpty())
		})
		t.Run(status+" at most once", func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			bad := newUpstream(t, "u1", malformed(status))
			r := newEntry(t, bad).send(context.Background(), "/order/", nil)
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.status).To(Equal(502))
			g.Expect(r.body).To(ContainSubstring(`"outcome":"unknown"`))
			g.Expect(r.elapsed).To(BeNumerically("<", atOnce))
			g.Expect(bad.requests()).To(HaveLen(1))
		})
		t.Run(status+" stream", func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			bad, good := newUpstream(t, "u1", malformed(status)), newUpstream(t, "u2", streamUpTo(2))
			e := newEntry(t, bad, good)
			for i := 0; len(bad.requests()) == 0 && i < 64; i++ {
				g.Expect(e.send(context.Background(), "/stream/", nil).body).To(Equal(event(1) + event(2)))
			}
			g.Expect(bad.requests()).NotTo(BeEmpty())
		})
	}
}

// Guards against a status of 600 and over that counts as a success, is retried where it must not be, or is not passed on.
func TestStatusFrom600CountsAsAFailure(t *testing.T) {
	for _, status := range []int{600, 999} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fail := func(nc net.Conn, req *http.Request) { respond(nc, req, status, "trouble") }
			bad, good := newUpstream(t, "u1", fail), newUpstream(t, "u2", respondOK)
			e := newEntry(t, bad, good)
			for i := 0; len(bad.requests()) == 0 && i < 64; i++ {
				g.Expect(e.send(context.Background(), "/look/", nil).status).To(Equal(200))
			}
			g.Expect(bad.requests()).NotTo(BeEmpty())
			alone := newEntry(t, newUpstream(t, "u1", fail))
			r := alone.send(context.Background(), "/order/", nil)
			g.Expect(r.status).To(Equal(status))
			g.Expect(r.body).To(Equal("trouble"))
			r = newEntry(t, newUpstream(t, "u1", fail)).send(context.Background(), "/look/", nil)
			g.Expect(r.status).To(Equal(502), "as after a status of 500: no upstream is left for the retry")
		})
	}
}
