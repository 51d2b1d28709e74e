package origin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/platform/origin"
)

// Guards against connections that agents keep at a source of weights without using them. A source limits the connections of all agents together,
// and those of agents that lose power stay open there, so that it would refuse the agents that start again.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	var open atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("chunk")) }))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	_, err := origin.NewClient(server.URL, 0).Chunk(context.Background(), "00", 1<<10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(open.Load()).To(Equal(int64(1)), "consecutive reads share a connection")
	g.Eventually(open.Load, "3s").Should(BeZero())
}
