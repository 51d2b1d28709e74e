package engine

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// doneEvent is the final event of a complete event stream.
var doneEvent = []byte("data: [DONE]")

// tailBytes is the number of trailing bytes that are kept: enough for doneEvent and the blank lines around it.
const tailBytes = 64

// body is a response body with the state that is needed to detect truncation.
type body struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	raw    io.ReadCloser
	idle   *idleTimer
	// stream is set for event streams, which must end in doneEvent. unframed is set for bodies with neither a Content-Length nor
	// chunked encoding: they always count as incomplete, because truncation cannot be detected.
	stream, unframed bool
	// tail holds the last bytes of an event stream.
	tail []byte
}

func newResponse(ctx context.Context, req *http.Request, resp *http.Response, idle *idleTimer, cancel context.CancelCauseFunc) *Response {
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	empty := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	r := &Response{Status: resp.StatusCode, Version: resp.Header.Get(HeaderVersion)}
	removeHopByHop(resp.Header)
	for name, values := range resp.Header {
		for _, value := range values {
			r.Header = append(r.Header, message.HeaderField{Name: name, Value: value})
		}
	}
	r.body = &body{
		ctx: ctx, cancel: cancel, raw: resp.Body, idle: idle,
		stream:   kind == "text/event-stream",
		unframed: resp.ContentLength < 0 && !chunked && !empty,
	}
	return r
}

// Read reads from the body. It returns io.EOF only for a complete response, otherwise an error that matches ErrIncompleteResponse.
// The idle timeout covers only the time within Read, not the time between two calls.
func (r *Response) Read(p []byte) (int, error) {
	b := r.body
	b.idle.start()
	n, err := b.raw.Read(p)
	b.idle.stop()
	b.keepTail(p[:n])
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return n, errors.Mark(classify(b.ctx, err), ErrIncompleteResponse)
	case b.unframed:
		return n, errors.Wrap(ErrIncompleteResponse, "response has neither a Content-Length nor chunked encoding")
	case b.stream && !bytes.HasSuffix(bytes.TrimSpace(b.tail), doneEvent):
		return n, errors.Wrap(ErrIncompleteResponse, "event stream ended without its final event")
	default:
		return n, io.EOF
	}
}

// keepTail appends p to the tail of an event stream and keeps the last tailBytes.
func (b *body) keepTail(p []byte) {
	if !b.stream {
		return
	}
	b.tail = append(b.tail, p...)
	if extra := len(b.tail) - tailBytes; extra > 0 {
		b.tail = append(b.tail[:0], b.tail[extra:]...)
	}
}

// Close releases the connection. If the body was not read to its end, the connection is closed.
func (r *Response) Close() {
	r.body.idle.stop()
	r.body.cancel(nil)
	_ = r.body.raw.Close()
}

// idleTimer calls a function when it is not stopped or restarted within the timeout.
type idleTimer struct {
	timeout time.Duration
	// mu guards timer.
	mu    sync.Mutex
	timer *time.Timer
}

// newIdleTimer returns a timer that is already running.
func newIdleTimer(timeout time.Duration, expire func()) *idleTimer {
	return &idleTimer{timeout: timeout, timer: time.AfterFunc(timeout, expire)}
}

func (t *idleTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Reset(t.timeout)
}

func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// pause stops the timer until the next Read.
func (t *idleTimer) pause() { t.stop() }
