package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/engine"
)

// maxSentBytes bounds what an endless upstream sends, maxAcceptedBytes is more than a client with a limit of 64 KiB takes, including the
// socket buffers of both sides.
const (
	maxSentBytes     = 32 << 20
	maxAcceptedBytes = 8 << 20
)

// newEndlessUpstream starts an upstream that sends prefix on each connection and then part without end, with a pause after each, at most
// maxSentBytes. It returns a client, the number of bytes sent and the number of connections.
func newEndlessUpstream(t *testing.T, prefix, part string, pause time.Duration) (*engine.Upstream, *atomic.Int64, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var sent, connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 1<<16))
				_, err := io.WriteString(conn, prefix)
				for err == nil && sent.Load() < maxSentBytes {
					_, err = io.WriteString(conn, part)
					sent.Add(int64(len(part)))
					time.Sleep(pause)
				}
			}()
		}
	}()
	u := engine.New(engine.Config{BaseURL: "http://" + listener.Addr().String(), IdleTimeout: time.Second})
	t.Cleanup(u.Close)
	return u, &sent, &connections
}

// Guards against a head without end that fills the memory: an agent may have 128 requests in progress, of which none may run twice.
func TestEndlessHeadIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, part string
		pause        time.Duration
	}{
		"header lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("Name: value\r\n", 1000), 0},
		"one header line":   {"HTTP/1.1 200 OK\r\nName: ", strings.Repeat("x", 1<<15), 0},
		"status line":       {"", strings.Repeat("x", 1<<15), 0},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 100), 0},
		"slow header lines": {"HTTP/1.1 200 OK\r\n", "Name: value\r\n", 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u, sent, connections := newEndlessUpstream(t, c.prefix, c.part, c.pause)
			started := time.Now()
			_, err := u.Do(context.Background(), newOrder())
			g.Expect(err).To(matchErr(engine.ErrMayHaveRun))
			g.Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
			g.Expect(sent.Load()).To(BeNumerically("<", maxAcceptedBytes))
			g.Expect(connections.Load()).To(Equal(int64(1)))
		})
	}
}

// Guards against taking an upstream for healthy whose responses to health checks have no end.
func TestEndlessHealthResponseIsUnhealthy(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u, sent, _ := newEndlessUpstream(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000), pause)
			started := time.Now()
			g.Expect(u.Health(context.Background())).To(matchErr(engine.ErrControl))
			g.Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
			g.Expect(sent.Load()).To(BeNumerically("<", maxAcceptedBytes))
		})
	}
}

// Guards against a body without end that is read after the request has been cancelled.
func TestEndlessBodyEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	u := newUpstream(t, 0, func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "data: x\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	resp, err := u.Do(ctx, newOrder())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(resp)
	g.Expect(err).To(matchErr(engine.ErrIncompleteResponse))
	resp.Close()
	g.Eventually(closed, "2s").Should(BeClosed())
}
