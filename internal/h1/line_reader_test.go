package h1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/h1"
)

// Guards against bytes of a body that are lost, or wait for later ones, wherever the packets of its chunks are split.
func TestLineReaderReturnsLinesWhereverPacketsAreSplit(t *testing.T) {
	const lines, chunk = "first\n", "second\n\nthi"
	wire := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n4\r\nrd\r\n\r\n0\r\n\r\n", len(lines), lines, len(chunk), chunk)
	end := strings.Index(wire, "0\r\n\r\n")
	for split := range len(wire) {
		g := NewWithT(t)
		rest := make(chan struct{})
		addr := serve(t, func(nc net.Conn, br *bufio.Reader) {
			id, _ := readRequest(br)
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", id, wire[:split])
			<-rest
			_, _ = io.WriteString(nc, wire[split:])
		})
		c, err := h1.NewPool().Get(context.Background(), addr, false, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		//nolint:bodyclose // The connection is closed instead.
		resp, err := c.Do(context.Background(), &h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}}, time.Second,
			func(*http.Response) bool { return true })
		g.Expect(err).NotTo(HaveOccurred())
		body, text := c.LineReader(resp.Body), ""
		c.SetReadTimeout(time.Second)
		read := func() error {
			buf := make([]byte, 64)
			n, err := body.Read(buf)
			text += string(buf[:n])
			return err
		}
		if firstEnd := strings.Index(wire, lines) + len(lines); split >= firstEnd && split <= end {
			for !strings.HasPrefix(text, lines) {
				g.Expect(read()).To(Succeed(), "split at %d", split)
			}
		}
		close(rest)
		for err = nil; err == nil; {
			err = read()
		}
		g.Expect(err).To(MatchError(io.EOF), "split at %d", split)
		g.Expect(text).To(Equal(lines+chunk+"rd\r\n"), "split at %d", split)
		c.Close()
	}
}
