package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/pimentohead/pimentohead/internal/membudget"
)

const (
	kib = 1 << 10
	// callerBuffer is the receive buffer of a caller that reads slowly, in bytes.
	callerBuffer = 16 * kib
	// deadlineSlack is the time after the deadline of a request in which an entry lets go of a caller that does not read: its grace of 1 s
	// and the delays of a loaded machine.
	deadlineSlack = 3 * time.Second
)

// slowCaller sends a request on a connection with a small receive buffer and returns the connection, from which nothing has been read.
func slowCaller(t *testing.T, e *entry, path, body string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerBuffer)
		})
	}}
	nc, err := dialer.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	return nc
}

// readResponse reads a response to its end.
func readResponse(nc net.Conn) callResult {
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, closes: resp.Close}
}

// longEvent is an event of about 200 bytes.
func longEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 180))
}

// Load: 12 callers stop reading while the upstream sends each of them a stream of 200 KB. Guards against upstreams that are not read meanwhile
// (they abort such responses), against more than 64 KiB held for a stream, and against events that are lost, repeated or out of order when
// the caller reads on.
func TestStreamGoesOnWhileItsCallerDoesNotRead(t *testing.T) {
	g := NewWithT(t)
	const callers, events = 12, 1000
	var sent [callers]atomic.Int64
	var next atomic.Int64
	u := newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		_ = nc.(*net.TCPConn).SetWriteBuffer(4 * kib)
		mine := &sent[next.Add(1)-1]
		streamHead(nc, req)
		for id := 1; id <= events; id++ {
			chunk(nc, longEvent(id))
			mine.Add(int64(len(longEvent(id))))
		}
		_, _ = io.WriteString(nc, "0\r\n\r\n")
	})
	budget := membudget.New(64 << 20)
	e := newEntryWithCodec(t, codec{budget: budget}, u)
	var conns []net.Conn
	for range callers {
		conns = append(conns, slowCaller(t, e, "/long/", ""))
	}
	g.Eventually(func() int64 { now, _ := e.relay.FullStreams(); return now }, "10s").Should(Equal(int64(callers)))
	for i := range sent {
		g.Expect(sent[i].Load()).To(BeNumerically(">", 60*kib), "the upstream was read on")
	}
	const oneRead = 9 * kib // What is written after the last check: the events of one read, with their chunks.
	g.Expect(e.conns.Unread()).To(BeNumerically("<=", callers*(64*kib+oneRead)))
	want := ""
	for id := 1; id <= events; id++ {
		want += longEvent(id)
	}
	results := make(chan callResult, callers)
	for _, nc := range conns {
		go func() { results <- readResponse(nc) }()
	}
	for range callers {
		r := <-results
		g.Expect(r.err).NotTo(HaveOccurred())
		g.Expect(r.body == want).To(BeTrue(), "all events, once and in order")
	}
	g.Eventually(func() int64 { now, _ := e.relay.FullStreams(); return now }, "2s").Should(BeZero())
	g.Eventually(func() int64 { return budget.Usage().Reserved }, "2s").Should(BeZero())
}

// Guards against an exhausted budget to which streams add the most that one may hold.
func TestStreamHoldsLessWhileTheBudgetIsExhausted(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.New(64 * kib)
	budget.SetUnread(64 * kib)
	e := newEntryWithCodec(t, codec{budget: budget}, newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		streamHead(nc, req)
		for id := 1; id <= 1000; id++ {
			chunk(nc, longEvent(id))
			time.Sleep(100 * time.Microsecond)
		}
		_, _ = io.WriteString(nc, "0\r\n\r\n")
	}))
	nc := slowCaller(t, e, "/long/", "")
	g.Eventually(func() int64 { now, _ := e.relay.FullStreams(); return now }, "5s").Should(Equal(int64(1)))
	g.Expect(e.conns.Unread()).To(BeNumerically("<=", 8*kib+9*kib))
	r := readResponse(nc)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(r.body, "id: ")).To(Equal(1000))
}

// Load: 30 callers ask for responses of 500 KiB and never read them. Guards against buffered responses beyond the budget, and against requests
// that are held after their deadline: the entry waited for such callers for ever.
func TestCallersThatNeverReadAreHeldUntilTheirDeadline(t *testing.T) {
	g := NewWithT(t)
	const callers, limit = 30, 4 << 20
	var answered atomic.Int64
	body := strings.Repeat("x", 500*kib)
	budget := membudget.New(limit)
	e := newEntryWithCodec(t, codec{budget: budget}, newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		answered.Add(1)
		respond(nc, req, 200, body)
	}))
	for range callers {
		slowCaller(t, e, "/look/", "body")
	}
	g.Eventually(answered.Load, "900ms").Should(BeNumerically(">=", int64(callers)))
	for range 20 {
		g.Expect(budget.Usage().Reserved).To(BeNumerically("<=", int64(limit)))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(budget.Usage().Refusals).To(BeNumerically(">", 0))
	g.Eventually(func() int64 { return budget.Usage().Reserved }, time.Second+deadlineSlack).Should(BeZero())
	g.Eventually(e.conns.CloseIdle, deadlineSlack).Should(BeZero(), "connections in use")
	r := e.send(context.Background(), "/look/", nil)
	g.Expect(r.status).To(Equal(200))
	g.Expect(r.body == body).To(BeTrue())
}

