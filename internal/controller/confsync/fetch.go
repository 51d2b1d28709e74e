package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// unusableRetryDelay is the time before a revision that this node cannot use is requested again, so that a node of an older
// release does not fetch the same document with every heartbeat.
const unusableRetryDelay = 30 * time.Second

// errNoDeltaBase means that a peer sent a delta to a node that has no configuration to apply it to.
var errNoDeltaBase = errors.New("confsync: received a delta, but this node has no configuration to apply it to")

// receivedReply is a ConfigReply that has not been applied yet, with the link on which it arrived.
type receivedReply struct {
	link Link
	body *message.ConfigReply
}

// fetcher fetches newer revisions from peers, with at most one request outstanding. The fields below replies are accessed only
// by the goroutine of run.
type fetcher struct {
	syncer *Syncer
	// mu guards peerRevisions, the revision that the peer of each open link reported last.
	mu            sync.Mutex
	peerRevisions map[Link]uint64
	wake          chan struct{}
	// replies holds the replies that have not been applied yet.
	replies chan receivedReply

	// requestedFrom is the link with the outstanding request, or nil.
	requestedFrom Link
	requestedAt   time.Time
	// triedPeers holds the peers to which a request was sent in the current round. A round ends when a document was applied, when
	// all candidates were tried, or when there is none.
	triedPeers map[Link]bool
	// needFullDocument is set when a delta could not be applied.
	needFullDocument bool
	// unusableRevision is the highest revision that this node could not use. It is not requested until unusableUntil.
	unusableRevision uint64
	unusableUntil    time.Time
}

func newFetcher(s *Syncer) *fetcher {
	return &fetcher{
		syncer: s, peerRevisions: make(map[Link]uint64), wake: make(chan struct{}, 1),
		replies: make(chan receivedReply, replyQueueLength), triedPeers: make(map[Link]bool),
	}
}

// HandleHeartbeat records the revision that a peer reports, and wakes the fetcher if it is newer than the one in force or
// differs from what the peer reported before.
func (s *Syncer) HandleHeartbeat(link Link, revision uint64) {
	s.fetcher.mu.Lock()
	previous, reported := s.fetcher.peerRevisions[link]
	s.fetcher.peerRevisions[link] = revision
	s.fetcher.mu.Unlock()
	if revision > s.cfg.Holder.Revision() || !reported || previous != revision {
		s.fetcher.notify()
	}
}

// HandleReply queues a peer's reply, which Run applies. When the queue is full, the reply is dropped and the revision is
// requested again after the timeout. The revision of a peer that has nothing newer is recorded at once: a heartbeat that follows may report a
// newer one before Run gets to the reply.
func (s *Syncer) HandleReply(link Link, body *message.ConfigReply) {
	if hasNoDocument(body) {
		s.fetcher.recordRevision(link, body.Revision)
	}
	select {
	case s.fetcher.replies <- receivedReply{link: link, body: body}:
	default:
	}
}

// hasNoDocument reports whether a reply says that the peer has nothing newer.
func hasNoDocument(body *message.ConfigReply) bool {
	return len(body.Envelope) == 0 && len(body.Delta) == 0
}

// recordRevision records the revision of a peer that has reported one before.
func (f *fetcher) recordRevision(link Link, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, tracked := f.peerRevisions[link]; tracked {
		f.peerRevisions[link] = revision
	}
}

// notify wakes run without blocking.
func (f *fetcher) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run sends requests and applies replies until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if delay := f.requestIfNewer(ctx); delay > 0 {
			timer.Reset(delay)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
		case received := <-f.replies:
			f.handleReply(received)
		}
	}
}

