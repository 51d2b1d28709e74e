package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/overlay"
)

const (
	// dialInterval is the time between checks for missing links, and the shortest backoff.
	dialInterval = 200 * time.Millisecond
	// maxDialBackoff bounds the backoff between attempts to dial one node.
	maxDialBackoff = 2 * time.Second
	// firstConnectTimeout bounds the first attempt of a node without links to connect to an address. It doubles with each attempt, up to
	// handshakeTimeout. After a loss of power nodes start before the instances that they dial, whose packets are lost without an error.
	firstConnectTimeout = 150 * time.Millisecond
)

// dialState holds the progress and the backoff of the attempts to dial one address.
type dialState struct {
	dialling    bool
	nextAttempt time.Time
	backoff     time.Duration
	// connectTimeout bounds the next attempt, see Mesh.connectTimeout; 0 before the first failure.
	connectTimeout time.Duration
}

// triggerDial makes dialLoop check for missing links at once.
func (m *Mesh) triggerDial() {
	select {
	case m.dialNow <- struct{}{}:
	default:
	}
}

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
	defer m.mu.Unlock()
	state := m.dials[address]
	if state == nil {
		state = &dialState{}
		m.dials[address] = state
	}
	if state.dialling || time.Now().Before(state.nextAttempt) {
		return
	}
	state.dialling = true
	go m.dial(ctx, address, state)
}

// dial makes one attempt to open a link to an address, and serves the link until it fails.
func (m *Mesh) dial(ctx context.Context, address string, state *dialState) {
	connectCtx, cancel := context.WithTimeout(ctx, m.connectTimeout(state))
	defer cancel()
	conn, err := link.Dial(connectCtx, address, m.cfg.Self, m.linkCfg, m.status)
	if err != nil {
		m.noteDialFailure(address, state)
		return
	}
	if !m.noteDialSuccess(state, conn.Peer().NodeID) {
		conn.Close()
		return
	}
	m.serveLink(ctx, conn, true)
}

// connectTimeout returns how long the next attempt to connect to an address may take.
func (m *Mesh) connectTimeout(state *dialState) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) > 0 {
		return handshakeTimeout
	}
	return max(state.connectTimeout, firstConnectTimeout)
}

// noteDialFailure ends a failed attempt and doubles the backoff, up to maxBackoff.
func (m *Mesh) noteDialFailure(address string, state *dialState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state.dialling = false
	state.connectTimeout = min(2*max(state.connectTimeout, firstConnectTimeout), handshakeTimeout)
	state.backoff = min(max(2*state.backoff, dialInterval), m.maxBackoff())
	state.nextAttempt = time.Now().Add(state.backoff/2 + nodeJitter(address+m.cfg.Self.NodeID)/2)
}

// noteDialSuccess ends a successful attempt and resets the backoff. It returns false if the link is not needed: it leads to this node, or to
// one that is linked already.
func (m *Mesh) noteDialSuccess(state *dialState, nodeID string) (needed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state.dialling, state.backoff, state.connectTimeout = false, 0, 0
	state.nextAttempt = time.Now().Add(dialInterval)
	return nodeID != m.cfg.Self.NodeID && m.links[nodeID] == nil
}
