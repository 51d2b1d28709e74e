package mesh

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

// ErrWeightsUnavailable means that a node did not hand out weights.
var ErrWeightsUnavailable = errors.New("mesh: no weights from peer")

// pendingReplies joins replies about weights with those who wait for them.
type pendingReplies struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *message.WeightsReply
	owner   map[uint64]*peer
}

func (r *pendingReplies) add(p *peer) (uint64, chan *message.WeightsReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner == nil {
		r.owner = map[uint64]*peer{}
	}
	r.next++
	ch := make(chan *message.WeightsReply, 1)
	r.waiting[r.next], r.owner[r.next] = ch, p
	return r.next, ch
}

func (r *pendingReplies) remove(seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, seq)
	delete(r.owner, seq)
}

func (r *pendingReplies) deliver(msg *message.WeightsReply) {
	r.mu.Lock()
	ch := r.waiting[msg.Seq]
	delete(r.waiting, msg.Seq)
	delete(r.owner, msg.Seq)
	r.mu.Unlock()
	if ch != nil {
		ch <- msg
	}
}

// drop fails everything that waits for a node whose link is lost.
func (r *pendingReplies) drop(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for seq, owner := range r.owner {
		if owner == p {
			r.waiting[seq] <- &message.WeightsReply{Seq: seq, Error: "link lost"}
			delete(r.waiting, seq)
			delete(r.owner, seq)
		}
	}
}

func (m *Mesh) answerWeights(ctx context.Context, p *peer, q *message.WeightsRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.conn.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	reply := m.cfg.ServeWeights(ctx, q)
	reply.Seq = q.Seq
	if err := p.conn.Send(ctx, reply); err != nil {
		m.cfg.Log.V(1).Info("weights were not handed out", "peer", p.hello.NodeID, "cause", err.Error())
	}
}

// FetchWeights asks a linked node for a chunk or a manifest. It returns ErrWeights when the node is not linked or has none.
func (m *Mesh) FetchWeights(ctx context.Context, from pieces.Source, model string, version int64, chunk int) (*message.WeightsReply, error) {
	nodeID := from.NodeID
	m.mu.Lock()
	p := m.links[nodeID]
	m.mu.Unlock()
	if p == nil {
		return nil, errors.Wrapf(ErrWeightsUnavailable, "%s is not linked", nodeID)
	}
	seq, ch := m.pending.add(p)
	defer m.pending.remove(seq)
	if err := p.conn.Send(ctx, &message.WeightsRequest{Seq: seq, Model: model, Version: version, Chunk: chunk, HeldOnly: from.HeldOnly}); err != nil {
		return nil, errors.Mark(err, ErrWeightsUnavailable)
	}
	select {
	case reply := <-ch:
		if reply.Error != "" {
			return nil, errors.Wrapf(ErrWeightsUnavailable, "%s: %s", nodeID, reply.Error)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrWeightsUnavailable)
	}
}

// WeightPeers returns the linked nodes that this node should ask for a chunk, the best first. An empty list means that it should
// read the origin itself.
//
// In each data centre one entry is the leader for a chunk. It reads from an agent beside an upstream that has the version, else
// from an entry of the origin's data centre; the other entries read from it. The leader of the origin's data centre reads the
// origin. Each chunk has its own leader, so that the entries share the work.
func (m *Mesh) WeightPeers(originCentre, model string, version int64, chunk int) []pieces.Source {
	purpose := chunkPurpose(model, version, chunk)
	own := m.cfg.Self.DataCentre
	local := m.peers(func(p *peer) bool { return isEntry(p) && p.hello.DataCentre == own })
	if m.cfg.Self.Role == message.RoleAgent {
		if len(local) == 0 {
			local = m.peers(isEntry)
		}
		return ranked(local, m.cfg.Self.NodeID+purpose) // Agents spread over the entries.
	}
	leader := rank(purpose, m.cfg.Self.NodeID)
	var above []*peer
	for _, p := range local {
		if rank(purpose, p.hello.NodeID) > leader {
			above = append(above, p)
		}
	}
	if len(above) > 0 {
		return ranked(above, purpose)
	}
	var out []pieces.Source
	if v, ok := m.cfg.State.Snapshot().NewestVersion(model); !ok || time.Since(v.NamedAt) > spreadingTime {
		out = heldOnly(ranked(local, purpose))
	}
	out = append(out, first(maxHolders, ranked(m.holders(model, version), purpose))...)
	if own == originCentre {
		return out
	}
	return append(out, ranked(m.peers(func(p *peer) bool { return isEntry(p) && p.hello.DataCentre == originCentre }), purpose)...)
}

func chunkPurpose(model string, version int64, chunk int) string {
	return model + "@" + strconv.FormatInt(version, 10) + "#" + strconv.Itoa(chunk)
}

// spreadingTime is the time after the naming of a version in which nobody holds a chunk before its leader does. To ask would only
// cost a wait behind the chunks that are on their way.
const spreadingTime = 4 * time.Second

// maxHolders bounds the entries, and the agents, that are asked for one chunk before another source.
const maxHolders = 2

// holders returns the linked agents of the own data centre whose upstream has loaded a version: what it has loaded is staged
// beside it.
func (m *Mesh) holders(model string, version int64) []*peer {
	snap := m.cfg.State.Snapshot()
	var out []*peer
	for _, p := range m.peers(isAgent) {
		load, age, ok := m.cfg.Loads.Get(p.hello.Address)
		if !ok || load.Down || age > holderAge || p.hello.DataCentre != m.cfg.Self.DataCentre || snap.Index == nil {
			continue
		}
		for _, l := range load.Models {
			if l.Model == model && l.Version == version {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// holderAge is the age up to which a load tells what an upstream has loaded.
const holderAge = 2 * time.Second

// heldOnly turns the first nodes into sources that are asked for what they hold: after a restart the leader gets back from them what
// it had handed out.
func heldOnly(list []pieces.Source) []pieces.Source {
	list = first(maxHolders, list)
	for i := range list {
		list[i].HeldOnly = true
	}
	return list
}

func first(n int, list []pieces.Source) []pieces.Source { return list[:min(n, len(list))] }

func ranked(list []*peer, purpose string) []pieces.Source {
	sort.Slice(list, func(i, j int) bool {
		return rank(purpose, list[i].hello.NodeID) > rank(purpose, list[j].hello.NodeID)
	})
	out := make([]pieces.Source, 0, len(list))
	for _, p := range list {
		out = append(out, pieces.Source{NodeID: p.hello.NodeID})
	}
	return out
}