// Guards against a response that is cut because its caller reads slowly, although it goes on reading: after the deadline of its request, too.
func TestCallerThatReadsOnGetsItsWholeResponse(t *testing.T) {
	g := NewWithT(t)
	body := strings.Repeat("x", 500*kib)
	e := newEntryWithCodec(t, codec{budget: membudget.New(4 << 20)}, newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		respond(nc, req, 200, body)
	}))
	nc := slowCaller(t, e, "/look/", "body")
	started := time.Now()
	resp, err := http.ReadResponse(bufio.NewReaderSize(nc, 16), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	n := 0
	part := make([]byte, 10*kib)
	for err == nil {
		var m int
		m, err = io.ReadFull(resp.Body, part)
		n += m
		time.Sleep(100 * time.Millisecond)
	}
	g.Expect(time.Since(started)).To(BeNumerically(">", 3*time.Second), "longer than the deadline of 1 s and its grace")
	g.Expect(n).To(Equal(len(body)))
}

// Guards against bodies beyond the budget, read or not, and against refusals of requests that need no memory.
func TestBodyBeyondTheBudgetIsRefused(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", respondOK)
	budget := membudget.New(64 * kib)
	e := newEntryWithCodec(t, codec{budget: budget}, u)
	large := strings.Repeat("x", 100*kib)
	for name, edit := range map[string]func(*http.Request){
		"length": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(large)), int64(len(large))
		},
		"chunked": func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader(large)), -1 },
	} {
		r := e.send(context.Background(), "/order/", edit)
		g.Expect(r.status).To(Equal(503), name)
		g.Expect(r.body).To(ContainSubstring(`"code":"memory","outcome":"not-run"`), name)
		g.Expect(r.header.Get("Retry-After")).To(Equal("1.00"), name)
	}
	g.Expect(totalRequests(u)).To(BeZero())
	g.Expect(budget.Usage().Reserved).To(BeZero())
	g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(200), "a small body")
	budget.SetUnread(64 * kib)
	g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(503))
	r := e.send(context.Background(), "/order/", func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 })
	g.Expect(r.status).To(Equal(200), "no body")
	g.Expect(r.body).To(Equal("fine"), "a response that is not buffered")
}

// Guards against callers that announce a body and do not send it: their parts of the budget were held for ever.
func TestBodyThatDoesNotArriveIsHeldUntilTheDeadline(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u1", respondOK)
	budget := membudget.New(64 * kib)
	e := newEntryWithCodec(t, codec{budget: budget}, u)
	g.Expect(readResponse(slowCaller(t, e, "/order/", "")).status).To(Equal(200), "no body is awaited")
	caller, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = caller.Close() }()
	started := time.Now()
	_, _ = fmt.Fprintf(caller, "POST /order/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: %d\r\n\r\npart", 32*kib)
	g.Eventually(func() int64 { return budget.Usage().Reserved }, "500ms").Should(BeNumerically(">", 32*kib))
	r := readResponse(caller)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.closes).To(BeTrue())
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second+deadlineSlack))
	g.Eventually(func() int64 { return budget.Usage().Reserved }, "500ms").Should(BeZero())
	g.Expect(totalRequests(u)).To(Equal(1))
}

// Guards against bodies that are held after the deadline because an upstream does not read them.
func TestUpstreamThatReadsNothingHoldsABodyUntilTheDeadline(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		nc, acceptErr := l.Accept()
		if acceptErr == nil {
			accepted <- nc
		}
	}()
	budget := membudget.New(4 << 20)
	e := newEntryWithCodec(t, codec{budget: budget}, &upstream{id: "u1", addr: l.Addr().String()})
	const size = 3 << 20
	answers := make(chan callResult, 1)
	go func() {
		answers <- e.send(context.Background(), "/order/", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size
		})
	}()
	g.Eventually(accepted, "900ms").Should(Receive())
	g.Expect(budget.Usage().Reserved).To(BeNumerically(">", int64(size)))
	var answer callResult
	g.Eventually(answers, time.Second+deadlineSlack).Should(Receive(&answer))
	g.Expect(answer.status).To(Equal(http.StatusGatewayTimeout))
	g.Eventually(func() int64 { return budget.Usage().Reserved }, "500ms").Should(BeZero())
}

// Guards against a response that is buffered beyond the budget: it is forwarded as it arrives.
func TestResponseBeyondTheBudgetIsForwardedAsItArrives(t *testing.T) {
	g := NewWithT(t)
	goOn := make(chan struct{})
	first, rest := strings.Repeat("a", 20*kib), strings.Repeat("b", 80*kib)
	e := newEntryWithCodec(t, codec{budget: membudget.New(16 * kib)}, newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s",
			req.Header.Get("Id"), len(first)+len(rest), first)
		<-goOn
		_, _ = io.WriteString(nc, rest)
	}))
	nc := slowCaller(t, e, "/search/", "")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, 8*kib))
	g.Expect(err).NotTo(HaveOccurred())
	close(goOn)
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal((first + rest)[8*kib:]))
}

// Guards against the deadline for the writes of a response that still applies to what is sent on its connection later.
func TestDeadlineForWritesEndsWithTheResponse(t *testing.T) {
	g := NewWithT(t)
	e := newEntry(t, newUpstream(t, "u1", respondOK))
	nc := slowCaller(t, e, "/order/", "body")
	input := bufio.NewReader(nc)
	resp, err := http.ReadResponse(input, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	time.Sleep(2200 * time.Millisecond) // The deadline is 1 s, its grace another one.
	_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nno header\r\n\r\n")
	resp, err = http.ReadResponse(input, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
}
