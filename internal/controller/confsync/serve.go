package confsync

import (
	"context"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// request is a ConfigRequest that waits for its answer.
type request struct {
	link Link
	body message.ConfigRequest
}

// maxCachedReplies bounds the replies encoded for one revision, one per base.
const maxCachedReplies = 2 * recentRevisions

// HandleRequest answers a peer. A request beyond the bounded ring is dropped; the peer asks another node after its timeout.
func (s *Syncer) HandleRequest(link Link, body *message.ConfigRequest) {
	select {
	case s.requests <- request{link: link, body: *body}:
	default:
		telemetry.Debug(s.cfg.Log).Info("configuration request dropped, ring is full", "peer", link.Peer().NodeID)
	}
}

// replyCache holds the replies for one revision, so that a burst of requests encodes each of them once.
type replyCache struct {
	active  *config.Active
	replies map[string]*message.ConfigReply
}

func (s *Syncer) serve(ctx context.Context) {
	var cache replyCache
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.requests:
			reply, err := s.reply(&cache, r.body)
			if err != nil {
				s.cfg.Log.Error(err, "cannot encode the configuration")
				continue
			}
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			if err := r.link.Send(sendCtx, reply); err != nil {
				telemetry.Debug(s.cfg.Log).Info("configuration reply not sent", "peer", r.link.Peer().NodeID, "cause", err.Error())
			}
			cancel()
		}
	}
}

func (s *Syncer) reply(cache *replyCache, r message.ConfigRequest) (*message.ConfigReply, error) {
	active := s.Current()
	if active == nil {
		return &message.ConfigReply{}, nil
	}
	if active.Envelope.Revision <= r.Have {
		return &message.ConfigReply{Revision: active.Envelope.Revision}, nil
	}
	if cache.active != active || len(cache.replies) >= maxCachedReplies {
		*cache = replyCache{active: active, replies: make(map[string]*message.ConfigReply)}
	}
	base, known := s.recalled(func(e config.Envelope) bool { return r.Have > 0 && e.Digest == r.HaveDigest })
	key := ""
	if known {
		key = r.HaveDigest
	}
	if cached, ok := cache.replies[key]; ok {
		return cached, nil
	}
	reply := &message.ConfigReply{Revision: active.Envelope.Revision}
	if known {
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
