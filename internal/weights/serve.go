package weights

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// maxConcurrentRequests bounds the requests of one link that are held or being answered.
const maxConcurrentRequests = 128

// Serve accepts links of peers on listener until ctx ends, and then closes it. It returns an error when accepting fails earlier.
func (m *Manager) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "weights: accept")
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.servePeer(ctx, nc)
		}()
	}
}

// servePeer answers the requests on one link, each in its own goroutine.
func (m *Manager) servePeer(ctx context.Context, nc net.Conn) {
	conn, err := link.Accept(nc, m.cfg.Self, m.cfg.Link, emptyHeartbeat)
	if err != nil {
		m.cfg.Log.Error(err, "handshake with incoming peer failed", "address", nc.RemoteAddr().String())
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	slots := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	_ = conn.Serve(ctx, func(c *link.Conn, request message.Message) {
		select {
		case slots <- struct{}{}:
		default:
			m.replyPending(ctx, c, request)
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			m.answer(ctx, c, request)
		}()
	})
}

// replyPending answers a chunk request beyond maxConcurrentRequests as pending, so that the peer repeats it. Other requests get no
// reply.
func (m *Manager) replyPending(ctx context.Context, c *link.Conn, request message.Message) {
	if r, ok := request.(*message.ChunkRequest); ok {
		_ = c.Send(ctx, &message.ChunkReply{ID: r.ID, Pending: true})
	}
}

func (m *Manager) answer(ctx context.Context, c *link.Conn, request message.Message) {
	switch r := request.(type) {
	case *message.ChunkRequest:
		m.answerChunk(ctx, c, r)
	case *message.ManifestRequest:
		m.answerManifest(ctx, c, r)
	}
}

// answerChunk replies with the chunk, with Pending when the peer may wait and the chunk is being fetched, and otherwise with
// NotFound.
func (m *Manager) answerChunk(ctx context.Context, c *link.Conn, r *message.ChunkRequest) {
	wait := min(m.cfg.HoldTimeout, time.Duration(r.WaitMillis)*time.Millisecond)
	m.addPeerDemand(r.Hash, 1)
	mayWait := m.holdRequest(ctx, r.Hash, c.Peer().NodeID, wait, func() bool { return m.store.has(r.Hash) })
	m.addPeerDemand(r.Hash, -1)
	data, ok := m.store.get(r.Hash)
	if !ok {
		pending := mayWait && m.isFetching(r.Hash)
		_ = c.Send(ctx, &message.ChunkReply{ID: r.ID, Pending: pending, NotFound: !pending})
		return
	}
	if m.uploadLimiter.wait(ctx, len(data)) != nil {
		return
	}
	if c.Send(ctx, &message.ChunkReply{ID: r.ID, Data: data}) == nil {
		m.metrics.sent(ctx, len(data))
	}
}

func (m *Manager) answerManifest(ctx context.Context, c *link.Conn, r *message.ManifestRequest) {
	m.holdRequest(ctx, r.Version, c.Peer().NodeID, m.cfg.HoldTimeout, func() bool { return m.manifest(r.Version) != nil })
	reply := &message.ManifestReply{ID: r.ID, NotFound: true}
	if manifest := m.manifest(r.Version); manifest != nil {
		reply.Manifest, reply.NotFound = manifest.raw, false
	}
	_ = c.Send(ctx, reply)
}

// holdRequest waits until the object is stored or wait has passed, and reports whether the peer may wait for this agent. It
// returns false when ctx ends. A peer that outranks this agent may wait only while this agent reads the object from the origin or
// the weight store, because otherwise both agents could wait for each other.
func (m *Manager) holdRequest(ctx context.Context, key, peer string, wait time.Duration, isStored func() bool) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		arrival := m.store.arrival(key)
		if isStored() {
			return true
		}
		if outranks(key, peer, m.cfg.Self.NodeID) && !m.isReadingFromSource(key) {
			return false
		}
		select {
		case <-arrival:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
