package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shutDown makes the entry end its requests after the given time.
func (e *entry) shutDown(after time.Duration) {
	until := time.Now().Add(after)
	e.servedUntil.Store(&until)
}

// setTimeouts sets the timeout of all routes.
func (e *entry) setTimeouts(timeout time.Duration) {
	config := *e.state.Snapshot().Index.Config
	config.Version, config.Routes = config.Version+1, slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout = timeout
	}
	e.state.ApplyConfig(&config, 100)
}

const (
	// longTimeout is a timeout that does not pass within a test.
	longTimeout = 20 * time.Second
	// gracePeriod is the grace period of the entries that the tests assume. finalAnswerTime is the part of it between the end of the requests
	// and the end of the connections: package directpath ends the former after 0.88 and the latter after 0.92 of the period.
	gracePeriod     = 50 * time.Second
	finalAnswerTime = gracePeriod * (92 - 88) / 100
)

// withLongTimeout makes a caller wait for longTimeout.
func withLongTimeout(r *http.Request) {
	r.Header.Set("Wait", strconv.FormatInt(longTimeout.Milliseconds(), 10))
}

// Guards against a request that is taken although it may not end before the process does, and against one that is refused although requests
// of its class end in time.
func TestShuttingDownEntryTakesOnlyWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	const duration = 200 * time.Millisecond
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		time.Sleep(duration)
		respondOK(nc, req)
	})
	e := newEntry(t, u)
	e.setTimeouts(longTimeout)
	send := func() callResult { return e.send(context.Background(), "/order/", withLongTimeout) }
	expectRefused := func() {
		before := totalRequests(u)
		a := send()
		g.Expect(a.status).To(Equal(503))
		g.Expect(a.body).To(ContainSubstring(`"code":"shutting-down","outcome":"not-run"`))
		g.Expect(a.closes).To(BeTrue())
		g.Expect(a.header.Get("Retry-After")).To(Equal("0.10"))
		g.Expect(totalRequests(u)).To(Equal(before))
	}
	// Time that passes before a request arrives only shortens the rest of the service, so that no delay turns a refusal into an acceptance.
	e.shutDown(longTimeout - time.Millisecond)
	expectRefused() // No duration is known.

	e.shutDown(time.Minute)
	g.Expect(send().status).To(Equal(200), "it times out before the end")
	e.shutDown(longTimeout - time.Millisecond)
	a := send()
	g.Expect(a.status).To(Equal(200), "requests of this class end in time")
	g.Expect(a.closes).To(BeTrue())
	e.shutDown(duration + duration/4)
	expectRefused() // The longest recent request took at least four fifths of this.
	e.shutDown(-time.Millisecond)
	expectRefused()
}

// readStream sends a request whose response is a stream, closes began when the first event has arrived, and returns the error that ends the
// stream, nil if it is complete.
func (e *entry) readStream(path string, began chan<- struct{}) error {
	req, err := http.NewRequest(http.MethodPost, e.url+path, strings.NewReader("body"))
	if err != nil {
		return err
	}
	req.Host = e.host
	req.Header.Set("Id", "streamed")
	req.Header.Set("Key", "k")
	withLongTimeout(req)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(event(1)))); err != nil {
		return err
	}
	close(began)
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against requests that get no answer because the process ends, against a refusal of one that may have run, and against a stream
// that looks complete although it was ended.
func TestShutdownEndsRequestsWithAFinalAnswer(t *testing.T) {
	g := NewWithT(t)
	held := make(chan struct{})
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		if req.URL.Path == "/long/" {
			streamHead(nc, req)
			chunk(nc, event(1))
		}
		<-held
	})
	e := newEntry(t, u)
	t.Cleanup(func() { close(held) }) // Runs before the relay is closed, which waits for its requests.
	e.setTimeouts(longTimeout)
	answers := map[string]chan callResult{"/order/": make(chan callResult, 1), "/look/": make(chan callResult, 1)}
	for path, answer := range answers {
		go func() { answer <- e.send(context.Background(), path, withLongTimeout) }()
	}
	began, streamEnd := make(chan struct{}), make(chan error, 1)
	go func() { streamEnd <- e.readStream("/long/", began) }()
	g.Eventually(began, "10s").Should(BeClosed())
	g.Eventually(func() int { return totalRequests(u) }, "10s").Should(Equal(3))
	e.shutDown(0)
	ended := time.Now()
	e.relay.EndRequests()
	for path, answer := range answers {
		var a callResult
		g.Eventually(answer, finalAnswerTime-time.Since(ended)).Should(Receive(&a), path)
		g.Expect(a.status).To(Equal(502), path)
		g.Expect(a.body).To(ContainSubstring(`"code":"shutting-down","outcome":"unknown"`), path)
		g.Expect(a.closes).To(BeTrue(), path)
	}
	var streamErr error
	g.Eventually(streamEnd, finalAnswerTime-time.Since(ended)).Should(Receive(&streamErr))
	g.Expect(streamErr).To(HaveOccurred(), "the response that had begun is not complete")
}

