package confsync

import (
	"context"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// request is a ConfigRequest that has not been answered yet, with the link on which it arrived.
type request struct {
	link Link
	body message.ConfigRequest
}

// maxCachedReplies bounds the number of replies that are cached for one revision: one per base of a delta, and the full
// document. The cache is cleared when it is full.
const maxCachedReplies = 2 * recentRevisions

// HandleRequest queues a peer's request, which Run answers. When the queue is full, the request is dropped, and the peer asks
// another node after its timeout.
func (s *Syncer) HandleRequest(link Link, body *message.ConfigRequest) {
	select {
	case s.requests <- request{link: link, body: *body}:
	default:
		telemetry.Debug(s.cfg.Log).Info("configuration request dropped, queue is full", "peer", link.Peer().NodeID)
	}
}

// replyCache holds the encoded replies for one revision, so that each is encoded only once in a burst of requests. The key is
// the digest of the delta's base, or empty for the full document.
type replyCache struct {
	active  *config.Active
	replies map[string]*message.ConfigReply
}

// serveRequests answers queued requests until ctx ends.
func (s *Syncer) serveRequests(ctx context.Context) {
	var cache replyCache
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-s.requests:
			reply, err := s.buildReply(&cache, req.body)
			if err != nil {
				s.cfg.Log.Error(err, "cannot encode the configuration")
				continue
			}
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			if err := req.link.Send(sendCtx, reply); err != nil {
				telemetry.Debug(s.cfg.Log).Info("configuration reply not sent", "peer", req.link.Peer().NodeID, "cause", err.Error())
			}
			cancel()
		}
	}
}

// buildReply returns a delta if the peer's document is one of the recent ones, else the full document. The reply carries no
// document if the peer already has this revision or a newer one.
func (s *Syncer) buildReply(cache *replyCache, req message.ConfigRequest) (*message.ConfigReply, error) {
	active := s.Current()
	if active == nil {
		return &message.ConfigReply{}, nil
	}
	if active.Envelope.Revision <= req.Have {
		return &message.ConfigReply{Revision: active.Envelope.Revision}, nil
	}
	if cache.active != active || len(cache.replies) >= maxCachedReplies {
		*cache = replyCache{active: active, replies: make(map[string]*message.ConfigReply)}
	}
	base, hasBase := s.findRecent(func(e config.Envelope) bool { return req.Have > 0 && e.Digest == req.HaveDigest })
	key := ""
	if hasBase {
		key = req.HaveDigest
	}
	if cached, ok := cache.replies[key]; ok {
		return cached, nil
	}
	reply := &message.ConfigReply{Revision: active.Envelope.Revision}
	if hasBase {
		reply.Delta = config.MakeDelta(base, active.Envelope)
	} else {
		encoded, err := config.EncodeEnvelope(active.Envelope)
		if err != nil {
			return nil, err
		}
		reply.Envelope = encoded
	}
	cache.replies[key] = reply
	return reply, nil
}
