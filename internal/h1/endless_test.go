package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/h1"
)

// maxAcceptedBytes is more than a client with a limit on heads takes, including the socket buffers of both sides, in bytes.
const maxAcceptedBytes = 16 << 20

// serveEndless starts an upstream that sends prefix after a request and then repeats part without end, with a pause after each. It
// returns the address, a counter of the bytes sent and a channel that is closed when the client has closed the connection.
func serveEndless(t *testing.T, prefix, part string, pause time.Duration) (string, *atomic.Int64, <-chan struct{}) {
	var sent atomic.Int64
	closed := make(chan struct{})
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err != nil {
			return
		}
		defer close(closed)
		_, err := io.WriteString(nc, prefix)
		for err == nil && sent.Load() < 4*maxAcceptedBytes {
			_, err = io.WriteString(nc, part)
			sent.Add(int64(len(part)))
			time.Sleep(pause)
		}
	})
	return addr, &sent, closed
}

// Guards against a head without end that fills the memory or occupies the connection until the deadline of the request: fast ones as
// header lines, as one line and as interim responses, and slow ones. A request that cannot be repeated has no head timeout.
func TestEndlessHeadIsAnError(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		prefix, part string
		pause        time.Duration
	}{
		"header lines":      {statusLine, strings.Repeat("Name: value\r\n", 1000), 0},
		"one header line":   {statusLine + "Name: ", strings.Repeat("x", 1<<16), 0},
		"status line":       {"", strings.Repeat("x", 1<<16), 0},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 100), 0},
		"slow header lines": {statusLine, "Name: value\r\n", 20 * time.Millisecond},
		"slow status line":  {"", "x", 20 * time.Millisecond},
		"slow interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
			20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			addr, sent, closed := serveEndless(t, c.prefix, c.part, c.pause)
			started := time.Now()
			_, _, err := roundTrip(t, h1.NewPool(), addr, "1", 0)
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, h1.ErrNotSent)).To(BeFalse(), "%v", err)
			g.Expect(time.Since(started)).To(BeNumerically("<", 4*time.Second))
			g.Eventually(closed, "5s").Should(BeClosed())
			g.Expect(sent.Load()).To(BeNumerically("<", maxAcceptedBytes))
		})
	}
}

// Guards against a limit on heads that also limits bodies, or that counts the heads of earlier requests on the connection.
func TestHeadLimitDoesNotApplyToBodies(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 1<<20)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 103 Early Hints\r\nLink: "+long[:20<<10]+"\r\n\r\n"+response(id, long))
		}
	})
	p := h1.NewPool()
	for range 5 {
		body, c, err := roundTrip(t, p, addr, "1", 5*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(HaveLen(len(long)))
		p.Put(c, 0)
	}
	g.Expect(p.Opened()).To(Equal(uint64(1)))
}

// Guards against a head timeout that starts anew with the first byte or with an interim response.
func TestHeadTimeoutIncludesInterimResponses(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err == nil {
			time.Sleep(150 * time.Millisecond)
			_, _ = io.WriteString(nc, "HTTP/1.1 100 Continue\r\n\r\n")
			time.Sleep(time.Second)
		}
	})
	started := time.Now()
	_, _, err := roundTrip(t, h1.NewPool(), addr, "1", 300*time.Millisecond)
	g.Expect(errors.Is(err, h1.ErrTimeout)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(started)).To(BeNumerically("<", 900*time.Millisecond))
}

// Guards against limits on a head that end the wait for a response to a request without a head timeout: the upstream may still be
// working after an interim response.
func TestSlowResponseAfterInterimResponse(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		id, err := readRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 102 Processing\r\n\r\n")
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(nc, response(id, "done"))
	})
	body, _, err := roundTrip(t, h1.NewPool(), addr, "1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("done"))
}

// Guards against a trailer without end or chunk extensions without end that fill the memory.
func TestEndlessChunkOverheadIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ prefix, part string }{
		"trailer lines":      {head + "0\r\n", strings.Repeat("Name: value\r\n", 1000)},
		"one trailer line":   {head + "0\r\nName: ", strings.Repeat("x", 1<<16)},
		"one extension":      {head + "1;", strings.Repeat("x", 1<<16)},
		"extensions":         {head, strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\nx\r\n", 100)},
		"length without end": {head, strings.Repeat("0", 1<<16)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr, sent, closed := serveEndless(t, c.prefix, c.part, 0)
			_, conn, err := roundTrip(t, h1.NewPool(), addr, "1", 5*time.Second)
			g.Expect(err).To(HaveOccurred())
			conn.Close()
			g.Eventually(closed, "5s").Should(BeClosed())
			g.Expect(sent.Load()).To(BeNumerically("<", maxAcceptedBytes))
		})
	}
}

// Guards against bytes without end after a complete response that are taken for the response to the next request.
func TestConnectionWithEndlessBytesAfterResponseIsNotReused(t *testing.T) {
	g := NewWithT(t)
	addr, _, closed := serveEndless(t, response("1", "ok"), response("2", "stray"), time.Millisecond)
	p := h1.NewPool()
	_, c, err := roundTrip(t, p, addr, "1", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	p.Put(c, 0)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next, err := p.Get(ctx, addr, false, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	next.Close()
	g.Expect(p.Opened()).To(Equal(uint64(2)))
	g.Eventually(closed, "5s").Should(BeClosed())
}

// Guards against the rest of a long body of a skipped response being taken for a response to the request.
func TestBodyOfSkippedResponseIsNotAResponse(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		id, err := readRequest(br)
		if err != nil {
			return
		}
		const skippedBytes = 1 << 20 // The client reads this much of a skipped response.
		_, _ = io.WriteString(nc, response("stranger", strings.Repeat("x", skippedBytes)+response(id, "forged")))
		_, _ = readRequest(br)
	})
	_, _, err := roundTrip(t, h1.NewPool(), addr, "1", time.Second)
	g.Expect(errors.Is(err, h1.ErrBroken)).To(BeTrue(), "%v", err)
}

// Guards against waiting for the end of a response to another request after which the connection ends anyway.
func TestUnframedResponseToAnotherRequestIsNotRead(t *testing.T) {
	g := NewWithT(t)
	addr, _, closed := serveEndless(t, "HTTP/1.1 200 OK\r\nId: stranger\r\n\r\n", "x", 10*time.Millisecond)
	started := time.Now()
	_, _, err := roundTrip(t, h1.NewPool(), addr, "1", 0)
	g.Expect(errors.Is(err, h1.ErrBroken)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	g.Eventually(closed, "5s").Should(BeClosed())
}

// Guards against the body of a response to another request that holds back the request until its deadline.
func TestSlowBodyOfSkippedResponseIsAnError(t *testing.T) {
	g := NewWithT(t)
	addr, _, closed := serveEndless(t, "HTTP/1.1 200 OK\r\nId: stranger\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
		10*time.Millisecond)
	started := time.Now()
	_, _, err := roundTrip(t, h1.NewPool(), addr, "1", 0)
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(started)).To(BeNumerically("<", 4*time.Second))
	g.Eventually(closed, "5s").Should(BeClosed())
}
