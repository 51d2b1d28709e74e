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

// streamEnd is the last event of a complete stream.
var doneEvent = []byte("data: [DONE]")

// tailBytes is enough to hold the last event and the blank lines around it.
const tailBytes = 64

// body reads an answer and checks that it ends cleanly.
type body struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	raw    io.ReadCloser
	idle   *idleTimer
	// stream answers must end in streamEnd; unframed ones have neither a length nor chunks and never end cleanly.
	stream, unframed bool
	tail             []byte
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

// Read returns the next bytes. It returns io.EOF only when the answer ended cleanly, and ErrBroken otherwise. Time that the
// caller spends between two calls does not count as silence of the upstream.
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
		return n, errors.Wrap(ErrIncompleteResponse, "answer has neither a length nor chunks")
	case b.stream && !bytes.HasSuffix(bytes.TrimSpace(b.tail), doneEvent):
		return n, errors.Wrap(ErrIncompleteResponse, "stream ended without its last event")
	default:
		return n, io.EOF
	}
}

func (b *body) keepTail(p []byte) {
	if !b.stream {
		return
	}
	b.tail = append(b.tail, p...)
	if extra := len(b.tail) - tailBytes; extra > 0 {
		b.tail = append(b.tail[:0], b.tail[extra:]...)
	}
}

// Close releases the connection. It is closed when the answer was not read to its end.
func (r *Response) Close() {
	r.body.idle.stop()
	r.body.cancel(nil)
	_ = r.body.raw.Close()
}

// idleTimer runs a function when it is not stopped or restarted in time.
type idleTimer struct {
	timeout time.Duration
	// mu guards timer.
	mu    sync.Mutex
	timer *time.Timer
}

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

// progress stops the timer until the next read.
func (t *idleTimer) pause() { t.stop() }
