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
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\nLoad: %s\r\nContent-Length: 4\r\n\r\nfine", req.Header.Get("Id"), load())
	}
}

// Guards against requests that go to an upstream which has just said that it is slow, against an attempt whose line does not name the slowdown
// that was assumed, and against an unreadable load that ends the service of its upstream, replaces what is known or is logged each time.
func TestSlowUpstreamIsAvoidedUntilItsLoadIsUnreadable(t *testing.T) {
	g := NewWithT(t)
	var unreadable atomic.Bool
	var unreadableLines, slowLines atomic.Int32
	log := funcr.New(func(_, line string) {
		if strings.Contains(line, "load of upstream cannot be read") {
			unreadableLines.Add(1)
		}
		if strings.Contains(line, `"slowdown"=2.`) && strings.Contains(line, `"slowdown_from"="response"`) {
			slowLines.Add(1)
		}
	}, funcr.Options{})
	slow := newUpstream(t, "u1", respondWithLoad(func() string {
		if unreadable.Load() {
			return "x,y,6,250"
		}
		return "0,0,6,2.5"
	}))
	normal := newUpstream(t, "u2", respondWithLoad(func() string { return "0,0,6,1" }))
	e := newEntryWithConfig(t, codec{}, func(cfg *relay.Config) { cfg.Observed, cfg.Log = loadview.NewObservedTable(nil), log }, slow, normal)
	send := func() { g.Expect(e.send(context.Background(), "/look/", nil).status).To(Equal(http.StatusOK)) }
	for range 100 { // Both are chosen at random until the slow one has answered.
		if send(); len(slow.requests()) > 0 {
			break
		}
	}
	before := len(slow.requests())
	g.Expect(before).NotTo(BeZero())
	for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); {
		send()
	}
	g.Expect(len(slow.requests())).To(Equal(before))
	unreadable.Store(true)
	g.Eventually(func() int32 { send(); return unreadableLines.Load() }, 5*time.Second, time.Millisecond).Should(Equal(int32(1)))
	received := len(slow.requests())
	g.Eventually(func() int { send(); return len(slow.requests()) }, 5*time.Second, time.Millisecond).Should(BeNumerically(">", received+2))
	g.Expect(unreadableLines.Load()).To(Equal(int32(1)))

	only := newEntryWithConfig(t, codec{}, func(cfg *relay.Config) { cfg.Observed, cfg.Log = loadview.NewObservedTable(nil), log },
		newUpstream(t, "u3", respondWithLoad(func() string { return "0,0,6,2.5" })))
	for range 2 {
		g.Expect(only.send(context.Background(), "/look/", nil).status).To(Equal(http.StatusOK))
	}
	g.Eventually(slowLines.Load).ShouldNot(BeZero())
}
