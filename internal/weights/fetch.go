package weights

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// errPending means that a peer is still fetching the object; errNotFound that it is not going to have it.
var (
	errPending  = errors.New("weights: pending at peer")
	errNotFound = errors.New("weights: not held by peer")
)

// probeWait is how long a probed peer may hold the request, which it does only while it reads the object itself.
const probeHoldTimeout = time.Millisecond

// object is a manifest or a chunk on its way.
type object struct {
	key  string
	size int
	// have tells whether it is held; accept verifies and keeps it.
	isStored       func() bool
	verifyAndStore func(data []byte) error
	newRequest     func(id uint64, wait time.Duration) message.Message
	readFrom       func(ctx context.Context, source Source) ([]byte, error)
}

func chunkObject(m *Manager, ref ChunkRef) object {
	return object{
		key: ref.Hash, size: int(ref.Size),
		isStored: func() bool { return m.store.has(ref.Hash) },
		verifyAndStore: func(data []byte) error {
			if err := verifyChunk(ref.Hash, data); err != nil {
				return err
			}
			return m.store.put(ref.Hash, data)
		},
		newRequest: func(id uint64, wait time.Duration) message.Message {
			return &message.ChunkRequest{ID: id, Hash: ref.Hash, WaitMillis: wait.Milliseconds()}
		},
		readFrom: func(ctx context.Context, source Source) ([]byte, error) { return source.Chunk(ctx, ref.Hash, ref.Size) },
	}
}

func manifestObject(m *Manager, version string) object {
	return object{
		key:      version,
		isStored: func() bool { return m.manifest(version) != nil },
		verifyAndStore: func(data []byte) error {
			manifest, err := ParseManifest(version, data)
			if err == nil {
				m.addManifest(manifest)
			}
			return err
		},
		newRequest: func(id uint64, _ time.Duration) message.Message {
			return &message.ManifestRequest{ID: id, Version: version}
		},
		readFrom: func(ctx context.Context, source Source) ([]byte, error) { return source.Manifest(ctx, version) },
	}
}

// result is the outcome of fetch.
type fetchResult int

const (
	fetched fetchResult = iota
	// pending means that the peer that is to supply the object is still fetching it.
	pending
	abandoned
)

// fetch gets the object and returns abandoned only when ctx ends first.
func (t *transfer) fetch(ctx context.Context, o object) fetchResult {
	for factor := 1; ctx.Err() == nil; factor = min(2*factor, maxBackoffFactor) {
		if o.isStored() {
			return fetched
		}
		err := ErrMemoryBound
		if t.manager.store.hasRoom(o.key, int64(o.size)) {
			err = t.tryAllSources(ctx, o)
		}
		if err == nil {
			return fetched
		}
		if errors.Is(err, errPending) {
			return pending
		}
		if ctx.Err() == nil {
			if t.manager.recordError(err) {
				t.manager.cfg.Log.Info("transfer delayed", "version", t.version, "cause", err.Error())
			}
			t.manager.cfg.Log.V(1).Info("retry", "object", o.key, "cause", err.Error())
		}
		sleepJittered(ctx, retryDelay(time.Duration(factor)*t.manager.cfg.Backoff, err))
	}
	return abandoned
}

// maxRetryAfter bounds the delay that a source may ask for.
const maxRetryAfter = 30 * time.Second

// retryDelay returns the backoff, or longer when a source asked for it. Twice the delay is given, because sleep may halve it.
func retryDelay(backoff time.Duration, err error) time.Duration {
	var rateLimited interface {
		error
		Delay() time.Duration
	}
	if !errors.As(err, &rateLimited) {
		return backoff
	}
	return max(backoff, 2*min(rateLimited.Delay(), maxRetryAfter))
}

// tryAll asks the peers in rendezvous order, then the origin, then peers of other regions, then the weight store.
func (t *transfer) tryAllSources(ctx context.Context, o object) error {
	if t.manager.cfg.Baseline {
		return t.readFromSources(ctx, o, nil)
	}
	p, generation := t.manager.fetchPlanFor(o.key, t.version)
	for _, peer := range p.higherRanked {
		if t.manager.isAvoided(peer.NodeID) {
			continue
		}
		if err := t.requestAndWait(ctx, peer, o); err == nil || errors.Is(err, errPending) || ctx.Err() != nil {
			return err
		}
		if t.manager.currentGeneration() != generation {
			return errors.New("weights: membership changed")
		}
	}
	if !p.readsOrigin() {
		// The agents next in order turn to the origin first; the others find the object at them.
		sleepJittered(ctx, t.manager.cfg.OriginDelay*time.Duration(len(p.higherRanked))/maxHigherRanked)
	}
	err := t.probe(ctx, append(p.higherRanked[:len(p.higherRanked):len(p.higherRanked)], t.eligibleProbes(p, generation)...), o)
	if err == nil || errors.Is(err, errPending) {
		return err
	}
	return t.readFromSources(ctx, o, p.remotePeers)
}

