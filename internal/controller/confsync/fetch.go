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

// refusalPause is how long a revision that this node cannot use is not requested again, so that a node of an older release
// does not fetch the same document with every heartbeat.
const refusalPause = 30 * time.Second

// errNoBase means that a delta arrived on a node without a configuration.
var errNoBase = errors.New("confsync: delta without a base")

// reply is a ConfigReply that waits to be applied.
type reply struct {
	link Link
	body *message.ConfigReply
}

// fetcher fetches newer revisions from peers. All fields below replies belong to the goroutine of run.
//
// Invariant: at most one request is outstanding.
type fetcher struct {
	s *Syncer
	// mu guards peers, the revision that each open link last reported.
	mu      sync.Mutex
	peers   map[Link]uint64
	wake    chan struct{}
	replies chan reply

	asked    Link
	askedAt  time.Time
	tried    map[Link]bool
	needFull bool
	// refused is the highest revision that could not be used, until refusedUntil.
	refused      uint64
	refusedUntil time.Time
}

func newFetcher(s *Syncer) *fetcher {
	return &fetcher{
		s: s, peers: make(map[Link]uint64), wake: make(chan struct{}, 1),
		replies: make(chan reply, replyRing), tried: make(map[Link]bool),
	}
}

// HandleHeartbeat records the revision that a peer reports and fetches it when it is newer.
func (s *Syncer) HandleHeartbeat(link Link, revision uint64) {
	s.fetch.mu.Lock()
	known, ok := s.fetch.peers[link]
	s.fetch.peers[link] = revision
	s.fetch.mu.Unlock()
	if revision > s.cfg.Holder.Revision() || !ok || known != revision {
		s.fetch.notify()
	}
}

// HandleReply applies a peer's answer. An answer beyond the bounded ring is dropped and requested again.
func (s *Syncer) HandleReply(link Link, body *message.ConfigReply) {
	select {
	case s.fetch.replies <- reply{link: link, body: body}:
	default:
	}
}

func (f *fetcher) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *fetcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if wait := f.step(ctx); wait > 0 {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
		case r := <-f.replies:
			f.receive(r)
		}
	}
}

// step requests a newer revision when one is known and no request is outstanding. It returns when to look again, 0 for not
// before the next event.
func (f *fetcher) step(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		candidates := f.candidates()
		if len(candidates) == 0 {
			f.asked = nil
			clear(f.tried)
			return f.refusalRemaining()
		}
		if f.asked != nil && !closed(f.asked) {
			if wait := f.s.cfg.ReplyTimeout - time.Since(f.askedAt); wait > 0 {
				return wait
			}
		}
		link := f.choose(candidates)
		if link == nil {
			// Every peer was asked in vain. The next round starts after a pause.
			f.asked = nil
			clear(f.tried)
			return f.s.cfg.ReplyTimeout
		}
		f.tried[link] = true
		if f.ask(ctx, link) {
			f.asked, f.askedAt = link, time.Now()
		}
	}
	return 0
}

// candidates returns the peers with the highest usable revision when that is newer than the one in force.
func (f *fetcher) candidates() []Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.s.cfg.Holder.Revision()
	if time.Now().Before(f.refusedUntil) {
		best = max(best, f.refused)
	}
	var out []Link
	for link, revision := range f.peers {
		if closed(link) {
			delete(f.peers, link)
			continue
		}
		if revision > best {
			out = append(out, link)
		}
	}
	return out
}

// choose returns a random candidate that was not asked yet, or nil. The choice is random so that nodes that learn of a
// revision at the same time do not all ask the same peer.
func (f *fetcher) choose(candidates []Link) Link {
	for _, i := range rand.Perm(len(candidates)) {
		if !f.tried[candidates[i]] {
			return candidates[i]
		}
	}
	return nil
}

func (f *fetcher) ask(ctx context.Context, link Link) bool {
	body := &message.ConfigRequest{}
	if active := f.s.Current(); active != nil {
		body.Have = active.Envelope.Revision
		if !f.needFull {
			body.HaveDigest = active.Envelope.Digest
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return link.Send(ctx, body) == nil
}

func (f *fetcher) receive(r reply) {
	if len(r.body.Envelope) == 0 && len(r.body.Delta) == 0 {
		f.mu.Lock()
		if _, open := f.peers[r.link]; open {
			f.peers[r.link] = r.body.Revision
		}
		f.mu.Unlock()
		if f.asked == r.link {
			f.asked = nil
		}
		return
	}
	err := f.use(r.body)
	if err == nil {
		f.asked, f.needFull = nil, false
		clear(f.tried)
		return
	}
	f.s.cfg.Log.Error(err, "configuration from peer not used", "peer", r.link.Peer().NodeID, "revision", r.body.Revision)
	if errors.Is(err, config.ErrInvalid) {
		f.refused, f.refusedUntil = max(f.refused, r.body.Revision), time.Now().Add(refusalPause)
		return
	}
	// The request stays outstanding until its timeout, which paces the next one.
	f.needFull = true
}

func (f *fetcher) use(body *message.ConfigReply) error {
	if len(body.Delta) == 0 {
		e, err := config.DecodeEnvelope(body.Envelope)
		if err != nil {
			return err
		}
		return f.s.apply(e, fromPeer)
	}
	current := f.s.Current()
	if current == nil {
		return errNoBase
	}
	if body.Revision <= current.Envelope.Revision {
		telemetry.Debug(f.s.cfg.Log).Info("late configuration reply ignored", "revision", body.Revision)
		return nil
	}
	e, err := config.ApplyDelta(current.Envelope, body.Delta)
	if err != nil {
		return err
	}
	return f.s.apply(e, fromPeer)
}

func (f *fetcher) refusalRemaining() time.Duration {
	return max(0, time.Until(f.refusedUntil))
}

func closed(link Link) bool {
	select {
	case <-link.Done():
		return true
	default:
		return false
	}
}
