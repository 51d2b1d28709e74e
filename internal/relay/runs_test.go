package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// breakOff streams one event and closes the connection.
func breakOff(nc net.Conn, req *http.Request) {
	streamHead(nc, req)
	chunk(nc, event(1))
	time.Sleep(20 * time.Millisecond) // The event is forwarded before the connection ends.
	_ = nc.Close()
}

// Guards against requests that run on more upstreams than their route allows, because the end of a connection was taken for the end of the
// upstream: connections to upstreams that work on may be reset.
func TestResetConnectionsAllowNoMoreRuns(t *testing.T) {
	g := NewWithT(t)
	script := startOrResume(breakOff, func(nc net.Conn, _ *http.Request) { _ = nc.Close() })
	u1, u2, u3 := newUpstream(t, "u1", script), newUpstream(t, "u2", script), newUpstream(t, "u3", script)
	a := newEntry(t, u1, u2, u3).send(context.Background(), "/stream/", nil)
	g.Expect(a.err).To(HaveOccurred(), "the response is not complete")
	g.Expect(totalRequests(u1, u2, u3)).To(Equal(2), "the route allows two runs")
}

// Guards against a stream that is cut although another upstream could continue it, because the run of an upstream that has ended was counted.
func TestRunOfAnUpstreamThatHasEndedDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	ending := make(map[string]net.Listener)
	script := func(id string) func(net.Conn, *http.Request) {
		return func(nc net.Conn, req *http.Request) {
			if req.Header.Get("After") == "2" {
				streamUpTo(3)(nc, req)
				return
			}
			_ = ending[id].Close()
			startOrResume(breakOff, func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, event(2))
				time.Sleep(20 * time.Millisecond) // As in breakOff.
				_ = nc.Close()
			})(nc, req)
		}
	}
	var upstreams []*upstream
	for _, id := range []string{"u1", "u2", "u3"} {
		u, l := listenUpstream(t, id, script(id))
		upstreams, ending[id] = append(upstreams, u), l
	}
	a := newEntry(t, upstreams...).send(context.Background(), "/stream/", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
	g.Expect(totalRequests(upstreams...)).To(Equal(3))
}
