// Package h1 is an HTTP/1.1 client that leaves every decision to its caller: it never sends a request twice, says whether a
// request may have reached the upstream, and shows the end of an answer as it was on the wire.
package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Conn.
var (
	// ErrNotSent means that no byte of the request has left this node.
	ErrNotSent = errors.New("h1: request not sent")
	// ErrBroken means that the request was sent at least in part and no whole answer came back.
	ErrBroken = errors.New("h1: connection broken")
	// ErrTimeout means that nothing arrived in the time allowed.
	ErrTimeout = errors.New("h1: no answer in time")
)

const (
	// readBuffer is the size of the read buffer of a connection.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read. A larger one is written beside it, as an
	// upstream may answer first.
	inlineBody = 2 << 10
	// maxForeign is the number of answers to other requests that are skipped.
	maxForeign = 3
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 1 << 20
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path with the query, exactly as it goes on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells that a length is sent also for an empty body.
	HasBody bool
}

// Conn is one connection to an upstream. It carries one request at a time and is used by one goroutine.
type Conn struct {
	nc   net.Conn
	br   *bufio.Reader
	addr string
	// idleSince and idleFor bound when the connection may be used again.
	idleSince time.Time
	idleFor   time.Duration
	// Reused tells that the connection has carried a request before.
	Reused bool
	// writing is closed when a body that is written beside the answer is out; nil if there is none.
	writing chan error
	close   bool
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// Do sends a request and returns the head of the answer. accept tells whether an answer belongs to the request. The body is read
// with ReadBody. ctx ends everything on the connection, also reads of the body.
func (c *Conn) Do(ctx context.Context, req *Request, headWait time.Duration, accept func(*http.Response) bool) (*http.Response, error) {
	head := c.encode(req)
	inline := len(req.Body) <= inlineBody
	if inline {
		head = append(head, req.Body...)
	}
	if n, err := c.nc.Write(head); err != nil {
		if n == 0 && !c.Reused {
			return nil, errors.Mark(errors.Wrap(err, "write"), ErrNotSent)
		}
		return nil, c.failure(ctx, err, "write")
	}
	if !inline {
		c.writing = make(chan error, 1)
		go func() {
			_, err := c.nc.Write(req.Body)
			c.writing <- err
		}()
	}
	c.SetReadTimeout(headWait)
	for range maxForeign {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.Method})
		if err != nil {
			return nil, c.failure(ctx, err, "read head")
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if accept(resp) {
			c.close = resp.Close
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); err != nil || resp.Close {
			break
		}
	}
	return nil, errors.Wrap(ErrBroken, "only answers to other requests")
}

// SetReadTimeout sets the time in which the next bytes have to arrive; 0 is unlimited.
func (c *Conn) SetReadTimeout(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// ClassifyReadError classifies an error of reading the body.
func (c *Conn) ClassifyReadError(ctx context.Context, err error) error {
	return c.failure(ctx, err, "read body")
}

func (c *Conn) failure(ctx context.Context, err error, doing string) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Mark(errors.Wrap(cause, doing), ErrBroken)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Mark(errors.Wrap(err, doing), ErrTimeout)
	}
	return errors.Mark(errors.Wrap(err, doing), ErrBroken)
}

// finished tells whether the connection can carry another request after a whole answer.
func (c *Conn) finished() bool {
	if c.close || c.br.Buffered() > 0 {
		return false
	}
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false // The answer came before the body was out. What is left of the body must not be taken for a request.
	}
}

func (c *Conn) encode(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	for name, values := range req.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || req.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
