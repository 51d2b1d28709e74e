package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/net/netutil"
)

// slowListener takes a while to accept each connection, as a process does that gets little processor time.
type slowListener struct{ net.Listener }

const acceptDelay = 30 * time.Millisecond

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(acceptDelay)
	return l.Listener.Accept()
}

// Guards against requests that get no answer because their connections had not been accepted yet when a planned stop closed the listener.
func TestConnectionsThatWaitAreAcceptedBeforeTheListenerIsClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := serve(t, slowListener{l}, noHook)
	const callers = 10
	var peers []net.Conn
	for range callers {
		peer, err := net.Dial("tcp", s.address)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = peer.Close() }()
		_, err = io.WriteString(peer, request)
		g.Expect(err).NotTo(HaveOccurred())
		peers = append(peers, peer)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	g.Expect(s.CloseListener(ctx, l)).To(Succeed())
	for _, peer := range peers {
		response, err := http.ReadResponse(bufio.NewReader(peer), nil)
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
	}
}

// Guards against a stop that waits for ever because the server accepts no connections any more.
func TestListenerIsClosedAtTheEndOfTheContext(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = peer.Close() }()
	g.Eventually(func() bool { return hasBacklog(l) }, waitTimeout).Should(BeTrue())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(NewTracker(func() time.Duration { return 0 }).CloseListener(ctx, l)).To(Succeed())
	_, err = net.DialTimeout("tcp", l.Addr().String(), time.Second)
	g.Expect(err).To(HaveOccurred())
}

// Guards against a stop that waits for its whole grace time at the limit of connections: idle ones keep those that wait from being accepted.
func TestIdleConnectionsMakeRoomForThoseThatWait(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &server{address: l.Addr().String(), Tracker: NewTracker(func() time.Duration { return time.Minute })}
	httpServer := &http.Server{ConnState: s.ConnState, ReadHeaderTimeout: headWait,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() { _ = httpServer.Serve(netutil.LimitListener(s.Listener(l), 1)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	send := func() *bufio.Reader {
		peer, err := net.Dial("tcp", s.address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = peer.Close() })
		_, err = io.WriteString(peer, request)
		g.Expect(err).NotTo(HaveOccurred())
		return bufio.NewReader(peer)
	}
	answered := func(input *bufio.Reader) {
		response, err := http.ReadResponse(input, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	answered(send())
	waiting := send()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	g.Expect(s.CloseListener(ctx, l)).To(Succeed())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	answered(waiting)
}
