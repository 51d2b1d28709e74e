// Package engine implements the HTTP client of an upstream, which is a model engine or a plain service.
package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
)

// Config holds the parameters of an Upstream. The zero value of a field selects its default.
type Config struct {
	// BaseURL is the upstream's URL without a path. Required.
	BaseURL string
	// Token is the bearer token of control requests. Optional.
	Token string
	// MaxConnections bounds the connections for customer requests. Default 128.
	MaxConnections int
	// IdleTimeout bounds the time from the call of Do, which may wait for a free connection, to the arrival of the response header, and
	// the time that a Read waits for data. Default 10 s.
	IdleTimeout time.Duration
	// ControlTimeout bounds one control request or health check. Default 1 s.
	ControlTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultMaxConnections = 128
	DefaultIdleTimeout    = 10 * time.Second
	DefaultControlTimeout = time.Second
)

const (
	dialTimeout = 2 * time.Second
	// keepAliveTimeout closes idle connections. It is shorter than the idle timeout of common servers, so that a request is rarely
	// sent on a connection that the server has just closed.
	keepAliveTimeout = 4 * time.Second
)

// Names of headers that an Upstream sets or reads.
const (
	HeaderPriority       = "X-Priority"
	HeaderRequestID      = "Pimentohead-Request-Id"
	HeaderAttempt        = "Pimentohead-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVersion        = "X-Model-Version"
)

// Upstream is the client of one upstream. It is safe for concurrent use.
type Upstream struct {
	cfg Config
	// requests carries customer requests, control carries health checks and control requests. They have separate connections, so
	// that an upstream whose connections are all in use can still be checked.
	requests *http.Transport
	control  *http.Client
}

// New returns a client for the upstream at cfg.BaseURL. It opens no connection.
func New(cfg Config) *Upstream {
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.ControlTimeout <= 0 {
		cfg.ControlTimeout = DefaultControlTimeout
	}
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	return &Upstream{
		cfg:      cfg,
		requests: newTransport(cfg.MaxConnections),
		// Two connections let a health check run beside another control request.
		control: &http.Client{Transport: newTransport(2), Timeout: cfg.ControlTimeout},
	}
}

// newTransport returns a transport that opens at most the given number of connections.
func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialCounting(dialer.DialContext),
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        keepAliveTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: bodyread.MaxHeadBytes,
	}
}

// Close closes idle connections.
func (u *Upstream) Close() {
	u.requests.CloseIdleConnections()
	u.control.CloseIdleConnections()
}

// Response is a response whose body is still being received. The caller must read the body to its end or call Close.
type Response struct {
	Status int
	Header []message.HeaderField
	// Version is the model version that generates the response, empty for services.
	Version string
	body    *body
}

// Do sends a request and returns once the response header has arrived. Its errors match ErrNotSent or ErrMayHaveRun. The context
// also bounds the body of the response; when the context ends, the connection is closed.
func (u *Upstream) Do(ctx context.Context, s *message.Submit) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	idle := newIdleTimer(u.cfg.IdleTimeout, func() { cancel(ErrIdleTimeout) })
	trace := &requestTrace{}
	req, err := u.newRequest(httptrace.WithClientTrace(ctx, trace.hooks()), s)
	if err != nil {
		idle.stop()
		cancel(nil)
		return nil, errors.Mark(err, ErrNotSent)
	}
	resp, err := u.requests.RoundTrip(req)
	if err == nil {
		err = trace.check(resp)
	}
	if err != nil {
		idle.stop()
		err = classify(ctx, err)
		cancel(nil)
		if trace.wasSent() {
			return nil, errors.Mark(err, ErrMayHaveRun)
		}
		return nil, errors.Mark(err, ErrNotSent)
	}
	idle.pause()
	return newResponse(ctx, req, resp, idle, cancel), nil
}

// newRequest builds the HTTP request. A request that is not idempotent always gets a body, even an empty one, that net/http cannot
// rewind because GetBody is unset. Otherwise net/http would resend a request that has an Idempotency-Key when a reused connection
// breaks.
func (u *Upstream) newRequest(ctx context.Context, s *message.Submit) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, s.Method, u.cfg.BaseURL+s.Path, nil)
	if err != nil {
		return nil, err
	}
	if len(s.Body) > 0 || !s.Idempotent {
		req.Body = &requestBody{data: s.Body}
		req.ContentLength = int64(len(s.Body))
	}
	for _, field := range s.Header {
		req.Header.Add(field.Name, field.Value)
	}
	removeHopByHop(req.Header)
	req.Header.Set(HeaderPriority, strconv.Itoa(s.Priority))
	req.Header.Set(HeaderRequestID, s.Attempt.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(s.Attempt.Number))
	if s.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, s.IdempotencyKey)
	}
	return req, nil
}

// requestBody is a body that net/http cannot rewind.
type requestBody struct{ data []byte }

func (b *requestBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (*requestBody) Close() error { return nil }

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1) and those that net/http sets itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// removeHopByHop deletes the headers in hopByHop and those that the Connection header names.
func removeHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// classify returns the cause of the context's cancellation in place of a transport error if the context has been cancelled. Otherwise it
// returns err, marked as ErrDisconnected when the connection failed.
func classify(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Mark(errors.Wrap(cause, "engine"), cause)
	}
	var opError *net.OpError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET),
		errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.EPIPE), errors.As(err, &opError),
		strings.Contains(err.Error(), "server closed idle connection"): // net/http does not export this error.
		return errors.Mark(err, ErrDisconnected)
	}
	return err
}
