package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/relay"
)

// respondWithLoad returns a script that answers and states the load that load returns.
func respondWithLoad(load func() string) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nLoad: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"), load())
	}
}

// Guards against requests that go to an upstream which has just said that it is slow, against an attempt whose line does not name the slowdown
// that was assumed, and against an unreadable load that ends the service of its upstream, replaces what is known or is logged each time.
func TestSlowUpstreamIsAvoidedUntilItsLoadIsUnreadable(t *testing.T) {
	g := NewWithT(t)
	var load atomic.Value
	var unreadable, slowLines atomic.Int32
	load.Store("0,0,6,2.5")
	slow := newUpstream(t, "u1", respondWithLoad(func() string { return load.Load().(string) }))
	normal := newUpstream(t, "u2", respondWithLoad(func() string { return "0,0,6,1" }))
	e := newEntryWithConfig(t, codec{}, func(cfg *relay.Config) {
		cfg.Observed = loadview.NewObservedTable(nil)
		cfg.Log = funcr.New(func(_, line string) {
			if strings.Contains(line, "load of upstream cannot be read") {
				unreadable.Add(1)
			}
			if strings.Contains(line, `"upstream"="u1"`) && strings.Contains(line, `"slowdown_from"="response"`) {
				slowLines.Add(1)
			}
		}, funcr.Options{})
	}, slow, normal)
	send := func() int { // It returns the requests that the slow upstream has received.
		g.Expect(e.send(context.Background(), "/look/", nil).status).To(Equal(http.StatusOK))
		return len(slow.requests())
	}
	g.Eventually(send, 5*time.Second, time.Millisecond).Should(Equal(1)) // Both are chosen at random at first.
	for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); {
		g.Expect(send()).To(Equal(1))
	}
	load.Store("x,y,6,250")
	g.Eventually(send, 5*time.Second, time.Millisecond).Should(BeNumerically(">", 3))
	g.Expect(unreadable.Load()).To(Equal(int32(1)))
	g.Expect(slowLines.Load()).NotTo(BeZero())
}