// requestIfNewer requests a newer revision if a peer has one and no request is outstanding. It returns the delay after which it
// must be called again, or 0 if that is not necessary before the next event.
func (f *fetcher) requestIfNewer(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		candidates := f.candidatePeers()
		if len(candidates) == 0 {
			f.requestedFrom = nil
			clear(f.triedPeers)
			return f.unusableRemaining()
		}
		if f.requestedFrom != nil && !isClosed(f.requestedFrom) {
			if remaining := f.syncer.cfg.ReplyTimeout - time.Since(f.requestedAt); remaining > 0 {
				return remaining
			}
		}
		link := f.choosePeer(candidates)
		if link == nil {
			// No candidate sent a usable document. The next round starts after a delay.
			f.requestedFrom = nil
			clear(f.triedPeers)
			return f.syncer.cfg.ReplyTimeout
		}
		f.triedPeers[link] = true
		if f.sendRequest(ctx, link) {
			f.requestedFrom, f.requestedAt = link, time.Now()
		}
	}
	return 0
}

// candidatePeers returns the peers that report a usable revision newer than the one in force. It also removes closed
// links from peerRevisions.
func (f *fetcher) candidatePeers() []Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	threshold := f.syncer.cfg.Holder.Revision()
	if time.Now().Before(f.unusableUntil) {
		threshold = max(threshold, f.unusableRevision)
	}
	var links []Link
	for link, revision := range f.peerRevisions {
		if isClosed(link) {
			delete(f.peerRevisions, link)
			continue
		}
		if revision > threshold {
			links = append(links, link)
		}
	}
	return links
}

// choosePeer returns a random candidate that was not tried in this round, or nil. The choice is random so that nodes that learn
// of a revision at the same time do not all send their requests to the same peer.
func (f *fetcher) choosePeer(candidates []Link) Link {
	for _, i := range rand.Perm(len(candidates)) {
		if !f.triedPeers[candidates[i]] {
			return candidates[i]
		}
	}
	return nil
}

// sendRequest sends a request and reports whether it was sent. It requests a delta unless the last one could not be applied.
func (f *fetcher) sendRequest(ctx context.Context, link Link) bool {
	body := &message.ConfigRequest{}
	if active := f.syncer.Current(); active != nil {
		body.Have = active.Envelope.Revision
		if !f.needFullDocument {
			body.HaveDigest = active.Envelope.Digest
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return link.Send(ctx, body) == nil
}

// handleReply applies a reply. A reply without a document ends the request: the peer has nothing newer.
func (f *fetcher) handleReply(received receivedReply) {
	if hasNoDocument(received.body) {
		if f.requestedFrom == received.link {
			f.requestedFrom = nil
		}
		return
	}
	err := f.applyReply(received.body)
	if err == nil {
		f.requestedFrom, f.needFullDocument = nil, false
		clear(f.triedPeers)
		return
	}
	f.syncer.cfg.Log.Error(err, "configuration from peer not used", "peer", received.link.Peer().NodeID,
		"revision", received.body.Revision)
	if errors.Is(err, config.ErrInvalid) {
		f.unusableRevision, f.unusableUntil = max(f.unusableRevision, received.body.Revision), time.Now().Add(unusableRetryDelay)
		return
	}
	// The request stays outstanding until its timeout, which delays the next one.
	f.needFullDocument = true
}

// applyReply decodes the full document or the delta and applies it. It returns an error matching config.ErrInvalid if this node
// cannot use the document.
func (f *fetcher) applyReply(body *message.ConfigReply) error {
	if len(body.Delta) == 0 {
		e, err := config.DecodeEnvelope(body.Envelope)
		if err != nil {
			return err
		}
		return f.syncer.apply(e, sourcePeer)
	}
	current := f.syncer.Current()
	if current == nil {
		return errNoDeltaBase
	}
	if body.Revision <= current.Envelope.Revision {
		telemetry.Debug(f.syncer.cfg.Log).Info("late configuration reply ignored", "revision", body.Revision)
		return nil
	}
	e, err := config.ApplyDelta(current.Envelope, body.Delta)
	if err != nil {
		return err
	}
	return f.syncer.apply(e, sourcePeer)
}

// unusableRemaining returns the time until the unusable revision may be requested again, or 0.
func (f *fetcher) unusableRemaining() time.Duration {
	return max(0, time.Until(f.unusableUntil))
}

// isClosed reports whether a link is closed.
func isClosed(link Link) bool {
	select {
	case <-link.Done():
		return true
	default:
		return false
	}
}
