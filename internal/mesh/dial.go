package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// rank orders nodes for a purpose. All nodes compute the same order. It is never 0.
func rank(purpose, nodeID string) uint64 { return xxhash.Sum64String(purpose+"/"+nodeID) | 1 }

// jitterOf spreads reactions of nodes to the same event over a third of a second.
func jitterOf(nodeID string) time.Duration {
	return time.Duration(xxhash.Sum64String(nodeID)%300) * time.Millisecond
}

// dialLoop keeps the wanted links up.
func (m *Mesh) dialLoop(ctx context.Context) {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, target := range m.wanted() {
			m.startDial(ctx, target)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.kick:
		}
	}
}

// wanted returns the addresses to dial now.
func (m *Mesh) wanted() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	byCentre := map[string][]*member{}
	now := time.Now()
	for id, known := range m.members {
		if m.links[id] != nil {
			known.seen = now
		}
		if now.Sub(known.seen) > memberRetention {
			delete(m.members, id)
			continue
		}
		byCentre[known.DataCentre] = append(byCentre[known.DataCentre], known)
	}
	var out []string
	for centre, list := range byCentre {
		sort.Slice(list, func(i, j int) bool {
			return rank(m.cfg.Self.NodeID, list[i].NodeID) > rank(m.cfg.Self.NodeID, list[j].NodeID)
		})
		left := m.wantedLinks(centre, len(byCentre))
		for _, known := range list {
			if left == 0 {
				break
			}
			if m.links[known.NodeID] == nil {
				out = append(out, known.Address)
				if state := m.dials[known.Address]; state != nil && state.pause > maxDialPause/2 {
					continue // It does not answer; the next one takes its place meanwhile.
				}
			}
			left--
		}
	}
	if len(m.links) == 0 {
		out = append(out, m.cfg.Seeds...)
	}
	return out
}

// wantedLinks returns the number of links to entries of a data centre.
func (m *Mesh) wantedLinks(centre string, centres int) int {
	own := centre == m.cfg.Self.DataCentre
	switch {
	case m.cfg.Self.Role == message.RoleEntry && own:
		return maxLocalLinks
	case m.cfg.Self.Role == message.RoleEntry:
		return remoteLinks
	case own:
		return maxAgentLinks
	case centres == 1 || !m.hasLocalLink():
		return remoteLinks // An agent without entries in its data centre.
	default:
		return 0
	}
}

// hasLocalLink tells whether an entry of the own data centre is linked. The caller holds mu.
func (m *Mesh) hasLocalLink() bool {
	for _, p := range m.links {
		if isEntry(p) && p.hello.DataCentre == m.cfg.Self.DataCentre {
			return true
		}
	}
	return false
}

// longestPause bounds the pause between attempts. A node without any link tries often: after a loss of power all nodes start at
// about the same time, and agents cannot load weights before they have found an entry. The caller holds mu.
func (m *Mesh) longestPause() time.Duration {
	if len(m.links) == 0 {
		return dialInterval
	}
	return maxDialPause
}

// startDial dials an address unless it is being dialled or has to wait.
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
	if state.busy || time.Now().Before(state.next) {
		m.mu.Unlock()
		return
	}
	state.busy = true
	m.mu.Unlock()
	go func() {
		conn, err := link.Dial(ctx, address, m.cfg.Self, m.linkCfg, m.status)
		m.mu.Lock()
		state.busy = false
		if err != nil {
			state.pause = min(max(2*state.pause, dialInterval), m.longestPause())
			state.next = time.Now().Add(state.pause/2 + jitterOf(address+m.cfg.Self.NodeID)/2)
		} else {
			state.pause, state.next = 0, time.Now().Add(dialInterval)
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
		m.serveLink(ctx, conn)
	}()
}
