package confsync_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/controller/confsync"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// linkHandler returns a handler that passes the messages of a real link to a syncer.
func linkHandler(s *confsync.Syncer) link.Handler {
	return func(conn *link.Conn, m message.Message) {
		switch m := m.(type) {
		case *message.Heartbeat:
			s.HandleHeartbeat(conn, m.Revision)
		case *message.ConfigRequest:
			s.HandleRequest(conn, m)
		case *message.ConfigReply:
			s.HandleReply(conn, m)
		}
	}
}

// Guards against a deadlock in which a link's read loop waits for the syncer that it delivers to, and against agents that learn
// of a revision only from the next periodic heartbeat: the interval is an hour here.
func TestRevisionsReachAgentsOverRealLinks(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cfg := link.Config{Secret: []byte("0123456789abcdef"), HeartbeatInterval: time.Hour, SilenceTimeout: 3 * time.Hour}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()

	const agents = 10
	holder := config.NewHolder()
	var accepted []*link.Conn // Not changed after the first submission, so Announce needs no lock.
	entry := confsync.New(confsync.Config{NodeID: "entry", Holder: holder, Store: newFakeStore(), Log: logr.Discard(), Announce: func() {
		for _, conn := range accepted {
			conn.NotifyStatus()
		}
	}})
	status := func(h *config.Holder) func() message.Heartbeat {
		return func() message.Heartbeat { return message.Heartbeat{Revision: h.Revision()} }
	}
	var changes []<-chan struct{}
	var holders []*config.Holder
	for range agents {
		agent, agentHolder := newSyncer("agent", nil)
		change, _ := agentHolder.Subscribe()
		changes, holders = append(changes, change), append(holders, agentHolder)
		go func() { _ = agent.Run(ctx) }()
		go func() {
			if conn, err := link.Dial(ctx, listener.Addr().String(), message.Hello{NodeID: "agent"}, cfg, status(agentHolder)); err == nil {
				_ = conn.Serve(ctx, linkHandler(agent))
			}
		}()
		netConn, err := listener.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		conn, err := link.Accept(netConn, message.Hello{NodeID: "entry"}, cfg, status(holder))
		g.Expect(err).NotTo(HaveOccurred())
		accepted = append(accepted, conn)
	}
	go func() { _ = entry.Run(ctx) }()
	for _, conn := range accepted {
		go func() { _ = conn.Serve(ctx, linkHandler(entry)) }()
	}
	for revision := range uint64(3) {
		_, err := entry.Submit(ctx, testSubmission(revision, "sub-"+string('a'+rune(revision)), "fleet"+string('a'+rune(revision))))
		g.Expect(err).NotTo(HaveOccurred())
		for i, change := range changes {
			<-change
			g.Expect(holders[i].Revision()).To(Equal(revision + 1))
		}
	}
}
