package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// startEndlessStore starts a service that responds to each call with prefix and then part without end, with a pause after each, at most
// up to maxSentBytes. It returns a client, a counter of the bytes sent and a counter of the calls.
func startEndlessStore(t *testing.T, prefix, part string, pause time.Duration) (*store.Client, *atomic.Int64, *atomic.Int64) {
	var sent, calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, err := io.WriteString(w, prefix)
		for err == nil && sent.Load() < maxSentBytes {
			_, err = io.WriteString(w, part)
			sent.Add(int64(len(part)))
			if pause > 0 {
				w.(http.Flusher).Flush()
				time.Sleep(pause)
			}
		}
	}))
	client := store.NewClient(server.URL, unlimitedCallRate, logr.Discard())
	t.Cleanup(func() { client.Close(); server.CloseClientConnections(); server.Close() })
	return client, &sent, &calls
}

// maxSentBytes bounds what the service sends, maxAcceptedBytes is more than a client that bounds a response to 16 MiB takes.
const (
	maxSentBytes     = 128 << 20
	maxAcceptedBytes = 40 << 20
)

// Guards against an event of a watch, or a response to a call, that has no end and fills the memory.
func TestEndlessResponseIsAnError(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *store.Client) error{
		"watch": func(ctx context.Context, c *store.Client) error { return c.Watch(ctx, "k", 1, func(store.Event) {}) },
		"call":  func(ctx context.Context, c *store.Client) error { _, err := c.Get(ctx, "k"); return err },
	}
	for name, call := range calls {
		for kind, part := range map[string]string{"string": "x", "values": "1,"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				g := NewWithT(t)
				prefix := map[string]string{"string": `{"result":{"header":"`, "values": `{"result":{"events":[`}[kind]
				client, sent, _ := startEndlessStore(t, prefix, strings.Repeat(part, 1<<16), 0)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				err := call(ctx, client)
				g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue(), "%v", err)
				g.Expect(ctx.Err()).NotTo(HaveOccurred())
				g.Expect(sent.Load()).To(BeNumerically("<", maxAcceptedBytes))
			})
		}
	}
}

// Guards against a watch that stays on a connection on which messages without events arrive without end: events of the key may have been
// lost.
func TestWatchWithoutEventsReconnects(t *testing.T) {
	g := NewWithT(t)
	client, _, calls := startEndlessStore(t, "", `{"result":{"header":{"revision":"1"}}}`, 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	_ = client.Watch(ctx, "k", 1, func(store.Event) {})
	g.Expect(calls.Load()).To(BeNumerically(">=", 2), "the watch reconnects after 5 s without events")
}
