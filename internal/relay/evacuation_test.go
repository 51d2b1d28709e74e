package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// evacuate begins or ends the evacuation of a data centre, at a revision of the store.
func (e *entry) evacuate(dataCentre string, active bool, revision int64) {
	e.state.ApplyEvacuation(fleet.EvacuationRecord{DataCentre: dataCentre, Active: active, Observed: active, Revision: revision})
}

// moveTo announces an upstream in a data centre.
func (e *entry) moveTo(dataCentre string, u *upstream, revision int64) {
	e.state.ApplyUpstream(fleet.UpstreamRecord{ID: u.id, Revision: revision, Announcement: &catalog.Upstream{ID: u.id, Service: "s",
		Address: u.addr, DataCentre: dataCentre, State: catalog.Ready, Slots: 6, StartedAtMillis: 1}})
}

// Guards against requests to the upstreams of an evacuated data centre, and against callers that are told another reason, or wait, if there is no
// other upstream.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	near, far := newUpstream(t, "near", respondOK), newUpstream(t, "far", respondOK)
	e := newEntry(t, near, far)
	e.moveTo("z2", far, 100)
	e.evacuate("z", true, 101)
	for _, path := range []string{"/order/1", "/look/1", "/search/1"} {
		g.Expect(e.send(context.Background(), path, nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(near.requests()).To(BeEmpty())
	g.Expect(far.requests()).To(HaveLen(3))
	e.evacuate("z2", true, 102)
	for _, path := range []string{"/order/1", "/look/1", "/stream/1"} {
		result := e.send(context.Background(), path, nil)
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(result.body).To(ContainSubstring(`"code":"evacuated","outcome":"not-run"`))
		g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(result.elapsed).To(BeNumerically("<", 500*time.Millisecond))
	}
	g.Expect(totalRequests(near, far)).To(Equal(3))
	e.evacuate("z", false, 103)
	g.Expect(e.send(context.Background(), "/order/1", nil).status).To(Equal(http.StatusOK))
	g.Expect(near.requests()).To(HaveLen(1))
}

// Guards against a request that is sent to an upstream whose data centre was evacuated after the request was placed there, and against one that
// fails because of that although another upstream can take it.
func TestPlacedRequestIsNotSentToEvacuatedUpstream(t *testing.T) {
	for _, path := range []string{"/order/1", "/look/1", "/stream/1"} {
		g := NewWithT(t)
		near, far := newUpstream(t, "near", respondOK), newUpstream(t, "far", respondOK)
		held, resume := make(chan struct{}), make(chan struct{})
		e := newEntryWithCodec(t, codec{prepared: func(h http.Header) {
			if h.Get("For") == near.id {
				close(held)
				<-resume
			}
		}}, near)
		result := make(chan callResult, 1)
		go func() { result <- e.send(context.Background(), path, nil) }()
		g.Eventually(held, "5s").Should(BeClosed())
		e.moveTo("z2", far, 100)
		e.evacuate("z", true, 101)
		close(resume)
		var answer callResult
		g.Eventually(result, "5s").Should(Receive(&answer))
		g.Expect(answer.status).To(Equal(http.StatusOK))
		g.Expect(near.requests()).To(BeEmpty())
		g.Expect(far.requests()).To(HaveLen(1))
	}
}

// Guards against a request that is sent over a connection which opens only after the data centre of its upstream was evacuated: it waits in the
// upstream's queue of connections, and goes elsewhere.
func TestRequestInQueueOfConnectionsOfEvacuatedUpstreamGoesElsewhere(t *testing.T) {
	for _, path := range []string{"/search/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			near := serveUpstream(t, "near", listenLate(t, 400*time.Millisecond), respondOK)
			far := serveUpstream(t, "far", listenLate(t, 1300*time.Millisecond), respondOK)
			e := newEntry(t, near)
			result := make(chan callResult, 1)
			go func() { result <- e.send(context.Background(), path, nil) }()
			time.Sleep(200 * time.Millisecond) // The connection is in the queue, and no other upstream is known.
			e.evacuate("z", true, 101)
			e.moveTo("z2", far, 102)
			var answer callResult
			g.Eventually(result, "5s").Should(Receive(&answer))
			g.Expect(near.requests()).To(BeEmpty(), "its connection has opened before that of the other one")
			g.Expect(answer.status).To(Equal(http.StatusOK))
			g.Expect(far.requests()).To(HaveLen(1))
		})
	}
}

// Guards against streams that end because their data centre is evacuated while they are in progress, and against one that breaks off then and is
// resumed there.
func TestStreamInProgressContinuesInAnEvacuatedDataCentre(t *testing.T) {
	for name, breaks := range map[string]bool{"goes on": false, "breaks off": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			began, resume := make(chan struct{}), make(chan struct{})
			near := newUpstream(t, "near", func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, event(1))
				close(began)
				<-resume
				if breaks {
					_ = nc.Close()
					return
				}
				chunk(nc, event(2))
				_, _ = io.WriteString(nc, "0\r\n\r\n")
			})
			far := newUpstream(t, "far", streamUpTo(2))
			e := newEntry(t, near)
			result := make(chan callResult, 1)
			go func() { result <- e.send(context.Background(), "/long/1", nil) }()
			g.Eventually(began, "5s").Should(BeClosed())
			e.moveTo("z2", far, 100)
			e.evacuate("z", true, 101)
			time.Sleep(100 * time.Millisecond)
			close(resume)
			var answer callResult
			g.Eventually(result, "5s").Should(Receive(&answer))
			g.Expect(answer.status).To(Equal(http.StatusOK))
			g.Expect(answer.body).To(Equal(event(1) + event(2)))
			g.Expect(near.requests()).To(HaveLen(1))
			g.Expect(len(far.requests()) == 1).To(Equal(breaks))
		})
	}
}
