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

// connect returns the two ends of a new link over loopback. Neither is served yet.
func connect(t *testing.T, dialCfg, acceptCfg link.Config) (dialer, acceptor *link.Conn, dialErr, acceptErr error) {
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

// Guards against messages of one link that are lost or reordered.
func TestMessagesArriveInOrder(t *testing.T) {
	g := NewWithT(t)
	dialer, acceptor, dialErr, acceptErr := connect(t, link.Config{Secret: secret}, link.Config{Secret: secret})
	g.Expect(dialErr).NotTo(HaveOccurred())
	g.Expect(acceptErr).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	offsets := make(chan int64, 100)
	go func() { _ = dialer.Serve(ctx, func(*link.Conn, message.Message) {}) }()
	go func() {
		_ = acceptor.Serve(ctx, func(_ *link.Conn, m message.Message) {
			if body, ok := m.(*message.ResponseBody); ok {
				offsets <- body.Offset
			}
		})
	}()
	for i := range int64(100) {
		g.Expect(dialer.Send(ctx, &message.ResponseBody{Offset: i, Data: []byte("x")})).To(Succeed())
	}
	for i := range int64(100) {
		g.Eventually(offsets).Should(Receive(Equal(i)))
	}
}

// Guards against accepting a node that does not hold the link secret.
func TestHandshakeRefusesWrongSecret(t *testing.T) {
	g := NewWithT(t)
	_, _, dialErr, acceptErr := connect(t, link.Config{Secret: secret}, link.Config{Secret: []byte("another secret 16")})
	g.Expect(errors.Is(dialErr, link.ErrHandshake) || errors.Is(acceptErr, link.ErrHandshake)).To(BeTrue())
	g.Expect(errors.Is(acceptErr, link.ErrHandshake)).To(BeTrue())
}

// Guards against a connection that stays open although nothing arrives on it any more.
func TestSilentConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	cfg := link.Config{Secret: secret, HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 100 * time.Millisecond}
	dialer, _, dialErr, acceptErr := connect(t, cfg, cfg)
	g.Expect(dialErr).NotTo(HaveOccurred())
	g.Expect(acceptErr).NotTo(HaveOccurred())
	// Serve is not called on the other end, so it sends nothing.
	err := dialer.Serve(context.Background(), func(*link.Conn, message.Message) {})
	g.Expect(errors.Is(err, link.ErrSilent)).To(BeTrue())
	g.Expect(errors.Is(dialer.Send(context.Background(), &message.Cancel{}), link.ErrClosed)).To(BeTrue())
}

// maxDecodeBytes bounds the memory allocated for a frame. 64 KiB of the smallest elements decode to about 13 MiB.
const maxDecodeBytes = 64 << 20

// Guards against allocating memory for the length that an unauthenticated peer announces, and against panics of the decoder.
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
