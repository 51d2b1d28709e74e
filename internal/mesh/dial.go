package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/overlay"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// nodeJitter returns a fixed delay of less than 300 ms for a node, so that nodes do not react to the same event all at once.
func nodeJitter(nodeID string) time.Duration {
	return time.Duration(xxhash.Sum64String(nodeID)%300) * time.Millisecond
}

// dialLoop dials missing links at each dialInterval, or at once after triggerDial.
func (m *Mesh) dialLoop(ctx context.Context) {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, address := range m.addressesToDial() {
			m.startDial(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.dialNow:
		}
	}
}

// addressesToDial returns the link addresses of members that this node should be linked to and is not, and the seeds while it has
// no link at all. It also drops members that have not been linked for memberRetention.
func (m *Mesh) addressesToDial() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, member := range m.members {
		if m.links[id] != nil {
			member.lastSeen = now
		}
		if now.Sub(member.lastSeen) > memberRetention {
			delete(m.members, id)
			m.ranking = nil
		}
	}
	var out []string
	for _, id := range m.overlayNode().Plan(m.knownEntries()) {
		if m.links[id] == nil {
			out = append(out, m.members[id].Address)
		}
	}
	if len(m.links) == 0 {
		out = append(out, m.cfg.Seeds...)
	}
	return out
}

// overlayNode returns this node as package overlay sees it.
func (m *Mesh) overlayNode() overlay.Node {
	return overlay.Node{ID: m.cfg.Self.NodeID, DataCentre: m.cfg.Self.DataCentre, IsEntry: m.cfg.Self.Role == message.RoleEntry}
}

// surplusCheckInterval is the time between checks for links that are not needed any more. A link is closed at the second check in a row that
// finds it so.
const surplusCheckInterval = 2 * time.Second

// closeSurplusLinks closes links to other data centres that this node has dialled and does not need any more, until ctx ends. Nodes that
// start know only a few others, and link to those. The other side dials again if it needs the link.
func (m *Mesh) closeSurplusLinks(ctx context.Context) {
	surplus := map[*peer]bool{}
	for {
		pause.For(ctx, surplusCheckInterval)
		if ctx.Err() != nil {
			return
		}
		found := map[*peer]bool{}
		for _, p := range m.surplusLinks() {
			if surplus[p] {
				m.cfg.Log.Info("link closed, it is not needed any more", "peer", p.hello.NodeID, "data_centre", p.hello.DataCentre)
				p.conn.Close()
			} else {
				found[p] = true
			}
		}
		surplus = found
	}
}

// surplusLinks returns the dialled links to other data centres that this node does not plan to keep. There are none while it has no link in
// its own data centre.
func (m *Mesh) surplusLinks() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var remote []*peer
	hasLocalLink := false
	for _, p := range m.links {
		local := p.hello.DataCentre == m.cfg.Self.DataCentre
		hasLocalLink = hasLocalLink || local && isEntry(p)
		if p.dialled && !local {
			remote = append(remote, p)
		}
	}
	if !hasLocalLink || len(remote) == 0 {
		return nil
	}
	planned := m.overlayNode().Plan(m.knownEntries())
	return slices.DeleteFunc(remote, func(p *peer) bool { return slices.Contains(planned, p.hello.NodeID) })
}

// maxBackoff returns the upper bound of the backoff between attempts to dial. A node without any link retries at dialInterval:
// after a power loss all nodes start at about the same time, and agents cannot load weights before they are linked to an entry.
// The caller holds mu.
func (m *Mesh) maxBackoff() time.Duration {
	if len(m.links) == 0 {
		return dialInterval
	}
	return maxDialBackoff
}

// startDial dials an address in the background unless an attempt is under way or the backoff has not passed.
func (m *Mesh) startDial(ctx context.Context, address string) {
	if address == m.cfg.Self.Address || address == "" {
		return
	}
	m.mu.Lock()
	state := m.dials[address]
	if state == nil {
		state = &dialState{}
		m.dials[address] = state
	}
	if state.dialling || time.Now().Before(state.nextAttempt) {
		m.mu.Unlock()
		return
	}
	state.dialling = true
	m.mu.Unlock()
	go func() {
		conn, err := link.Dial(ctx, address, m.cfg.Self, m.linkCfg, m.status)
		m.mu.Lock()
		state.dialling = false
		if err != nil {
			state.backoff = min(max(2*state.backoff, dialInterval), m.maxBackoff())
			state.nextAttempt = time.Now().Add(state.backoff/2 + nodeJitter(address+m.cfg.Self.NodeID)/2)
		} else {
			state.backoff, state.nextAttempt = 0, time.Now().Add(dialInterval)
		}
		duplicate := err == nil && (conn.Peer().NodeID == m.cfg.Self.NodeID || m.links[conn.Peer().NodeID] != nil)
		m.mu.Unlock()
		if err != nil {
			return
		}
		if duplicate {
			conn.Close()
			return
		}
		m.serveLink(ctx, conn, true)
	}()
}
