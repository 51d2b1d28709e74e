package weights

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// errStalled means that a peer does not reply although its link is open.
var errStalled = errors.New("weights: peer stalled")

// peerLink is a link to one peer that this agent dialled.
type peerLink struct {
	// dialDone is closed when the dial has succeeded or failed; conn and err are set before.
	dialDone chan struct{}
	conn     *link.Conn
	err      error

	// mu guards all fields below.
	mu sync.Mutex
	// lastRequestID is the ID of the latest request; IDs are unique within a link.
	lastRequestID uint64
	// pendingReplies holds the channel that receives the reply to each outstanding request, by request ID.
	pendingReplies map[uint64]chan message.Message
	lastReplyAt    time.Time
	lastUsedAt     time.Time
}

// peerLinks dials peers and matches replies to requests.
type peerLinks struct {
	cfg *Config
	// mu guards links. The mutex of a peerLink may be locked while mu is held.
	mu sync.Mutex
	// links holds the open links and those being dialled, by node ID.
	links map[string]*peerLink
	wg    sync.WaitGroup
}

func newPeerLinks(cfg *Config) *peerLinks {
	return &peerLinks{cfg: cfg, links: make(map[string]*peerLink)}
}

// request sends a request and returns the reply. It dials the peer if there is no link yet. The link lives until linkCtx ends, the
// request until ctx ends.
func (p *peerLinks) request(linkCtx, ctx context.Context, peer message.Peer,
	newRequest func(id uint64) message.Message) (message.Message, error) {
	l, err := p.linkTo(linkCtx, ctx, peer)
	if err != nil {
		return nil, err
	}
	id, reply := l.register()
	defer l.release(id)
	if err := l.conn.Send(ctx, newRequest(id)); err != nil {
		return nil, err
	}
	return l.awaitReply(ctx, reply, p.cfg.ReplyTimeout)
}

// awaitReply waits for the reply to one request. It returns errStalled when the peer has not replied to any request for timeout.
func (l *peerLink) awaitReply(ctx context.Context, reply <-chan message.Message, timeout time.Duration) (message.Message, error) {
	lastActivity := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case m := <-reply:
			return m, nil
		case <-l.conn.Done():
			return nil, errors.Wrap(l.conn.Err(), "peer link")
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			l.mu.Lock()
			if l.lastReplyAt.After(lastActivity) {
				lastActivity = l.lastReplyAt
			}
			l.mu.Unlock()
			remaining := timeout - time.Since(lastActivity)
			if remaining <= 0 {
				return nil, errStalled
			}
			timer.Reset(remaining)
		}
	}
}

// register returns a new request ID and the channel that receives the reply.
func (l *peerLink) register() (uint64, <-chan message.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequestID++
	reply := make(chan message.Message, 1)
	l.pendingReplies[l.lastRequestID] = reply
	return l.lastRequestID, reply
}

// release ends a request; a later reply to it is dropped.
func (l *peerLink) release(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingReplies, id)
	l.lastUsedAt = time.Now()
}

// handleReply delivers a reply to the request that waits for it. Replies to released requests are dropped.
func (l *peerLink) handleReply(_ *link.Conn, m message.Message) {
	var id uint64
	switch reply := m.(type) {
	case *message.ChunkReply:
		id = reply.ID
	case *message.ManifestReply:
		id = reply.ID
	default:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReplyAt = time.Now()
	if replyChannel, ok := l.pendingReplies[id]; ok {
		delete(l.pendingReplies, id)
		replyChannel <- m
	}
}

// linkTo returns the open link to peer, which it dials if there is none. It returns an error when the dial fails, when ctx ends
// first, or when there are MaxPeerLinks links already and each is being dialled or has outstanding requests.
func (p *peerLinks) linkTo(linkCtx, ctx context.Context, peer message.Peer) (*peerLink, error) {
	p.mu.Lock()
	l := p.links[peer.NodeID]
	if l == nil {
		if len(p.links) >= p.cfg.MaxPeerLinks && !p.closeLeastRecentlyUsed(time.Now()) {
			p.mu.Unlock()
			return nil, errors.Newf("weights: all %d peer links are in use", p.cfg.MaxPeerLinks)
		}
		l = &peerLink{dialDone: make(chan struct{}), pendingReplies: make(map[uint64]chan message.Message), lastUsedAt: time.Now()}
		p.links[peer.NodeID] = l
		p.wg.Add(1)
		go p.dialAndServe(linkCtx, peer, l)
	}
	p.mu.Unlock()
	select {
	case <-l.dialDone:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialAndServe dials the peer and handles its replies until the link is closed.
func (p *peerLinks) dialAndServe(linkCtx context.Context, peer message.Peer, l *peerLink) {
	defer p.wg.Done()
	defer p.remove(peer.NodeID, l)
	l.conn, l.err = link.Dial(linkCtx, peer.Address, p.cfg.Self, p.cfg.Link, emptyHeartbeat)
	if l.err == nil && l.conn.Peer().NodeID != peer.NodeID {
		l.err = errors.Newf("weights: %s is node %q, not %q", peer.Address, l.conn.Peer().NodeID, peer.NodeID)
		l.conn.Close()
	}
	close(l.dialDone)
	if l.err == nil {
		_ = l.conn.Serve(linkCtx, l.handleReply)
	}
}

func (p *peerLinks) remove(id string, l *peerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[id] == l {
		delete(p.links, id)
	}
}

// closeLeastRecentlyUsed closes the least recently used link that has no outstanding requests and was last used before the given
// time. It reports whether there was one. The caller holds mu.
func (p *peerLinks) closeLeastRecentlyUsed(before time.Time) bool {
	oldestID := ""
	var oldestUse time.Time
	for id, l := range p.links {
		l.mu.Lock()
		idle := len(l.pendingReplies) == 0 && l.lastUsedAt.Before(before) && isClosed(l.dialDone)
		if idle && (oldestID == "" || l.lastUsedAt.Before(oldestUse)) {
			oldestID, oldestUse = id, l.lastUsedAt
		}
		l.mu.Unlock()
	}
	if oldestID == "" {
		return false
	}
	if l := p.links[oldestID]; l.conn != nil {
		l.conn.Close()
	}
	delete(p.links, oldestID)
	return true
}

// closeExpired closes the links that have been idle for IdleTimeout.
func (p *peerLinks) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.closeLeastRecentlyUsed(time.Now().Add(-p.cfg.IdleTimeout)) {
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// emptyHeartbeat returns the heartbeat of peer links, which carry no configuration.
func emptyHeartbeat() message.Heartbeat { return message.Heartbeat{} }
