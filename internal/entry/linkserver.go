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

// maxHandshakes bounds the accepted connections that have not completed the handshake, and so are not authenticated.
const maxHandshakes = 256

// acceptLinks accepts connections on the link listener until it is closed. Connections beyond maxHandshakes concurrent handshakes
// are closed.
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
		e.tasks.Add(1)
		go func() {
			defer e.tasks.Done()
			e.acceptLink(ctx, nc, handshakes)
		}()
	}
}

// acceptLink performs the handshake on nc and serves the link until it is closed.
func (e *Entry) acceptLink(ctx context.Context, nc net.Conn, handshakes <-chan struct{}) {
	conn, err := link.Accept(nc, e.self, e.linkCfg, e.heartbeat)
	<-handshakes
	if err != nil {
		telemetry.Debug(e.log).Info("link handshake failed", "from", nc.RemoteAddr().String(), "cause", err.Error())
		return
	}
	e.serveLink(ctx, conn, false)
}

// heartbeat returns the heartbeat that this entry sends on its links.
func (e *Entry) heartbeat() message.Heartbeat {
	return message.Heartbeat{Revision: e.holder.Revision(), Leaving: e.leaving.Load()}
}

// serveLink serves a link until it is closed. dialled reports whether this entry dialled it. A link to this entry itself, or
// one that the link set does not admit, is closed at once.
func (e *Entry) serveLink(ctx context.Context, conn *link.Conn, dialled bool) {
	peer := conn.Peer()
	if peer.NodeID == e.self.NodeID || !e.links.admit(conn, dialled) {
		conn.Close()
		return
	}
	e.log.Info("link opened", "peer", peer.NodeID, "role", peer.Role, "data_centre", peer.DataCentre)
	err := conn.Serve(ctx, e.handleMessage)
	e.links.remove(conn)
	e.table.Remove(conn)
	e.peerViews.remove(conn)
	e.log.Info("link closed", "peer", peer.NodeID, "cause", err.Error())
}

// handleMessage handles each message that arrives on a link. It does not block.
func (e *Entry) handleMessage(conn *link.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.Heartbeat:
		e.handleHeartbeat(conn, *m)
	case *message.Announce:
		if conn.Peer().Role == message.RoleAgent && e.links.isCurrent(conn) {
			e.logUpstreamChange(conn.Peer().NodeID, m)
			e.table.PutUpstream(conn, *m)
			e.router.ResetSent(conn.Peer().NodeID)
		}
	case *message.PeerView:
		if conn.Peer().Role == message.RoleEntry {
			e.peerViews.put(conn, m)
		}
	case *message.CrashReport:
		e.handleCrashReport(conn, m)
	case *message.ConfigRequest, *message.ConfigReply:
		e.handleConfigMessage(conn, m)
	case *message.Submit, *message.Query:
		// Only entries forward requests. An agent receives these messages and does not send them.
		if conn.Peer().Role == message.RoleEntry {
			e.dispatcher.Handle(conn, m)
		}
	default:
		e.dispatcher.Handle(conn, m)
	}
}

// logUpstreamChange logs an announcement that changes the state or the loaded version of an upstream.
func (e *Entry) logUpstreamChange(agent string, announce *message.Announce) {
	previous, _ := e.table.Upstream(agent)
	if previous.Announce.State != announce.State || previous.Announce.LoadedVersion != announce.LoadedVersion {
		e.log.Info("upstream announced", "agent", agent, "pool", announce.Pool, "state", announce.State,
			"version", announce.LoadedVersion)
	}
}

// handleHeartbeat records a heartbeat in the table, unless another link has replaced conn, and passes the revision to the syncer.
func (e *Entry) handleHeartbeat(conn *link.Conn, heartbeat message.Heartbeat) {
	if e.links.isCurrent(conn) {
		if conn.Peer().Role == message.RoleEntry {
			e.table.PutEntry(conn, heartbeat)
		} else {
			e.table.PutHeartbeat(conn, heartbeat)
		}
	}
	e.syncer.HandleHeartbeat(conn, heartbeat.Revision)
}

// handleCrashReport records a crash that another entry has reported, and forwards the report if it is new.
func (e *Entry) handleCrashReport(conn *link.Conn, m *message.CrashReport) {
	crash := quarantine.Crash{AgentID: m.AgentID, Incarnation: m.UpstreamIncarnation, BesideSuspect: m.BesideSuspect}
	age := time.Duration(m.AgeMillis) * time.Millisecond
	if conn.Peer().Role == message.RoleEntry && e.quarantine.Record(m.Fingerprint, crash, age) {
		e.crashReports.enqueue(crashReport{fingerprint: m.Fingerprint, crash: crash, detectedAt: time.Now().Add(-age), source: conn})
	}
}
