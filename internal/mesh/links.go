package mesh

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// heartbeatInterval and silenceTimeout bound the time to detect a cut or silent link. The latency of links is at most a few
	// ms. handshakeTimeout bounds the handshake on a new link.
	heartbeatInterval = 300 * time.Millisecond
	silenceTimeout    = 1200 * time.Millisecond
	handshakeTimeout  = 800 * time.Millisecond
)

// Serve accepts links until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			m.cfg.Log.Error(err, "cannot accept link", "address", listener.Addr().String())
			pause.For(ctx, dialInterval)
			continue
		}
		go func() {
			conn, err := link.Accept(nc, m.cfg.Self, m.linkCfg, m.status)
			if err != nil {
				m.cfg.Log.V(1).Info("link refused", "cause", err.Error())
				return
			}
			m.serveLink(ctx, conn, false)
		}()
	}
}

// status returns the content of this node's heartbeats.
func (m *Mesh) status() message.Heartbeat {
	return message.Heartbeat{Leaving: m.cfg.Leaving != nil && m.cfg.Leaving()}
}

// serveLink registers a link, sends the initial state, and handles messages until the link fails. It closes the link if a newer
// incarnation of the node is linked already. dialled is set if this node opened it.
func (m *Mesh) serveLink(ctx context.Context, conn *link.Conn, dialled bool) {
	hello := conn.Peer()
	p := &peer{conn: conn, hello: hello, dialled: dialled}
	if !m.register(p) {
		conn.Close()
		return
	}
	m.mergeMembers([]message.Member{memberOf(hello)})
	m.cfg.Log.Info("link up", "peer", hello.NodeID, "data_centre", hello.DataCentre, "address", hello.Address)
	go m.sendInitialState(ctx, p)
	err := conn.Serve(ctx, func(_ *link.Conn, msg message.Message) { m.handle(ctx, p, msg) })
	m.unregister(p)
	m.pending.failAll(p)
	if ctx.Err() == nil {
		m.cfg.Log.Info("link lost", "peer", hello.NodeID, "data_centre", hello.DataCentre, "cause", errorText(err))
	}
	m.triggerDial()
}

// register makes a link the one over which messages to its node are sent, and returns false if a newer incarnation of the node is
// linked.
func (m *Mesh) register(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranking = nil
	id := p.hello.NodeID
	if old := m.links[id]; old != nil {
		if old.hello.Incarnation > p.hello.Incarnation {
			return false
		}
		m.replacedLinks[id] = append(m.replacedLinks[id], old)
	}
	m.links[id] = p
	return true
}

// unregister removes a closed link. If it had replaced another one that is still open, as when two nodes dial each other at the same
// time, messages go over that one again.
func (m *Mesh) unregister(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranking = nil
	id := p.hello.NodeID
	replaced := slices.DeleteFunc(m.replacedLinks[id], only(p))
	if m.links[id] == p {
		delete(m.links, id)
		if last := len(replaced) - 1; last >= 0 {
			m.links[id] = replaced[last]
			replaced = replaced[:last]
		}
	}
	if len(replaced) == 0 {
		delete(m.replacedLinks, id)
	} else {
		m.replacedLinks[id] = replaced
	}
}

// handle processes one message on the read goroutine of its link.
func (m *Mesh) handle(ctx context.Context, p *peer, msg message.Message) {
	switch msg := msg.(type) {
	case *message.Members:
		m.mergeMembers(msg.Members)
	case *message.FleetState:
		m.mergeState(p, msg)
	case *message.UpstreamLoads:
		m.handleLoads(p, msg)
	case *message.EntryWork:
		if m.cfg.PeerWork != nil {
			m.cfg.PeerWork.Apply(msg)
			m.forwardLocally(p, msg)
		}
	case *message.CrashEvidence:
		if m.cfg.Poison != nil {
			m.cfg.Poison.Merge(msg)
		}
	case *message.RateShares:
		m.handleRateShares(p, msg)
	case *message.Refusals:
		m.handleRefusals(msg)
	case *message.Relayed:
		m.handleRelayed(p, msg)
	case *message.WeightsRequest:
		if m.cfg.ServeWeights != nil {
			go m.handleWeightsRequest(ctx, p, msg)
		}
	case *message.WeightsReply:
		m.pending.deliver(msg)
	}
}

// errorText returns the text of an error, or an empty text for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
