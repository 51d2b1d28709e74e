package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/pimentohead/pimentohead/internal/engine"
	"github.com/pimentohead/pimentohead/internal/message"
)

// matchErr matches errors marked with cockroachdb/errors, which the errors.Is of the standard library does not recognise.
func matchErr(target error) types.GomegaMatcher {
	return WithTransform(func(err error) bool { return errors.Is(err, target) }, BeTrue())
}

// newOrder returns a request that is not idempotent and has an Idempotency-Key.
func newOrder() *message.Submit {
	return &message.Submit{
		Attempt: message.Attempt{RequestID: "r1", Number: 2}, Method: http.MethodPost, Path: "/orders",
		IdempotencyKey: "key-1", Priority: 1,
		Header: []message.HeaderField{{Name: "Connection", Value: "X-Drop"}, {Name: "X-Drop", Value: "1"}, {Name: "X-Keep", Value: "2"}},
		Body:   []byte("{}"),
	}
}

// newUpstream starts an upstream with the given handler and returns its client. An idleTimeout of 0 selects the default, 10 s, which a
// pause of the process does not exceed.
func newUpstream(t *testing.T, idleTimeout time.Duration, handler http.HandlerFunc) *engine.Upstream {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	u := engine.New(engine.Config{BaseURL: server.URL, Token: "secret", IdleTimeout: idleTimeout})
	t.Cleanup(u.Close)
	return u
}

func doAndRead(u *engine.Upstream, s *message.Submit) (string, error) {
	resp, err := u.Do(context.Background(), s)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

// Guards against dropping headers of the caller and against forwarding hop-by-hop headers.
func TestRequestHeaders(t *testing.T) {
	g := NewWithT(t)
	var received http.Header
	u := newUpstream(t, 0, func(_ http.ResponseWriter, r *http.Request) { received = r.Header })
	_, err := doAndRead(u, newOrder())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Get("X-Keep")).To(Equal("2"))
	g.Expect(received).NotTo(HaveKey("X-Drop"))
	g.Expect(received.Get(engine.HeaderPriority) + received.Get(engine.HeaderRequestID) + received.Get(engine.HeaderAttempt)).
		To(Equal("1r12"))
	g.Expect(received.Get(engine.HeaderIdempotencyKey)).To(Equal("key-1"))
}

// Guards against treating a truncated response as complete.
func TestIncompleteResponsesFail(t *testing.T) {
	cases := map[string]struct {
		raw      string
		complete bool
	}{
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"short":      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		"chunked":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"cut chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		"unframed":   {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", false},
		"stream": {
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n",
			true},
		"stream, no final event": {
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n", false},
		"silent": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			var idleTimeout time.Duration
			if name == "silent" {
				idleTimeout = 100 * time.Millisecond
			}
			u := newUpstream(t, idleTimeout, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // Closing with unread bytes would reset the connection.
				nc, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(nc, c.raw)
				if name == "silent" {
					<-release
				}
				_ = nc.Close()
			})
			_, err := doAndRead(u, newOrder())
			if c.complete {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(matchErr(engine.ErrIncompleteResponse))
			if name == "silent" {
				g.Expect(err).To(matchErr(engine.ErrIdleTimeout))
			}
		})
	}
}

// Guards against an additional response, sent behind that to an earlier request on the connection, that is taken for the response to the next
// request.
func TestAdditionalResponseAnswersNoRequest(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, 0, func(w http.ResponseWriter, r *http.Request) {
		nc, buffered, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = nc.Close() }()
		for err := error(nil); err == nil; r, err = http.ReadRequest(buffered.Reader) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(engine.HeaderRequestID)
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			_, _ = io.WriteString(nc, response+response)
		}
	})
	var foreign atomic.Int32
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for n := range 200 {
				request := newOrder()
				request.Attempt.RequestID = fmt.Sprint(caller, "-", n)
				if body, err := doAndRead(u, request); err == nil && body != request.Attempt.RequestID {
					foreign.Add(1)
				}
			}
		})
	}
	callers.Wait()
	g.Expect(foreign.Load()).To(BeZero())
}

// Guards against net/http resending an order with an Idempotency-Key when a reused connection breaks.
func TestOrderIsSentOnceWhenReusedConnectionBreaks(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	u := newUpstream(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			nc, _, _ := w.(http.Hijacker).Hijack()
			_ = nc.Close()
		}
	})
	empty := newOrder()
	empty.Body = nil
	_, err := doAndRead(u, empty)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = doAndRead(u, empty)
	g.Expect(err).To(And(matchErr(engine.ErrMayHaveRun), matchErr(engine.ErrDisconnected)))
	g.Expect(requests.Load()).To(Equal(int32(2)))
}

// Guards against reporting a request as possibly executed when no connection was established.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	g := NewWithT(t)
	// Nothing listens on port 1. The port of a listener that was closed may be given to another process at once.
	u := engine.New(engine.Config{BaseURL: "http://127.0.0.1:1"})
	_, err := doAndRead(u, newOrder())
	g.Expect(err).To(And(matchErr(engine.ErrNotSent), matchErr(engine.ErrDisconnected)))
	g.Expect(err).NotTo(matchErr(engine.ErrMayHaveRun))
	g.Expect(u.Health(context.Background())).To(matchErr(engine.ErrDisconnected))
}

// Guards against control requests without the bearer token, and against treating a refused fencing token or a health check with an
// error status as success.
func TestControlCalls(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, 0, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/control/status":
			_, _ = io.WriteString(w, `{"loaded_version":"v1","incarnation":7,"running":3}`)
		case r.Header.Get("Authorization") != "Bearer secret":
			w.WriteHeader(http.StatusForbidden)
		default:
			w.WriteHeader(http.StatusConflict)
		}
	})
	status, err := u.Status(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.LoadedVersion).To(Equal("v1"))
	g.Expect(status.Incarnation).To(Equal(uint64(7)))
	g.Expect(u.Load(context.Background(), "v2", "http://127.0.0.1:1", 1)).To(matchErr(engine.ErrStaleFencingToken))
	g.Expect(u.Health(context.Background())).To(matchErr(engine.ErrUnhealthy))
}
