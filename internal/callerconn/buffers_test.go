package callerconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against callers that read nothing and hold megabytes in the kernel, which count towards the memory of the process.
func TestKernelHoldsLittleForACallerThatDoesNotRead(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	tracker := NewTracker(func() time.Duration { return time.Minute })
	tracker.LimitBuffers()
	server := &http.Server{ConnState: tracker.ConnState, ReadHeaderTimeout: headWait,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 16<<20))
		})}
	go func() { _ = server.Serve(tracker.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	caller, err := dialer.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, request)
	g.Expect(err).NotTo(HaveOccurred())
	const most = 2 * socketBuffer
	g.Eventually(tracker.Unread, waitTimeout).Should(BeNumerically(">", most/2))
	g.Consistently(tracker.Unread, 300*time.Millisecond).Should(BeNumerically("<=", most))
	for _, c := range tracker.all() {
		g.Expect(c.raw.Control(func(fd uintptr) {
			timeout, _ := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			g.Expect(timeout).To(Equal(int(unreadTimeout.Milliseconds())))
		})).To(Succeed())
	}
}
