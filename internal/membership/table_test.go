package membership

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// connect returns the accepting end of a link that a node with the given identity dialled.
func connect(t *testing.T, peer message.Hello) *link.Conn {
	t.Helper()
	g := NewWithT(t)
	status := func() message.Heartbeat { return message.Heartbeat{} }
	cfg := link.Config{Secret: []byte("0123456789abcdef")}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled := make(chan error, 1)
	go func() {
		conn, err := link.Dial(t.Context(), listener.Addr().String(), peer, cfg, status)
		if err == nil {
			t.Cleanup(conn.Close)
		}
		dialled <- err
	}()
	nc, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	conn, err := link.Accept(nc, message.Hello{NodeID: "entry-1", Role: message.RoleEntry}, cfg, status)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-dialled).To(Succeed())
	t.Cleanup(conn.Close)
	return conn
}

// Guards against notifications without a change: each makes every subscriber compare the whole table, and the instance list and
// heartbeats arrive every second.
func TestSubscribersAreNotifiedOnlyOfChanges(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	agent := connect(t, message.Hello{NodeID: "agent-1", Role: message.RoleAgent})
	other := connect(t, message.Hello{NodeID: "entry-2", Role: message.RoleEntry})
	table.PutUpstream(agent, message.Announce{State: message.StateServing})
	table.PutEntry(other, message.Heartbeat{Revision: 1})
	changes, stop := table.Subscribe()
	defer stop()
	for _, step := range []struct {
		change func()
		notify bool
	}{
		{func() { table.SetListedLeaving(map[string]bool{"agent-1": true}) }, true},
		{func() { table.SetListedLeaving(map[string]bool{"agent-1": true}) }, false},
		{func() { table.SetListedLeaving(nil) }, true},
		{func() { table.SetListedLeaving(map[string]bool{"agent-9": true}) }, false},
		{func() { table.PutEntry(other, message.Heartbeat{Revision: 1}) }, false},
		{func() { table.PutEntry(other, message.Heartbeat{Revision: 2}) }, true},
	} {
		step.change()
		select {
		case <-changes:
			g.Expect(step.notify).To(BeTrue())
		default:
			g.Expect(step.notify).To(BeFalse())
		}
	}
}

// Guards against a restarted node that is shown with the state of its earlier process.
func TestHigherIncarnationWins(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	older := connect(t, message.Hello{NodeID: "agent-1", Role: message.RoleAgent, Incarnation: 1})
	newer := connect(t, message.Hello{NodeID: "agent-1", Role: message.RoleAgent, Incarnation: 2})
	g.Expect(table.PutUpstream(newer, message.Announce{Pool: "new"})).To(BeTrue())
	g.Expect(table.PutUpstream(older, message.Announce{Pool: "old"})).To(BeFalse())
	table.Remove(older)
	u, ok := table.Upstream("agent-1")
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Announce.Pool).To(Equal("new"))
}
