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
	e.announceProcess(u, 1, 1)
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
	e.announceProcess(other, 1, 1)
	close(resume)
	var answer callResult
	g.Eventually(result, "5s").Should(Receive(&answer))
	g.Expect(answer.status).To(Equal(200))
	g.Expect(leaving.requests()).To(HaveLen(1))
	g.Expect(other.requests()).To(HaveLen(1))
}

// announceProcess announces a process of an upstream.
func (e *entry) announceProcess(u *upstream, startedAtMillis, sequence int64) {
	e.state.ApplyUpstream(fleet.UpstreamRecord{ID: u.id, Revision: 100 + sequence, Announcement: &catalog.Upstream{ID: u.id, Service: "s",
		Address: u.addr, DataCentre: "z", State: catalog.Ready, Slots: 6, StartedAtMillis: startedAtMillis, Sequence: sequence}})
}

// Guards against an upstream that is held back by what another upstream says, which had its address for some time.
func TestStatementOfAnotherUpstreamIsIgnored(t *testing.T) {
	g := NewWithT(t)
	var returned atomic.Bool
	u := newUpstream(t, "u", func(nc net.Conn, req *http.Request) {
		if returned.Load() {
			respondOK(nc, req)
			return
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 421 x\r\nId: %s\r\nInstance: another\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
			req.Header.Get("Id"))
	})
	e := newEntry(t, u)
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(503))
	returned.Store(true)
	e.announceProcess(u, 0, 1)
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
}

// pauseFirst returns a script that refuses the first request and asks for a pause, and answers all others. Requests that arrive in the
// pause are counted in early.
func pauseFirst(pause time.Duration, early *atomic.Int32) func(net.Conn, *http.Request) {
	var until atomic.Pointer[time.Time]
	return func(nc net.Conn, req *http.Request) {
		end := time.Now().Add(pause)
		if until.CompareAndSwap(nil, &end) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nPause: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"), pause)
			return
		}
		if time.Now().Before(*until.Load()) {
			early.Add(1)
		}
		respondOK(nc, req)
	}
}

// Guards against requests to an upstream that has asked for a pause, against requests that fail although another upstream could take them,
// and against an upstream that stays without requests after its pause.
func TestPausingUpstreamGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	var early atomic.Int32
	pausing := newUpstream(t, "pausing", pauseFirst(time.Second, &early))
	e := newEntry(t, pausing, newUpstream(t, "other", respondOK))
	g.Eventually(func() int {
		g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
		return len(pausing.requests())
	}, "10s", "5ms").Should(BeNumerically(">", 20))
	g.Expect(early.Load()).To(BeZero())
}

// Guards against callers that wait while all upstreams pause, and against callers that are told to come back before the end of the pause.
func TestRequestsAreRefusedAtOnceWhileAllUpstreamsPause(t *testing.T) {
	g := NewWithT(t)
	const pause = 2 * time.Second
	var early atomic.Int32
	e := newEntry(t, newUpstream(t, "u", pauseFirst(pause, &early)))
	paused := time.Now()
	var retryAfter float64
	for range 5 {
		result := e.send(context.Background(), "/long/1", func(r *http.Request) { r.Header.Set("Wait", "15000") })
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(result.body).To(ContainSubstring(`"code":"upstreams-pause","outcome":"not-run"`))
		_, err := fmt.Sscan(result.header.Get("Retry-After"), &retryAfter)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(paused).Seconds()+retryAfter).To(BeNumerically(">", pause.Seconds()-0.01), "a hundredth is lost by rounding")
		g.Expect(retryAfter).To(BeNumerically("<", pause.Seconds()+1.5))
		g.Expect(result.elapsed).To(BeNumerically("<", time.Second))
	}
	time.Sleep(time.Duration((retryAfter + 0.02) * float64(time.Second))) // A hundredth is lost by rounding.
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
	g.Expect(early.Load()).To(BeZero())
}

// Guards against callers that are told to come back within the pauses that the last upstreams to be tried have just asked for.
func TestCallerIsToldThePauseOfTheUpstreamsThatDeclined(t *testing.T) {
	g := NewWithT(t)
	const pause = 3 * time.Second
	var early atomic.Int32
	var upstreams []*upstream
	for i := range 4 { // as many as a request is sent to
		upstreams = append(upstreams, newUpstream(t, fmt.Sprint("u", i), pauseFirst(pause, &early)))
	}
	e := newEntry(t, upstreams...)
	result := e.send(context.Background(), "/long/1", func(r *http.Request) { r.Header.Set("Wait", "15000") })
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(result.body).To(ContainSubstring(`"code":"upstreams-declined","outcome":"not-run"`))
	var retryAfter float64
	_, err := fmt.Sscan(result.header.Get("Retry-After"), &retryAfter)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.elapsed.Seconds()+retryAfter).To(BeNumerically(">", pause.Seconds()-0.01), "a hundredth is lost by rounding")
}

// Guards against an upstream that is held back because an earlier process with its ID and address has asked for a pause.
func TestRestartedUpstreamDoesNotPause(t *testing.T) {
	g := NewWithT(t)
	var early atomic.Int32
	u := newUpstream(t, "u", pauseFirst(time.Hour, &early))
	e := newEntry(t, u)
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(503))
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(503))
	e.announceProcess(u, 1, 1)
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(200))
}

// Guards against a request that is sent to an upstream although the upstream has asked for a pause after the request was placed there.
func TestPlacedRequestIsNotSentToPausingUpstream(t *testing.T) {
	g := NewWithT(t)
	var early atomic.Int32
	u := newUpstream(t, "u", pauseFirst(time.Hour, &early))
	held, resume := make(chan struct{}), make(chan struct{})
	e := newEntryWithCodec(t, codec{prepared: func(h http.Header) {
		if h.Get("Id") == "held" {
			close(held)
			<-resume
		}
	}}, u)
	result := make(chan callResult, 1)
	go func() {
		result <- e.send(context.Background(), "/stream/1", func(r *http.Request) { r.Header.Set("Id", "held") })
	}()
	g.Eventually(held, "5s").Should(BeClosed())
	g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(503))
	close(resume)
	var answer callResult
	g.Eventually(result, "5s").Should(Receive(&answer))
	g.Expect(answer.status).To(Equal(503))
	g.Expect(answer.body).To(ContainSubstring(`"code":"upstreams-pause","outcome":"not-run"`))
	g.Expect(u.requests()).To(HaveLen(1))
}