// usefulProbes leaves out peers that cannot have read the object earlier: while the membership is the one at the start of
// the transfer, only peers that announced the whole version can.
func (t *transfer) eligibleProbes(p fetchPlan, generation uint64) []message.Peer {
	if t.firstTransfer || generation != t.generation {
		return p.probePeers
	}
	var eligible []message.Peer
	for _, peer := range p.probePeers {
		if announcesVersion(peer, t.version) {
			eligible = append(eligible, peer)
		}
	}
	return eligible
}

// await lets one peer hold the request. It returns errPending when the peer is still fetching the object, and errNotFound
// when it has been doing so for longer than the limit.
func (t *transfer) requestAndWait(ctx context.Context, peer message.Peer, o object) error {
	err := t.requestFrom(ctx, peer, o, t.manager.cfg.HoldTimeout)
	if !errors.Is(err, errPending) {
		return err
	}
	sleepJittered(ctx, t.manager.cfg.Backoff/5) // A peer that refuses further requests answers at once.
	t.mu.Lock()
	defer t.mu.Unlock()
	firstPending, found := t.pendingSince[o.key]
	if !found {
		t.pendingSince[o.key] = time.Now()
		return err
	}
	if time.Since(firstPending) > t.manager.cfg.PendingTimeout {
		return errNotFound
	}
	return err
}

// probe asks peers that may hold the object, without waiting unless a peer is reading it.
func (t *transfer) probe(ctx context.Context, peers []message.Peer, o object) error {
	for _, peer := range peers {
		if t.manager.isAvoided(peer.NodeID) {
			continue
		}
		err := t.requestFrom(ctx, peer, o, probeHoldTimeout)
		if errors.Is(err, errPending) {
			err = t.requestAndWait(ctx, peer, o)
		}
		if err == nil || errors.Is(err, errPending) {
			return err
		}
	}
	return errNotFound
}

// ask sends one request to a peer and keeps the object when it is authentic.
func (t *transfer) requestFrom(ctx context.Context, peer message.Peer, o object, wait time.Duration) error {
	reply, err := t.manager.links.request(t.linkCtx, ctx, peer, func(id uint64) message.Message { return o.newRequest(id, wait) })
	if err != nil {
		if ctx.Err() == nil {
			t.manager.avoid(peer.NodeID)
			t.manager.cfg.Log.V(1).Info("peer avoided", "peer", peer.NodeID, "cause", err.Error())
		}
		return err
	}
	data, err := replyPayload(reply)
	if err != nil {
		return err
	}
	if err := t.manager.downloadLimiter.wait(ctx, len(data)); err != nil {
		return err
	}
	source := peerSource(t.manager.cfg.Self, peer)
	err = t.storeReceived(ctx, o, data, source)
	switch {
	case err == nil:
		t.manager.resetFailures(peer.NodeID)
	case errors.Is(err, ErrCorrupt):
		t.manager.countCorrupt(peer.NodeID)
	}
	return err
}

func replyPayload(reply message.Message) ([]byte, error) {
	switch r := reply.(type) {
	case *message.ChunkReply:
		if r.Pending {
			return nil, errPending
		}
		if !r.NotFound {
			return r.Data, nil
		}
	case *message.ManifestReply:
		if !r.NotFound {
			return r.Manifest, nil
		}
	}
	return nil, errNotFound
}

func (t *transfer) storeReceived(ctx context.Context, o object, data []byte, source string) error {
	if err := o.verifyAndStore(data); err != nil {
		if errors.Is(err, ErrCorrupt) {
			t.manager.metrics.corrupted(ctx, source)
		}
		return err
	}
	t.manager.countReceived(source, len(data))
	t.manager.metrics.received(ctx, source, len(data))
	return nil
}

// fromSources reads the origin. When it fails, peers of other regions and then the weight store are asked.
func (t *transfer) readFromSources(ctx context.Context, o object, remotePeers []message.Peer) error {
	t.manager.addSourceReads(o.key, 1)
	defer t.manager.addSourceReads(o.key, -1)
	if o.isStored() {
		return nil
	}
	err := t.readFromSource(ctx, o, t.manager.cfg.Origin, FromOrigin)
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrMemoryBound) {
		return err
	}
	for _, peer := range remotePeers {
		if !t.manager.isAvoided(peer.NodeID) && t.requestFrom(ctx, peer, o, probeHoldTimeout) == nil {
			return nil
		}
	}
	if t.manager.cfg.WeightStore == nil {
		return err
	}
	return t.readFromSource(ctx, o, t.manager.cfg.WeightStore, FromWeightStore)
}

func (t *transfer) readFromSource(ctx context.Context, o object, source Source, name string) error {
	if err := t.manager.downloadLimiter.wait(ctx, o.size); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.manager.cfg.SourceTimeout)
	defer cancel()
	data, err := o.readFrom(ctx, source)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read %s from %s", o.key, name), ErrUnavailable)
	}
	return t.storeReceived(ctx, o, data, name)
}
