package weights

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// errStalled means that a peer's link is open but answers nothing.
var errStalled = errors.New("weights: peer stalled")

// peerLink is a dialled link to one peer.
type peerLink struct {
	// ready is closed when the dial has ended; conn and err are set before.
	dialDone chan struct{}
	conn     *link.Conn
	err      error

	// mu guards all fields below.
	mu             sync.Mutex
	lastRequestID  uint64
	pendingReplies map[uint64]chan message.Message
	lastReplyAt    time.Time
	lastUsedAt     time.Time
}

// peerLinks dials peers and matches replies to requests.
type peerLinks struct {
	cfg *Config
	// mu guards links. The mutex of a peerLink may be taken while it is held.
	mu    sync.Mutex
	links map[string]*peerLink
	wg    sync.WaitGroup
}

func newPeerLinks(cfg *Config) *peerLinks {
	return &peerLinks{cfg: cfg, links: make(map[string]*peerLink)}
}

// ask sends a request and returns the reply. run bounds the life of the link, ctx that of the request.
func (p *peerLinks) request(linkCtx, ctx context.Context, peer message.Peer, newRequest func(id uint64) message.Message) (message.Message, error) {
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

// await returns errStalled when the peer has answered no request at all for timeout.
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

func (l *peerLink) register() (uint64, <-chan message.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequestID++
	reply := make(chan message.Message, 1)
	l.pendingReplies[l.lastRequestID] = reply
	return l.lastRequestID, reply
}

func (l *peerLink) release(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingReplies, id)
	l.lastUsedAt = time.Now()
}

// handle delivers replies. Replies to requests that were given up are dropped.
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

// get returns the open link to peer and dials it when there is none.
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

// serve dials and reads one link until it ends.
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

// closeIdle closes the least recently used link that has no request outstanding and was last used before the given time.
// The caller holds mu.
func (p *peerLinks) closeLeastRecentlyUsed(before time.Time) bool {
	oldest := ""
	var oldestUse time.Time
	for id, l := range p.links {
		l.mu.Lock()
		idle := len(l.pendingReplies) == 0 && l.lastUsedAt.Before(before) && isClosed(l.dialDone)
		if idle && (oldest == "" || l.lastUsedAt.Before(oldestUse)) {
			oldest, oldestUse = id, l.lastUsedAt
		}
		l.mu.Unlock()
	}
	if oldest == "" {
		return false
	}
	if l := p.links[oldest]; l.conn != nil {
		l.conn.Close()
	}
	delete(p.links, oldest)
	return true
}

// expire closes links that were unused for the idle timeout.
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

// noStatus is the heartbeat of peer links, which carry no configuration.
func emptyHeartbeat() message.Heartbeat { return message.Heartbeat{} }
