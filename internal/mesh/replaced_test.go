package mesh_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a node that counts as not linked, so that nothing is sent to it, while a link to it is open: two nodes had dialled each other
// at the same time, and the link that was registered last was closed as the surplus one.
func TestNodeStaysLinkedWhenOneOfTwoLinksIsClosed(t *testing.T) {
	g := NewWithT(t)
	a := entryNode(t, "a", "z1")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hello := message.Hello{NodeID: "b", Role: message.RoleEntry, DataCentre: "z1", Address: "127.0.0.1:1", Incarnation: 1}
	open := func() *link.Conn {
		conn, err := link.Dial(ctx, a.addr, hello, link.Config{Secret: []byte("sixteen byte key"), HeartbeatInterval: 100 * time.Millisecond},
			func() message.Heartbeat { return message.Heartbeat{} })
		g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = conn.Serve(ctx, func(*link.Conn, message.Message) {}) }()
		return conn
	}
	first := open()
	g.Eventually(a.LinkedEntryCount, "2s").Should(Equal(1))
	second := open()
	time.Sleep(100 * time.Millisecond)
	second.Close()
	g.Consistently(a.LinkedEntryCount, "300ms").Should(Equal(1))
	first.Close()
	g.Eventually(a.LinkedEntryCount, "2s").Should(BeZero())
}
