package h1_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/pimentohead/pimentohead/internal/h1"
)

// Guards against an upstream that reads a request slowly and holds megabytes in the kernel, which count towards the memory of the process. A
// body that is written counts as gone from the memory budget.
func TestKernelHoldsLittleForAnUpstreamThatDoesNotRead(t *testing.T) {
	g := NewWithT(t)
	const peerBuffer, sendBuffer = 16 << 10, 64 << 10 // The kernel doubles both.
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, peerBuffer) })
	}}
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	pool := h1.NewPool()
	pool.LimitBuffers()
	conn, err := pool.Get(context.Background(), l.Addr().String(), true, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	upstream, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = upstream.Close() }()
	body := make([]byte, 16<<20)
	go func() {
		//nolint:bodyclose // There is no response.
		_, _ = conn.Do(context.Background(), &h1.Request{Method: "POST", Target: "/", Host: "h", Body: body}, 0, nil)
	}()
	time.Sleep(300 * time.Millisecond)
	conn.Close()
	_ = upstream.SetReadDeadline(time.Now().Add(2 * time.Second))
	var n int64
	part := make([]byte, 64<<10)
	for err == nil {
		var m int
		m, err = upstream.Read(part)
		n += int64(m)
	}
	g.Expect(n).To(BeNumerically("<=", 2*(peerBuffer+sendBuffer)))
}
