package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// rank returns the rendezvous hash of a node for a key, by which all nodes order the nodes in the same way. It is never 0, because
// ShouldWatchStore uses 0 to record that another node ranks higher. The text of a key is part of the protocol: nodes that used
// different keys for the same purpose would compute different orders.
func rank(key, nodeID string) uint64 { return xxhash.Sum64String(key+"/"+nodeID) | 1 }

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
	byDataCentre := map[string][]*memberState{}
	now := time.Now()
	for id, member := range m.members {
		if m.links[id] != nil {
			member.lastSeen = now
		}
		if now.Sub(member.lastSeen) > memberRetention {
			delete(m.members, id)
			continue
		}
		byDataCentre[member.DataCentre] = append(byDataCentre[member.DataCentre], member)
	}
	var out []string
	for dataCentre, list := range byDataCentre {
		sort.Slice(list, func(i, j int) bool {
			return rank(m.cfg.Self.NodeID, list[i].NodeID) > rank(m.cfg.Self.NodeID, list[j].NodeID)
		})
		remaining := m.linkQuota(dataCentre, len(byDataCentre))
		for _, member := range list {
			if remaining == 0 {
				break
			}
			if m.links[member.NodeID] == nil {
				out = append(out, member.Address)
				if state := m.dials[member.Address]; state != nil && state.backoff > maxDialBackoff/2 {
					continue // It does not answer: it does not count towards the quota, so that the next member is dialled as well.
				}
			}
			remaining--
		}
	}
	if len(m.links) == 0 {
		out = append(out, m.cfg.Seeds...)
	}
	return out
}

// linkQuota returns the number of links that this node keeps to entries of a data centre. dataCentres is the number of data
// centres with known entries. The caller holds mu.
func (m *Mesh) linkQuota(dataCentre string, dataCentres int) int {
	local := dataCentre == m.cfg.Self.DataCentre
	switch {
	case m.cfg.Self.Role == message.RoleEntry && local:
		return maxLocalLinks
	case m.cfg.Self.Role == message.RoleEntry:
		return remoteLinks
	case local:
		return maxAgentLinks
	case dataCentres == 1 || !m.hasLocalLink():
		return remoteLinks // The agent knows no entry of its own data centre, or is linked to none.
	default:
		return 0
	}
}

// hasLocalLink reports whether an entry of this node's data centre is linked. The caller holds mu.
func (m *Mesh) hasLocalLink() bool {
	for _, p := range m.links {
		if isEntry(p) && p.hello.DataCentre == m.cfg.Self.DataCentre {
			return true
		}
	}
	return false
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
		m.serveLink(ctx, conn)
	}()
}
