package link_test

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

func status() message.Heartbeat { return message.Heartbeat{Revision: 7} }

var secret = []byte("0123456789abcdef")

// pair returns the two ends of a link over loopback.
func pair(t *testing.T, dialCfg, acceptCfg link.Config) (dialer, acceptor *link.Conn, dialErr, acceptErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := listener.Accept()
		if err != nil {
			acceptErr = err
			return
		}
		acceptor, acceptErr = link.Accept(nc, message.Hello{NodeID: "entry-1", Role: message.RoleEntry}, acceptCfg, status)
	}()
	dialer, dialErr = link.Dial(context.Background(), listener.Addr().String(),
		message.Hello{NodeID: "agent-1", Role: message.RoleAgent}, dialCfg, status)
	<-done
	return dialer, acceptor, dialErr, acceptErr
}

func TestMessagesArriveInOrder(t *testing.T) {
	g := NewWithT(t)
	a, b, err1, err2 := pair(t, link.Config{Secret: secret}, link.Config{Secret: secret})
	g.Expect(err1).NotTo(HaveOccurred())
	g.Expect(err2).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan int64, 100)
	go func() { _ = a.Serve(ctx, func(*link.Conn, message.Message) {}) }()
	go func() {
		_ = b.Serve(ctx, func(_ *link.Conn, m message.Message) {
			if body, ok := m.(*message.ResponseBody); ok {
				got <- body.Offset
			}
		})
	}()
	for i := range int64(100) {
		g.Expect(a.Send(ctx, &message.ResponseBody{Offset: i, Data: []byte("x")})).To(Succeed())
	}
	for i := range int64(100) {
		g.Eventually(got).Should(Receive(Equal(i)))
	}
}

// Guards against accepting a node that does not hold the link secret.
func TestHandshakeRefusesWrongSecret(t *testing.T) {
	g := NewWithT(t)
	_, _, err1, err2 := pair(t, link.Config{Secret: secret}, link.Config{Secret: []byte("another secret 16")})
	g.Expect(errors.Is(err1, link.ErrHandshake) || errors.Is(err2, link.ErrHandshake)).To(BeTrue())
	g.Expect(errors.Is(err2, link.ErrHandshake)).To(BeTrue())
}

// Guards against an open connection that went silent and is never noticed.
func TestSilentConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	cfg := link.Config{Secret: secret, HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 100 * time.Millisecond}
	a, _, err1, err2 := pair(t, cfg, cfg)
	g.Expect(err1).NotTo(HaveOccurred())
	g.Expect(err2).NotTo(HaveOccurred())
	// The other end never serves, so it sends nothing.
	err := a.Serve(context.Background(), func(*link.Conn, message.Message) {})
	g.Expect(errors.Is(err, link.ErrSilent)).To(BeTrue())
	g.Expect(errors.Is(a.Send(context.Background(), &message.Cancel{}), link.ErrClosed)).To(BeTrue())
}

// maxDecodeBytes is above what 64 KiB of the smallest elements decode to, which is about 13 MiB.
const maxDecodeBytes = 64 << 20

// Guards against memory allocation by an unauthenticated length prefix, and against panics of the decoder.
func FuzzReadFrame(f *testing.F) {
	frame, err := link.AppendFrame(nil, &message.Submit{Caller: "c", Body: []byte("body")}, 1<<20)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, _ = link.ReadFrame(bytes.NewReader(data), 1<<16)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxDecodeBytes {
			t.Fatalf("a frame of %d bytes allocated %d", len(data), allocated)
		}
	})
}
