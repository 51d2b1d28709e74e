package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/engine"
)

// newRawUpstream starts an upstream that answers each request with raw, and returns a client.
func newRawUpstream(t *testing.T, raw string) *engine.Upstream {
	return newUpstream(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		var nc net.Conn
		nc, _, _ = w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(nc, raw)
		_ = nc.Close()
	})
}

// Guards against a status below 100 that net/http accepts as final: it would be passed on to the caller, an upstream in trouble would count
// as healthy, and an order to load a version as accepted.
func TestStatusBelow100IsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			u := newRawUpstream(t, fmt.Sprintf("HTTP/1.1 %s x\r\nContent-Length: 2\r\n\r\nok", status))
			_, err := u.Do(context.Background(), newOrder())
			g.Expect(err).To(matchErr(engine.ErrMayHaveRun))
			g.Expect(u.Health(context.Background())).To(matchErr(engine.ErrControl))
			g.Expect(u.Load(context.Background(), "v", "s", 1)).To(matchErr(engine.ErrControl))
		})
	}
}

// Guards against interim responses that are rejected, or accepted without a limit.
func TestTwoInterimResponsesAreAllowed(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	g := NewWithT(t)
	u := newRawUpstream(t, strings.Repeat(interim, 2)+final)
	body, err := doAndRead(u, newOrder())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Expect(u.Health(context.Background())).To(Succeed())
	u = newRawUpstream(t, strings.Repeat(interim, 3)+final)
	_, err = u.Do(context.Background(), newOrder())
	g.Expect(err).To(matchErr(engine.ErrMayHaveRun))
	g.Expect(u.Health(context.Background())).To(matchErr(engine.ErrControl))
}

// Guards against a health check that takes a status of 600 and over for a success.
func TestStatusFrom600IsUnhealthy(t *testing.T) {
	g := NewWithT(t)
	for _, status := range []string{"600", "999"} {
		u := newRawUpstream(t, fmt.Sprintf("HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n", status))
		g.Expect(u.Health(context.Background())).To(matchErr(engine.ErrUnhealthy))
	}
}
