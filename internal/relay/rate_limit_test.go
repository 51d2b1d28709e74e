package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// limitedResponse returns a script that answers and names a limit of perSecond requests.
func limitedResponse(perSecond string) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nLimit: %s\r\nContent-Length: 4\r\n\r\nfine",
			req.Header.Get("Id"), perSecond)
	}
}

// Guards against an upstream that gets more requests than the limit that it names, while another one could take them, and against
// requests that are refused although there is another one.
func TestUpstreamGetsNoMoreThanItsRateLimit(t *testing.T) {
	g := NewWithT(t)
	const limit, seconds = 2, 3
	limited, free := newUpstream(t, "limited", limitedResponse("2")), newUpstream(t, "free", respondOK)
	e := newEntry(t, limited, free)
	for i := 0; len(limited.requests()) == 0 && i < 100; i++ {
		e.send(context.Background(), "/look/first", nil)
	}
	before := len(limited.requests())
	g.Expect(before).NotTo(BeZero())
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(len(limited.requests()) - before).To(BeNumerically("<=", limit*seconds+1))
}

// Guards against requests that wait, or exceed the limit, while all upstreams have reached their limits: they are refused at once, with the
// time after which there is room.
func TestRequestsBeyondAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	limited := newUpstream(t, "limited", limitedResponse("1"))
	e := newEntry(t, limited)
	g.Expect(e.send(context.Background(), "/look/first", nil).status).To(Equal(http.StatusOK))
	refused := 0
	for range 20 {
		result := e.send(context.Background(), "/look/1", nil)
		if result.status == http.StatusOK {
			continue
		}
		refused++
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(result.body).To(ContainSubstring(`"code":"rate-limit","outcome":"not-run"`))
		g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(result.elapsed).To(BeNumerically("<", 200*time.Millisecond))
	}
	g.Expect(refused).To(BeNumerically(">=", 18))
	g.Expect(len(limited.requests())).To(BeNumerically("<=", 3))
}

// Guards against a limit that is lifted by a response whose limit cannot be read.
func TestUnreadableLimitLiftsNone(t *testing.T) {
	g := NewWithT(t)
	var responses atomic.Int32
	limited := newUpstream(t, "limited", func(nc net.Conn, req *http.Request) {
		if responses.Add(1) == 1 {
			limitedResponse("5")(nc, req)
			return
		}
		limitedResponse("5,0")(nc, req)
	})
	e := newEntry(t, limited)
	const seconds = 2
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		e.send(context.Background(), "/look/1", nil)
	}
	g.Expect(len(limited.requests())).To(And(BeNumerically(">", 2), BeNumerically("<=", 5*seconds+3)))
}
