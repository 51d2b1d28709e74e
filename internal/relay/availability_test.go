package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// leavingAnswer is a successful answer of an upstream that leaves.
func leavingAnswer(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\nfine", req.Header.Get("Id"))
}

// leavingRefusal is the refusal of an upstream that leaves.
func leavingRefusal(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
}

// leavingStream is the stream of an upstream that leaves.
func leavingStream(nc net.Conn, req *http.Request) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
	chunk(nc, event(1))
	_, _ = io.WriteString(nc, "0\r\n\r\n")
}

// Guards against a further request to an upstream that has said in a success, a refusal or a stream that it leaves, and against callers
// that wait, while it is the only upstream, for a refusal that is certain.
func TestLeavingUpstreamGetsOneRequest(t *testing.T) {
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request)
		path   string
		status int
	}{
		"success": {leavingAnswer, "/look/1", 200}, "refusal": {leavingRefusal, "/look/1", 503}, "stream": {leavingStream, "/stream/1", 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := newUpstream(t, "u", c.script)
			e := newEntry(t, u)
			g.Expect(e.send(context.Background(), c.path, nil).status).To(Equal(c.status))
			for range 5 {
				result := e.send(context.Background(), c.path, nil)
				g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(result.body).To(ContainSubstring(`"code":"no-upstream","outcome":"not-run"`))
			}
			g.Expect(u.requests()).To(HaveLen(1))
		})
	}
}

// Guards against an upstream that is held back because an earlier process with its ID or address has said that it leaves.
func TestRestartedUpstreamGetsRequests(t *testing.T) {
	g := NewWithT(t)
	var restarted atomic.Bool
	u := newUpstream(t, "u", func(nc net.Conn, req *http.Request) {
		if restarted.Load() {
			respondOK(nc, req)
			return
		}
		leavingAnswer(nc, req)
	})
	e := newEntry(t, u)
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(503))
	restarted.Store(true)
	e.announceStart(u, time.Now())
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
}

// Guards against a request that is sent to an upstream although the upstream has said, after the request was placed there, that it leaves;
// and against one that fails because of that although another upstream can take it.
func TestPlacedRequestIsNotSentToLeavingUpstream(t *testing.T) {
	g := NewWithT(t)
	leaving, other := newUpstream(t, "leaving", leavingAnswer), newUpstream(t, "other", respondOK)
	held, resume := make(chan struct{}), make(chan struct{})
	e := newEntryWithCodec(t, codec{prepared: func(h http.Header) {
		if h.Get("Id") == "held" && h.Get("For") == leaving.id {
			close(held)
			<-resume
		}
	}}, leaving)
	result := make(chan callResult, 1)
	go func() {
		result <- e.send(context.Background(), "/stream/1", func(r *http.Request) { r.Header.Set("Id", "held") })
	}()
	g.Eventually(held, "5s").Should(BeClosed())
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
	e.announceStart(other, time.Now())
	close(resume)
	var answer callResult
	g.Eventually(result, "5s").Should(Receive(&answer))
	g.Expect(answer.status).To(Equal(200))
	g.Expect(leaving.requests()).To(HaveLen(1))
	g.Expect(other.requests()).To(HaveLen(1))
}

// announceStart announces a process of an upstream that started at the given time.
func (e *entry) announceStart(u *upstream, started time.Time) {
	e.state.ApplyUpstream(fleet.UpstreamRecord{ID: u.id, Revision: 100, Announcement: &catalog.Upstream{ID: u.id, Service: "s",
		Address: u.addr, DataCentre: "z", State: catalog.Ready, Slots: 6, StartedAtMillis: started.UnixMilli()}})
}
