package h1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/h1"
)

// serve listens on a local port, runs script on each accepted connection and returns the address.
func serve(t *testing.T, script func(nc net.Conn, br *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer func() { _ = nc.Close() }(); script(nc, bufio.NewReader(nc)) }()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request with its body and returns its Id header.
func readRequest(br *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), err
}

// response returns a complete 200 response to the request with the given ID.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// roundTrip sends a request with the given ID over the pool and returns the body of its response and the connection.
func roundTrip(t *testing.T, p *h1.Pool, addr, id string, headTimeout time.Duration) (string, *h1.Conn, error) {
	return roundTripBody(t, p, addr, id, headTimeout, []byte("x"))
}

// roundTripBody is roundTrip for a request with the given body.
func roundTripBody(t *testing.T, p *h1.Pool, addr, id string, headTimeout time.Duration, sent []byte) (string, *h1.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	c, err := p.Get(ctx, addr, false, time.Second)
	if err != nil {
		return "", nil, err
	}
	context.AfterFunc(ctx, c.Close) // Do does not watch ctx.
	req := &h1.Request{Method: "POST", Target: "/a?b=%2F", Host: "h", Header: http.Header{"Id": {id}}, Body: sent}
	//nolint:bodyclose // The connection is closed or put back instead.
	resp, err := c.Do(ctx, req, headTimeout, func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		c.Close()
		return "", c, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", c, c.ClassifyReadError(ctx, err)
	}
	return string(body), c, nil
}

// Guards against returning the response of an earlier request: a stray response can precede the expected one on a connection.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		id, err := readRequest(br)
		if err == nil {
			_, _ = io.WriteString(nc, response("stranger", "not yours")+response(id, "yours"))
			_, _ = readRequest(br)
		}
	})
	body, _, err := roundTrip(t, h1.NewPool(), addr, "1", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("yours"))
}

// Guards against reusing an idle connection on which a stray response has arrived or which the upstream has closed.
func TestIdleConnectionWithPendingInputIsNotReused(t *testing.T) {
	for name, extra := range map[string]string{"stray response": response("old", "late"), "closed": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
				id, err := readRequest(br)
				if err != nil {
					return
				}
				_, _ = io.WriteString(nc, response(id, "ok"))
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(nc, extra)
				if extra != "" {
					_, _ = readRequest(br)
				}
			})
			p := h1.NewPool()
			_, c, err := roundTrip(t, p, addr, "1", time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			p.Put(c, 0)
			g.Eventually(c.HasInput, 5*time.Second, time.Millisecond).Should(BeTrue())
			body, _, err := roundTrip(t, p, addr, "2", time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
			g.Expect(p.Opened()).To(Equal(uint64(2)))
		})
	}
}

// Guards against opening a new connection for each request.
func TestIdleConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(nc, response(id, "ok"))
		}
	})
	p := h1.NewPool()
	for range 3 {
		_, c, err := roundTrip(t, p, addr, "1", time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		p.Put(c, 10*time.Second)
	}
	g.Expect(p.Opened()).To(Equal(uint64(1)))
}

// Guards against reporting a request as not sent although it may have run, and the reverse.
func TestErrorsDistinguishNotSentFromMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	broken := serve(t, func(_ net.Conn, br *bufio.Reader) { _, _ = readRequest(br) })
	_, _, err := roundTrip(t, h1.NewPool(), broken, "1", time.Second)
	g.Expect(errors.Is(err, h1.ErrBroken)).To(BeTrue())
	silent := serve(t, func(_ net.Conn, br *bufio.Reader) { _, _ = readRequest(br); time.Sleep(2 * time.Second) })
	_, _, err = roundTrip(t, h1.NewPool(), silent, "1", 100*time.Millisecond)
	g.Expect(errors.Is(err, h1.ErrTimeout)).To(BeTrue())
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	closedAddr := l.Addr().String()
	_ = l.Close()
	_, _, err = roundTrip(t, h1.NewPool(), closedAddr, "1", time.Second)
	g.Expect(errors.Is(err, h1.ErrNotSent)).To(BeTrue())
}

// Guards against reporting a truncated response as complete: with Content-Length, with chunked encoding, and delimited by the end
// of the connection.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\npart",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"reset":  "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
				if _, err := readRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(nc, head)
				time.Sleep(50 * time.Millisecond)
				if name == "reset" {
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
			})
			_, _, err := roundTrip(t, h1.NewPool(), addr, "1", time.Second)
			g.Expect(errors.Is(err, h1.ErrBroken)).To(BeTrue(), "%v", err)
		})
	}
	g := NewWithT(t)
	whole := serve(t, func(nc net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
	})
	body, _, err := roundTrip(t, h1.NewPool(), whole, "1", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("all of it"), "a response without a length ends with its connection")
}

// Guards against the rest of a long body being read as the next request when the upstream responds before it has read the body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, response(req.Header.Get("Id"), "early"))
		time.Sleep(time.Second)
	})
	p := h1.NewPool()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Get(ctx, addr, false, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	long := &h1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: make([]byte, 32<<20)}
	//nolint:bodyclose // The connection is closed or put back instead.
	resp, err := c.Do(ctx, long, time.Second, func(*http.Response) bool { return true })
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("early"))
	p.Put(c, 0)
	_, _, err = roundTrip(t, p, addr, "2", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Opened()).To(Equal(uint64(2)))
}

// Guards against a connection that the kernel closes because the upstream reads a long body late, for example while the request is queued.
func TestBodyThatIsReadLateIsAnswered(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		time.Sleep(2500 * time.Millisecond) // The receive window closes before the end of the body.
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(nc, response(id, "ok"))
		}
	})
	p := h1.NewPool()
	body, c, err := roundTripBody(t, p, addr, "1", 0, make([]byte, 1<<20))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	p.Put(c, 0)
	_, again, err := roundTrip(t, p, addr, "2", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Reused).To(BeTrue())
}

// Guards against a head that is given up although it is complete, because the time limit on it passed while another attempt was made
// within OnReadTimeout.
func TestHeadThatArrivesDuringOnReadTimeoutIsRead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
		id, err := readRequest(br)
		if err != nil {
			return
		}
		answer := response(id, "done")
		_, _ = io.WriteString(nc, answer[:10])
		time.Sleep(time.Second)
		_, _ = io.WriteString(nc, answer[10:])
	})
	c, err := h1.NewPool().Get(context.Background(), addr, true, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	c.OnReadTimeout(func() time.Duration {
		time.Sleep(2600 * time.Millisecond)
		return time.Second
	})
	request := &h1.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
	//nolint:bodyclose // The connection is closed instead.
	_, err = c.Do(context.Background(), request, 300*time.Millisecond, func(*http.Response) bool { return true })
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a response without a length that was reset and passes as complete, because the check for waiting bytes had received the error of
// the connection.
func TestResetThatAPeekHasSeenIsNoEndOfABody(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
				id, _ := readRequest(br)
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart", id)
				time.Sleep(20 * time.Millisecond)
				if reset {
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
			})
			c, err := h1.NewPool().Get(context.Background(), addr, false, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			//nolint:bodyclose // The connection is closed instead.
			resp, err := c.Do(context.Background(), &h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}}, time.Second,
				func(*http.Response) bool { return true })
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(resp.Body, make([]byte, len("part")))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
			g.Expect(c.PeekBytes()).To(BeEmpty())
			_, err = io.ReadAll(resp.Body)
			g.Expect(err != nil).To(Equal(reset), "%v", err)
		})
	}
}
