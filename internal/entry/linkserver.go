package entry

import (
	"context"
	"net"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/quarantine"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// maxHandshakes bounds connections that have not proved anything yet.
const maxHandshakes = 256

// acceptLinks serves the link listener until it is closed.
func (e *Entry) acceptLinks(ctx context.Context) error {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		nc, err := e.linkListener.Accept()
		if err != nil {
			return err
		}
		select {
		case handshakes <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		e.duties.Add(1)
		go func() {
			defer e.duties.Done()
			e.acceptLink(ctx, nc, handshakes)
		}()
	}
}

func (e *Entry) acceptLink(ctx context.Context, nc net.Conn, handshakes <-chan struct{}) {
	conn, err := link.Accept(nc, e.self, e.linkCfg, e.status)
	<-handshakes
	if err != nil {
		telemetry.Debug(e.log).Info("link refused", "from", nc.RemoteAddr().String(), "cause", err.Error())
		return
	}
	e.serveLink(ctx, conn, false)
}

// status is the heartbeat of this entry.
func (e *Entry) status() message.Heartbeat {
	return message.Heartbeat{Revision: e.holder.Revision(), Leaving: e.leaving.Load()}
}

// serveLink runs a link until it is closed.
func (e *Entry) serveLink(ctx context.Context, conn *link.Conn, dialled bool) {
	peer := conn.Peer()
	if peer.NodeID == e.self.NodeID || !e.links.admit(conn, dialled) {
		conn.Close()
		return
	}
	e.log.Info("link opened", "peer", peer.NodeID, "role", peer.Role, "data_centre", peer.DataCentre)
	err := conn.Serve(ctx, e.handle)
	e.links.remove(conn)
	e.table.Remove(conn)
	e.views.remove(conn)
	e.log.Info("link closed", "peer", peer.NodeID, "cause", err.Error())
}

// handle takes every message of every link. It does not block.
func (e *Entry) handle(conn *link.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.Heartbeat:
		e.handleHeartbeat(conn, *m)
	case *message.Announce:
		if conn.Peer().Role == message.RoleAgent && e.links.current(conn) {
			e.logUpstream(conn.Peer().NodeID, m)
			e.table.PutUpstream(conn, *m)
			e.router.ResetSent(conn.Peer().NodeID)
		}
	case *message.PeerView:
		if conn.Peer().Role == message.RoleEntry {
			e.views.put(conn, m)
		}
	case *message.CrashReport:
		e.handleCrash(conn, m)
	case *message.ConfigRequest, *message.ConfigReply:
		e.handleConfiguration(conn, m)
	case *message.Submit, *message.Query:
		// Only entries forward requests; agents are asked, they do not ask.
		if conn.Peer().Role == message.RoleEntry {
			e.dispatcher.Handle(conn, m)
		}
	default:
		e.dispatcher.Handle(conn, m)
	}
}

// logUpstream logs an announcement that changes the state or the version of an upstream.
func (e *Entry) logUpstream(agent string, next *message.Announce) {
	old, _ := e.table.Upstream(agent)
	if old.Announce.State != next.State || old.Announce.LoadedVersion != next.LoadedVersion {
		e.log.Info("upstream announced", "agent", agent, "pool", next.Pool, "state", next.State, "version", next.LoadedVersion)
	}
}

func (e *Entry) handleHeartbeat(conn *link.Conn, heartbeat message.Heartbeat) {
	if e.links.current(conn) {
		if conn.Peer().Role == message.RoleEntry {
			e.table.PutEntry(conn, heartbeat)
		} else {
			e.table.PutHeartbeat(conn, heartbeat)
		}
	}
	e.syncer.HandleHeartbeat(conn, heartbeat.Revision)
}

func (e *Entry) handleCrash(conn *link.Conn, m *message.CrashReport) {
	crash := quarantine.Crash{AgentID: m.AgentID, Incarnation: m.UpstreamIncarnation, BesideSuspect: m.BesideSuspect}
	age := time.Duration(m.AgeMillis) * time.Millisecond
	if conn.Peer().Role == message.RoleEntry && e.quarantine.Record(m.Fingerprint, crash, age) {
		e.crashes.enqueue(crashNews{fingerprint: m.Fingerprint, crash: crash, at: time.Now().Add(-age), from: conn})
	}
}
