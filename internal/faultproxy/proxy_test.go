package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// replyTimeout bounds reads that must succeed, noReplyTimeout reads that must time out.
const (
	replyTimeout   = 20 * time.Second
	noReplyTimeout = 100 * time.Millisecond
)

// echoServer returns the address of a server that returns all data to its sender.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(nc, nc); _ = nc.Close() }()
		}
	}()
	return listener.Addr().String()
}

// startProxy starts a proxy in front of an echo server. The source of its connections is node a.
func startProxy(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	proxy, err := faultproxy.New("127.0.0.1:0", echoServer(t), faultproxy.Source{Node: "a"})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

// echo sends one byte and waits for its return.
func echo(nc net.Conn, timeout time.Duration) error {
	_ = nc.SetDeadline(time.Now().Add(timeout))
	if _, err := nc.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(nc, make([]byte, 1))
	return err
}

// Guards against Silence affecting new connections or closing the existing one.
func TestSilenceAffectsExistingConnectionsOnly(t *testing.T) {
	g := NewWithT(t)
	proxy := startProxy(t)
	old := dial(t, proxy.Address())
	g.Expect(echo(old, replyTimeout)).To(Succeed())
	proxy.Silence(faultproxy.Any)
	g.Expect(echo(old, noReplyTimeout)).To(MatchError(ContainSubstring("timeout")))
	g.Expect(echo(dial(t, proxy.Address()), replyTimeout)).To(Succeed())
	g.Expect(proxy.Connections(faultproxy.Any)).To(Equal(2))
}

// Guards against data that is lost during a Hold, and against a rule that affects sources it does not match.
func TestHoldKeepsDataAndMatchesSource(t *testing.T) {
	g := NewWithT(t)
	proxy := startProxy(t)
	nc := dial(t, proxy.Address())
	other := func(s faultproxy.Source) bool { return s.Node == "b" }
	proxy.Set("other", other, faultproxy.Fault{Hold: true})
	g.Expect(echo(nc, replyTimeout)).To(Succeed())
	proxy.Set("hold", faultproxy.Any, faultproxy.Fault{Hold: true})
	g.Expect(echo(nc, noReplyTimeout)).To(MatchError(ContainSubstring("timeout")))
	proxy.Clear("hold")
	g.Expect(nc.SetDeadline(time.Now().Add(replyTimeout))).To(Succeed())
	_, err := io.ReadFull(nc, make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against Cut leaving connections open, and against a proxy that refuses connections after Listen.
func TestCutAndListen(t *testing.T) {
	g := NewWithT(t)
	proxy := startProxy(t)
	nc := dial(t, proxy.Address())
	g.Expect(echo(nc, replyTimeout)).To(Succeed())
	proxy.Cut()
	g.Expect(echo(nc, replyTimeout)).NotTo(Succeed())
	_, err := net.Dial("tcp", proxy.Address())
	g.Expect(err).To(HaveOccurred())
	g.Expect(proxy.Listen()).To(Succeed())
	g.Expect(echo(dial(t, proxy.Address()), replyTimeout)).To(Succeed())
}

// Guards against limits and delays that are not applied. Only lower bounds on time are checked.
func TestDelayAndBandwidth(t *testing.T) {
	g := NewWithT(t)
	proxy := startProxy(t)
	nc := dial(t, proxy.Address())
	proxy.Set("delay", faultproxy.Any, faultproxy.Fault{Delay: 20 * time.Millisecond})
	begin := time.Now()
	g.Expect(echo(nc, replyTimeout)).To(Succeed())
	g.Expect(time.Since(begin)).To(BeNumerically(">=", 40*time.Millisecond))
	proxy.Set("delay", faultproxy.Any, faultproxy.Fault{Up: faultproxy.Bandwidth(1 << 20)})
	begin = time.Now()
	g.Expect(nc.SetDeadline(begin.Add(replyTimeout))).To(Succeed())
	go func() { _, _ = nc.Write(make([]byte, 128<<10)) }()
	_, err := io.ReadFull(nc, make([]byte, 128<<10))
	g.Expect(err).NotTo(HaveOccurred())
	// The limiter admits its burst of 16 KiB at once; the other 112 KiB are limited to 1 MiB per second.
	g.Expect(time.Since(begin)).To(BeNumerically(">=", 100*time.Millisecond))
}

// Guards against a link proxy that breaks the handshake or does not read the source from the Hello.
func TestLinkProxyIdentifiesSource(t *testing.T) {
	g := NewWithT(t)
	config := link.Config{Secret: []byte("0123456789abcdef")}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	proxy, err := faultproxy.NewLink("127.0.0.1:0", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	status := func() message.Heartbeat { return message.Heartbeat{} }
	accepted := make(chan *link.Conn, 1)
	go func() {
		if nc, err := listener.Accept(); err == nil {
			if c, err := link.Accept(nc, message.Hello{NodeID: "entry-1"}, config, status); err == nil {
				accepted <- c
			}
		}
	}()
	dialled, err := link.Dial(t.Context(), proxy.Address(), message.Hello{NodeID: "agent-1", DataCentre: "fyn"}, config, status)
	g.Expect(err).NotTo(HaveOccurred())
	var c *link.Conn
	g.Eventually(accepted).WithTimeout(replyTimeout).Should(Receive(&c))
	g.Expect(proxy.Connections(func(s faultproxy.Source) bool { return s.DataCentre == "fyn" })).To(Equal(1))
	dialled.Close()
	c.Close()
}
