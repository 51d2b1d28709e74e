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
