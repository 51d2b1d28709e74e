package h1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/h1"
)

// Guards against a status below 100 that is taken for an interim response: the body, which may hold a response to another request, would be
// read as the next head, and without one the request would wait until its deadline.
func TestStatusBelow100IsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+99"} {
		for name, body := range map[string]string{"body with a response": response("1", "of another request"), "no body": ""} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
					id, err := readRequest(br)
					if err == nil {
						_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s x\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
						_, _ = io.Copy(io.Discard, br) // The connection stays open.
					}
				})
				started := time.Now()
				answer, _, err := roundTrip(t, h1.NewPool(), addr, "1", 0)
				g.Expect(answer).To(BeEmpty())
				g.Expect(errors.Is(err, h1.ErrMalformed)).To(BeTrue(), "%v", err)
				g.Expect(errors.Is(err, h1.ErrBroken)).To(BeTrue(), "%v", err)
				g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			})
		}
	}
}

// Guards against interim responses that are rejected, or accepted without a limit.
func TestTwoInterimResponsesAreAllowed(t *testing.T) {
	for count, allowed := range map[int]bool{0: true, 1: true, 2: true, 3: false} {
		g := NewWithT(t)
		addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
			id, err := readRequest(br)
			if err == nil {
				_, _ = io.WriteString(nc, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", count)+response(id, "ok"))
			}
		})
		answer, _, err := roundTrip(t, h1.NewPool(), addr, "1", 0)
		if allowed {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer).To(Equal("ok"))
		} else {
			g.Expect(errors.Is(err, h1.ErrMalformed)).To(BeTrue(), "%v", err)
		}
	}
}
