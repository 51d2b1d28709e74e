package callerconn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// idlePair returns an idle tracked connection and its peer.
func idlePair(t *testing.T) (*conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(accepted)
	t.Cleanup(func() { _, _ = c.Close(), peer.Close() })
	c.setState(http.StateIdle, time.Minute)
	c.awaitsInput = true
	return c, peer
}

// Guards against closing a connection on which a request has arrived that was not read yet.
func TestConnectionWithPendingInputIsNotClosed(t *testing.T) {
	g := NewWithT(t)
	c, peer := idlePair(t)
	_, _ = io.WriteString(peer, request)
	g.Eventually(c.hasPendingInput, waitTimeout).Should(BeTrue())
	g.Expect(c.closeIf(c.unused)).To(BeFalse())
	read := make([]byte, len(request))
	g.Expect(c.Read(read)).To(Equal(len(request)))
	g.Expect(string(read)).To(Equal(request))
	g.Expect(c.closeIf(c.unused)).To(BeFalse(), "the request has been read")
}

// Guards against a request that is taken from a connection after the decision to close it.
func TestNothingIsReadAfterTheDecisionToClose(t *testing.T) {
	g := NewWithT(t)
	c, peer := idlePair(t)
	c.closing = true
	_, _ = io.WriteString(peer, request)
	n, err := c.Read(make([]byte, len(request)))
	g.Expect(n).To(BeZero())
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Eventually(c.hasPendingInput, waitTimeout).Should(BeTrue())
}

// Guards against errors that net/http does not recognise as those of a connection.
func TestReadErrors(t *testing.T) {
	g := NewWithT(t)
	c, peer := idlePair(t)
	g.Expect(c.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
	_, err := c.Read(make([]byte, 1))
	var failed *net.OpError
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Op).To(Equal("read"))
	g.Expect(failed.Timeout()).To(BeTrue())
	g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
	g.Expect(peer.Close()).To(Succeed())
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
}
