package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// sendEndlessly returns a script that sends the head of a response with the given status line and header lines, and then part without end,
// with a pause after each. It ends when the connection is closed.
func sendEndlessly(head, part string, pause time.Duration) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %s\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", head, req.Header.Get("Id"))
		for err == nil {
			_, err = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
			time.Sleep(pause)
		}
	}
}

// trackClose returns script and a channel that receives a value whenever script has returned.
func trackClose(script func(net.Conn, *http.Request)) (tracked func(net.Conn, *http.Request), closed <-chan struct{}) {
	ended := make(chan struct{}, 100)
	return func(nc net.Conn, req *http.Request) {
		script(nc, req)
		_ = nc.Close()
		ended <- struct{}{}
	}, ended
}

// Guards against waiting for the end of the body of a refusal: a request that another upstream could have served was reported as
// possibly run after its deadline.
func TestEndlessBodyOfRefusalIsNotRead(t *testing.T) {
	for name, pause := range map[string]time.Duration{"slow": 10 * time.Millisecond, "fast": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script, closed := trackClose(sendEndlessly("503 x\r\nNot-Run: 1", strings.Repeat("x", 100), pause))
			full, free := newUpstream(t, "u1", script), newUpstream(t, "u2", respondOK)
			e := newEntry(t, full, free)
			for i := 0; len(full.requests()) == 0 && i < 64; i++ {
				a := e.send(context.Background(), "/order/", nil)
				g.Expect(a.status).To(Equal(200))
				g.Expect(a.elapsed).To(BeNumerically("<", 700*time.Millisecond))
			}
			g.Eventually(closed, "2s").Should(Receive())
			alone := newEntry(t, newUpstream(t, "u1", script))
			g.Expect(alone.send(context.Background(), "/order/", nil).status).To(Equal(503))
		})
	}
}

