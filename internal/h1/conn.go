// Package h1 is an HTTP/1.1 client without implicit retries or redirects. Its errors distinguish a request that was not sent from
// one that may have reached the upstream, and a response that ends early on the wire is always reported as incomplete.
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

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
)

// Errors of a Conn.
var (
	// ErrNotSent means that no byte of the request was sent. It is safe to retry.
	ErrNotSent = errors.New("h1: request not sent")
	// ErrBroken means that at least part of the request may have been sent and no complete response was received.
	ErrBroken = errors.New("h1: connection broken")
	// ErrMalformed means that bytes arrived which are no response to the request. The upstream has not necessarily ended, and the request
	// may have run. Such an error is marked ErrBroken too.
	ErrMalformed = errors.New("h1: malformed response")
	// errHeadTooLarge means that the heads of the responses to a request exceed maxHeadBytes.
	errHeadTooLarge = errors.New("h1: response head exceeds the size limit")
	// ErrTimeout means that a read did not complete before the read timeout. The request may have run.
	ErrTimeout = errors.New("h1: no response in time")
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written together with the head. A larger body is written concurrently
	// with reading the response, because the upstream may respond before it has read the body.
	maxInlineBody = 2 << 10
	// maxReadResponses bounds the responses that Do reads: interim responses, responses to other requests, and the one to the request.
	maxReadResponses = 3
	// maxHeadBytes bounds the heads of all responses to a request together, in bytes. Bytes that are read ahead count too.
	maxHeadBytes = 64 << 10
	// maxHeadTime bounds the time from the first byte of a response until its head is complete. Heads fit into a few packets, but an
	// upstream may fall silent for 1.5 s and go on.
	maxHeadTime = 2500 * time.Millisecond
	// maxSkippedBytes bounds the body of a skipped response, in bytes, and maxSkipTime the time to read it, which allows for a silence too.
	maxSkippedBytes = 1 << 20
	maxSkipTime     = maxHeadTime
)

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the request target, path and query, exactly as sent on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set when Content-Length is sent even if Body is empty.
	HasBody bool
}

// Conn is a connection to an upstream. It carries one request at a time and is not safe for concurrent use.
type Conn struct {
	nc net.Conn
	// input reads from nc, br from input.
	input *inputReader
	br    *bufio.Reader
	addr  string
	// idleSince is when the connection became idle, idleLimit how long it may stay idle and still be reused.
	idleSince time.Time
	idleLimit time.Duration
	// Reused is set when the connection has carried a request before.
	Reused bool
	// bodyWritten receives the result of a body write that runs concurrently with reading the response; nil if there is none.
	bodyWritten chan error
	// closeAfter is set when the upstream closes the connection after the current response.
	closeAfter bool
	// ackTimeUnlimited is set while tcpUserTimeout does not apply, see limitAckTime.
	ackTimeUnlimited bool
}

// newConn returns a Conn on an open connection to addr.
func newConn(nc net.Conn, addr string) *Conn {
	input := &inputReader{nc: nc, lastInput: time.Now()}
	return &Conn{nc: nc, input: input, br: bufio.NewReaderSize(input, readBufferSize), addr: addr}
}

// Close closes the connection. The kernel discards what an upstream does not read within tcpUserTimeout after that.
func (c *Conn) Close() {
	c.restoreAckTime()
	_ = c.nc.Close()
}

// SilentFor returns the time since bytes last arrived, or since the connection was opened if none have arrived.
func (c *Conn) SilentFor() time.Duration { return time.Since(c.input.lastInput) }

// Do sends a request and returns the head of its response. accept reports whether a response belongs to the request; others are
// skipped. headTimeout bounds the time until the head has arrived; 0 is unlimited, but once a response has begun, its head must be
// complete within maxHeadTime. The caller reads resp.Body itself and passes
// read errors to ClassifyReadError. Do does not watch ctx: the caller closes the connection when ctx ends, and the error then has
// the cause of ctx. Errors are marked as ErrNotSent, ErrBroken or ErrTimeout.
func (c *Conn) Do(ctx context.Context, req *Request, headTimeout time.Duration, accept func(*http.Response) bool) (*http.Response, error) {
	head := c.encodeHead(req)
	inline := len(req.Body) <= maxInlineBody
	if inline {
		head = append(head, req.Body...)
	}
	c.limitAckTime(inline)
	if n, err := c.nc.Write(head); err != nil {
		if n == 0 && !c.Reused {
			return nil, errors.Mark(errors.Wrap(err, "write"), ErrNotSent)
		}
		return nil, c.classifyError(ctx, err, "write")
	}
	if !inline {
		c.bodyWritten = make(chan error, 1)
		go func() {
			_, err := c.nc.Write(req.Body)
			c.bodyWritten <- err
		}()
	}
	return c.readResponse(ctx, req.Method, headTimeout, accept)
}

