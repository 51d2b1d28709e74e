package link_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against heartbeats beside traffic, which were most messages of a large fleet in calm seconds, against a link that counts as silent
// without them, and against a changed status that waits for a pause in the traffic.
func TestHeartbeatsAreSentOnlyWithoutOtherMessages(t *testing.T) {
	g := NewWithT(t)
	const interval = 100 * time.Millisecond
	cfg := link.Config{Secret: secret, HeartbeatInterval: interval, SilenceTimeout: 4 * interval}
	dialer, acceptor, dialErr, acceptErr := connect(t, cfg, cfg)
	g.Expect(dialErr).NotTo(HaveOccurred())
	g.Expect(acceptErr).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var heartbeats, others atomic.Int64
	go func() { _ = dialer.Serve(ctx, func(*link.Conn, message.Message) {}) }()
	go func() {
		_ = acceptor.Serve(ctx, func(_ *link.Conn, m message.Message) {
			if m.MessageType() == message.TypeHeartbeat {
				heartbeats.Add(1)
			} else {
				others.Add(1)
			}
		})
	}()
	for range 40 {
		g.Expect(dialer.Send(ctx, &message.EntryWork{NodeID: "a"})).To(Succeed())
		time.Sleep(interval / 4)
	}
	g.Eventually(others.Load, time.Second).Should(BeEquivalentTo(40))
	g.Expect(heartbeats.Load()).To(BeNumerically("<=", 3), "heartbeats in 10 intervals with messages")
	before := heartbeats.Load()
	g.Eventually(heartbeats.Load, 20*interval).Should(BeNumerically(">=", before+5), "heartbeats without messages")
	g.Expect(acceptor.Err()).NotTo(HaveOccurred())
}
