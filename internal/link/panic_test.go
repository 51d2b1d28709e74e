package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against one message that ends the whole process because its handling panics.
func TestPanicOfTheHandlerEndsTheLinkOnly(t *testing.T) {
	g := NewWithT(t)
	dialer, acceptor, dialErr, acceptErr := connect(t, link.Config{Secret: secret}, link.Config{Secret: secret})
	g.Expect(dialErr).NotTo(HaveOccurred())
	g.Expect(acceptErr).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = dialer.Serve(ctx, func(*link.Conn, message.Message) {}) }()
	ended := make(chan error, 1)
	go func() {
		ended <- acceptor.Serve(ctx, func(_ *link.Conn, m message.Message) {
			if work, ok := m.(*message.EntryWork); ok {
				_ = work.Work[0] // The list is empty.
			}
		})
	}()
	g.Expect(dialer.Send(ctx, &message.EntryWork{NodeID: "a"})).To(Succeed())
	var err error
	g.Eventually(ended, 2*time.Second).Should(Receive(&err))
	g.Expect(errors.Is(err, link.ErrHandlerPanic)).To(BeTrue())
	g.Expect(err.Error()).To(And(ContainSubstring("EntryWork from agent-1"), ContainSubstring("panic_test.go")))
	g.Eventually(dialer.Done(), 2*time.Second).Should(BeClosed())
}
