package mesh

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/message"
)

// ErrWeightsUnavailable means that a node did not return the requested weights.
var ErrWeightsUnavailable = errors.New("mesh: no weights from peer")

// pendingReplies matches replies with outstanding requests for weights, by sequence number.
type pendingReplies struct {
	mu      sync.Mutex
	lastSeq uint64
	waiting map[uint64]chan *message.WeightsReply
	// owner holds the node to which each request was sent.
	owner map[uint64]*peer
}

// add registers a request to p and returns its sequence number and the channel for the reply.
func (r *pendingReplies) add(p *peer) (uint64, chan *message.WeightsReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner == nil {
		r.owner = map[uint64]*peer{}
	}
	r.lastSeq++
	ch := make(chan *message.WeightsReply, 1)
	r.waiting[r.lastSeq], r.owner[r.lastSeq] = ch, p
	return r.lastSeq, ch
}

func (r *pendingReplies) remove(seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, seq)
	delete(r.owner, seq)
}

// deliver passes a reply to the waiting request. It discards a reply that nobody waits for.
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

// failAll fails all requests to a node whose link is lost.
func (r *pendingReplies) failAll(p *peer) {
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

// handleWeightsRequest answers a request for weights. It cancels the request when the link is closed.
func (m *Mesh) handleWeightsRequest(ctx context.Context, p *peer, req *message.WeightsRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.conn.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	reply := m.cfg.ServeWeights(ctx, req)
	reply.Seq = req.Seq
	if err := p.conn.Send(ctx, reply); err != nil {
		m.cfg.Log.V(1).Info("weights reply was not sent", "peer", p.hello.NodeID, "cause", err.Error())
	}
}

// FetchWeights requests a chunk from a linked node, or the manifest if chunk is message.WholeManifest. It returns
// ErrWeightsUnavailable if the node is not linked, returns an error or does not answer before ctx ends.
func (m *Mesh) FetchWeights(ctx context.Context, source chunkcache.Source, model string, version int64,
	chunk int) (*message.WeightsReply, error) {
	nodeID := source.NodeID
	m.mu.Lock()
	p := m.links[nodeID]
	m.mu.Unlock()
	if p == nil {
		return nil, errors.Wrapf(ErrWeightsUnavailable, "%s is not linked", nodeID)
	}
	seq, ch := m.pending.add(p)
	defer m.pending.remove(seq)
	if err := p.conn.Send(ctx, &message.WeightsRequest{Seq: seq, Model: model, Version: version, Chunk: chunk,
		HeldOnly: source.HeldOnly}); err != nil {
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