// readResponse reads responses until accept returns true for one, and returns its head; see Do.
func (c *Conn) readResponse(ctx context.Context, method string, headTimeout time.Duration, accept func(*http.Response) bool,
) (*http.Response, error) {
	deadline := time.Time{}
	if headTimeout > 0 {
		deadline = time.Now().Add(headTimeout)
	}
	headBytes := maxHeadBytes
	for range maxReadResponses {
		c.input.limit(headBytes)
		resp, err := c.readHead(method, deadline)
		if err != nil {
			return nil, c.classifyError(ctx, err, "read head")
		}
		headBytes = c.input.remaining
		c.input.removeLimit()
		_ = c.nc.SetReadDeadline(deadline)
		if err = bodyread.CheckStatus(resp); err != nil {
			return nil, c.classifyError(ctx, err, "read head") // What follows may be anything.
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if accept(resp) {
			c.closeAfter = resp.Close
			return resp, nil
		}
		if !c.skipBody(resp, deadline) {
			break
		}
	}
	return nil, errors.Mark(errors.Wrap(ErrMalformed, "received no response to the request"), ErrBroken)
}

// skipBody reads the body of a response to another request. It returns false if another response cannot follow or the body does not end
// within maxSkippedBytes and maxSkipTime: what follows on the connection may then be the rest of the body.
func (c *Conn) skipBody(resp *http.Response, deadline time.Time) bool {
	if resp.Close {
		return false
	}
	c.input.until = time.Now().Add(maxSkipTime)
	defer func() { c.input.until = time.Time{} }()
	_ = c.nc.SetReadDeadline(earlierDeadline(deadline, c.input.until))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	return err == nil && n <= maxSkippedBytes
}

// earlierDeadline returns the earlier of deadline, the zero time being unlimited, and latest.
func earlierDeadline(deadline, latest time.Time) time.Time {
	if deadline.IsZero() || latest.Before(deadline) {
		return latest
	}
	return deadline
}

// readHead waits for a response until deadline, the zero time being unlimited, and reads its head. It may change the read deadline.
func (c *Conn) readHead(method string, deadline time.Time) (*http.Response, error) {
	_ = c.nc.SetReadDeadline(deadline)
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	now := time.Now()
	if deadline.Before(now) {
		deadline = time.Time{} // The wait for the response was extended, see OnReadTimeout.
	}
	c.input.until = now.Add(maxHeadTime)
	defer func() { c.input.until = time.Time{} }()
	_ = c.nc.SetReadDeadline(earlierDeadline(deadline, c.input.until))
	return http.ReadResponse(c.br, &http.Request{Method: method})
}

// SetReadTimeout sets the deadline of reads to d from now; 0 is unlimited.
func (c *Conn) SetReadTimeout(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// InterruptRead lets a read in progress time out. Unlike the other methods, it may be called by another goroutine.
func (c *Conn) InterruptRead() { _ = c.nc.SetReadDeadline(time.Now()) }

// OnReadTimeout sets a function that is called when a read times out. The read goes on for the time that it returns, and fails if that is 0.
// A read that has failed leaves the response body unusable. nil, the default, lets each read fail.
func (c *Conn) OnReadTimeout(f func() time.Duration) { c.input.onTimeout = f }

// ClassifyReadError marks an error of reading the body as ErrBroken, also as ErrMalformed where it applies, or as ErrTimeout.
func (c *Conn) ClassifyReadError(ctx context.Context, err error) error {
	return c.classifyError(ctx, err, "read body")
}

// classifyError marks err as ErrBroken, or as ErrTimeout if a read timed out. If ctx has ended, its cause replaces err; otherwise err is
// also marked as ErrMalformed unless the connection failed.
func (c *Conn) classifyError(ctx context.Context, err error, operation string) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Mark(errors.Wrap(cause, operation), ErrBroken)
	}
	var network net.Error
	isNetwork := errors.As(err, &network)
	switch {
	case isNetwork && network.Timeout():
		return errors.Mark(errors.Wrap(err, operation), ErrTimeout)
	case isNetwork || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return errors.Mark(errors.Wrap(err, operation), ErrBroken)
	default:
		return errors.Mark(errors.Mark(errors.Wrap(err, operation), ErrMalformed), ErrBroken)
	}
}

// reusable reports whether the connection can carry another request after a complete response.
func (c *Conn) reusable() bool {
	if c.closeAfter || c.br.Buffered() > 0 {
		return false
	}
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		c.bodyWritten = nil
		return err == nil
	default:
		return false // The response arrived before the body was fully written: the rest of the body would be read as the next request.
	}
}

// encodeHead returns the request line and the headers, with capacity for a body that is written with them.
func (c *Conn) encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), maxInlineBody)) // 1 KiB for the request line and the headers; the buffer grows if they are longer.
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