// Guards against a request that is passed on after the requests in progress were ended.
func TestRequestAfterTheEndOfAShutdownIsRefused(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", respondOK)
	e := newEntry(t, u)
	e.shutDown(time.Minute)
	e.relay.EndRequests()
	g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(503))
	g.Expect(totalRequests(u)).To(BeZero())
}

// Guards against a leaving entry that takes a request because the few of its class that were served took little time, while others of the
// class ran until their deadline.
func TestRequestsThatTimedOutCountForTheTimeToShutDown(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		if req.Header.Get("Slow") == "" {
			respondOK(nc, req)
		}
	})
	e := newEntry(t, u)
	g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(200))
	g.Expect(e.send(context.Background(), "/order/", func(r *http.Request) { r.Header.Set("Slow", "1") }).status).To(Equal(504))
	sent := totalRequests(u)
	e.shutDown(900 * time.Millisecond)
	g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(503))
	g.Expect(totalRequests(u)).To(Equal(sent))
}

// Guards against a stream that is cut while requests whose response has not begun are answered: it may end before the process does.
func TestStreamThatHasBegunOutlastsTheFinalAnswers(t *testing.T) {
	g := NewWithT(t)
	resume, held := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(held) })
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		if req.URL.Path != "/stream/" {
			<-held
			return
		}
		streamHead(nc, req)
		chunk(nc, event(1))
		<-resume
		chunk(nc, event(2))
		_, _ = nc.Write([]byte("0\r\n\r\n"))
	})
	e := newEntry(t, u)
	stream, order := make(chan callResult, 1), make(chan callResult, 1)
	go func() { stream <- e.send(context.Background(), "/stream/", nil) }()
	go func() { order <- e.send(context.Background(), "/order/", nil) }()
	g.Eventually(func() int { return totalRequests(u) }, "5s").Should(Equal(2))
	time.Sleep(100 * time.Millisecond) // The first event reaches the caller.
	e.shutDown(0)
	e.relay.AnswerRequests()
	g.Expect((<-order).status).To(Equal(502))
	g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(503))
	close(resume)
	a := <-stream
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2)))
}

// Guards against a request that is taken during a shutdown and cut at its end because its upstream fell silent for a second: the time that
// it was expected to take had no room for that.
func TestShuttingDownEntryAllowsForSilence(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", respondOK)
	e := newEntry(t, u)
	e.setTimeouts(longTimeout)
	send := func() callResult { return e.send(context.Background(), "/order/", withLongTimeout) }
	g.Expect(send().status).To(Equal(200))
	e.shutDown(1400 * time.Millisecond)
	g.Expect(send().status).To(Equal(503))
	e.shutDown(5 * time.Second)
	g.Expect(send().status).To(Equal(200))
}

// Guards against a long answer that ends with the text of a refusal and looks complete, because a shutdown ended its request between its first
// part and the head of the response.
func TestShutdownDoesNotCutALongAnswerThatBegins(t *testing.T) {
	g := NewWithT(t)
	const size = 1 << 20
	var e *entry
	responded := make(chan struct{})
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Id"), size)
		_, _ = io.WriteString(nc, strings.Repeat("x", size*3/4))
		close(responded)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(nc, strings.Repeat("x", size/4))
	})
	e = newEntryWithCodec(t, codec{checked: func() {
		select {
		case <-responded:
			e.relay.AnswerRequests()
			time.Sleep(100 * time.Millisecond) // It takes effect in another goroutine.
		default:
		}
	}}, u)
	a := e.send(context.Background(), "/search/", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(HaveLen(size))
}
