package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/overlay"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// memberRetention is how long an entry stays a member without a link to it.
	memberRetention = 2 * time.Minute
	// memberBatchDelay is the time for which new members are collected before they are sent on: when the fleet starts, all of them
	// become known within a second.
	memberBatchDelay = 50 * time.Millisecond
	// memberRepairInterval is the time between messages with all members to one linked entry, chosen at random. They reach nodes that have
	// missed an earlier message about a member.
	memberRepairInterval = 30 * time.Second
)

// memberState is an entry of the fleet that this node may link to.
type memberState struct {
	message.Member
	// lastSeen is when a link to the member was last open, or when the member was added or changed.
	lastSeen time.Time
}

// memberOf returns the member that a handshake describes.
func memberOf(h message.Hello) message.Member {
	return message.Member{NodeID: h.NodeID, Role: h.Role, DataCentre: h.DataCentre, Region: h.Region, Address: h.Address,
		Incarnation: h.Incarnation}
}

// AddMembers merges entries that were discovered elsewhere, such as in the store.
func (m *Mesh) AddMembers(list []message.Member) { m.mergeMembers(list) }

// mergeMembers adds new or changed entries to the members and, on an entry, queues them to be sent on.
func (m *Mesh) mergeMembers(list []message.Member) {
	now := time.Now()
	changed := false
	m.mu.Lock()
	for _, received := range list {
		if received.NodeID == m.cfg.Self.NodeID || received.Role != message.RoleEntry || received.Address == "" {
			continue
		}
		member := m.members[received.NodeID]
		if member != nil && (member.Incarnation > received.Incarnation ||
			member.Incarnation == received.Incarnation && member.Address == received.Address) {
			continue
		}
		if member == nil {
			m.memberAddedAt = now
		}
		m.members[received.NodeID] = &memberState{Member: received, lastSeen: now}
		m.ranking = nil
		changed = true
		if m.cfg.Self.Role != message.RoleEntry {
			continue
		}
		if len(m.unsentMembers) == 0 {
			time.AfterFunc(memberBatchDelay, m.sendNewMembers)
		}
		m.unsentMembers = append(m.unsentMembers, received)
	}
	m.mu.Unlock()
	if changed {
		m.triggerDial()
	}
}

// sendNewMembers sends the members that have become known since the last call to the linked entries of the own data centre, and those of the
// own data centre to all other linked nodes. Linked agents of other data centres also get those of theirs: an agent that has joined through an
// entry of another data centre learns in no other way that an entry has joined in its own.
func (m *Mesh) sendNewMembers() {
	m.mu.Lock()
	members := m.unsentMembers
	m.unsentMembers = nil
	m.mu.Unlock()
	byDataCentre := map[string][]message.Member{}
	for _, member := range members {
		byDataCentre[member.DataCentre] = append(byDataCentre[member.DataCentre], member)
	}
	m.broadcast(&message.Members{Members: members}, m.isLocalEntry)
	for dataCentre, list := range byDataCentre {
		isOwn := dataCentre == m.cfg.Self.DataCentre
		m.broadcast(&message.Members{Members: list}, func(p *peer) bool {
			return isAgent(p) && (isOwn || p.hello.DataCentre == dataCentre) || isOwn && m.isRemoteEntry(p)
		})
	}
}

// repairMembers sends all members to one linked entry of the data centre, chosen at random, at each memberRepairInterval until ctx ends.
func (m *Mesh) repairMembers(ctx context.Context) {
	for {
		pause.For(ctx, memberRepairInterval/2+rand.N(memberRepairInterval))
		if ctx.Err() != nil {
			return
		}
		if peers := m.peers(m.isLocalEntry); len(peers) > 0 {
			chosen := peers[rand.IntN(len(peers))]
			m.broadcast(&message.Members{Members: m.memberList()}, only(chosen))
		}
	}
}

// memberList returns the known entries, including this node if it is one.
func (m *Mesh) memberList() []message.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []message.Member
	if m.cfg.Self.Role == message.RoleEntry {
		out = append(out, memberOf(m.cfg.Self))
	}
	for _, member := range m.members {
		out = append(out, member.Member)
	}
	return out
}

// knownEntries returns the members as package overlay sees them. The caller holds mu.
func (m *Mesh) knownEntries() []overlay.Entry {
	out := make([]overlay.Entry, 0, len(m.members))
	for id, member := range m.members {
		dial := m.dials[member.Address]
		out = append(out, overlay.Entry{ID: id, DataCentre: member.DataCentre, Linked: m.links[id] != nil,
			Silent: dial != nil && dial.backoff > 0})
	}
	return out
}

// EntryCount returns the number of known entries in the fleet. It counts this node as one, so it is correct only on entries.
func (m *Mesh) EntryCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members) + 1
}

// EntryIDs returns the IDs of the other known entries in the fleet, linked or not.
func (m *Mesh) EntryIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.members))
	for id := range m.members {
		out = append(out, id)
	}
	return out
}
