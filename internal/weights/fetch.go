package weights

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// errPending means that a peer is still fetching the object, errNotFound that the peer does not have it or has been fetching
// it for too long.
var (
	errPending  = errors.New("weights: pending at peer")
	errNotFound = errors.New("weights: not held by peer")
)

// probeHoldTimeout is how long a probed peer may hold the request. A peer that this agent outranks holds it only while the peer reads
// the object from the origin or the weight store.
const probeHoldTimeout = time.Millisecond

// object is a manifest or a chunk that is to be fetched.
type object struct {
	// key is the version of a manifest or the hash of a chunk. size is the size of a chunk in bytes, 0 for a manifest.
	key  string
	size int
	// isStored reports whether this agent has the object.
	isStored func() bool
	// verifyAndStore returns ErrCorrupt when data does not match the digest.
	verifyAndStore func(data []byte) error
	// newRequest returns the message that requests the object from a peer, which may hold it for wait.
	newRequest func(id uint64, wait time.Duration) message.Message
	// readFrom reads the object from the origin or the weight store.
	readFrom func(ctx context.Context, source Source) ([]byte, error)
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

// fetchResult is the outcome of transfer.fetch.
type fetchResult int

const (
	fetched fetchResult = iota
	// pending means that the peer that is to supply the object is still fetching it.
	pending
	// abandoned means that the transfer was cancelled.
	abandoned
)

// fetch fetches the object and retries with backoff after failures. It returns abandoned only when ctx ends first.
func (t *transfer) fetch(ctx context.Context, o object) fetchResult {
	for factor := 1; ctx.Err() == nil; factor = min(2*factor, maxBackoffFactor) {
		if o.isStored() {
			return fetched
		}
		err := ErrMemoryBound
		if t.manager.store.hasRoom(o.key, int64(o.size)) {
			err = t.fetchOnce(ctx, o)
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
			t.manager.cfg.Log.V(1).Info("fetch failed, retrying", "object", o.key, "cause", err.Error())
		}
		sleepJittered(ctx, retryDelay(time.Duration(factor)*t.manager.cfg.Backoff, err))
	}
	return abandoned
}

// maxRetryAfter bounds the retry delay that a source may request.
const maxRetryAfter = 30 * time.Second

// retryDelay returns the backoff, or the delay that a source requested if that is longer. The requested delay is doubled, because
// sleepJittered may halve it.
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

// fetchOnce tries in turn the higher-ranked peers of the region, peers that may have the object already, the origin, peers of
// other regions and the weight store. It returns errPending when a peer of the region is still fetching the object.
func (t *transfer) fetchOnce(ctx context.Context, o object) error {
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
			return errors.New("weights: peers changed during the fetch")
		}
	}
	if !p.readsOrigin() {
		// The delay grows with the number of higher-ranked peers: the highest-ranked of the remaining agents reads the origin
		// first, and the others then find the object at that agent by probing.
		sleepJittered(ctx, t.manager.cfg.OriginDelay*time.Duration(len(p.higherRanked))/maxHigherRanked)
	}
	err := t.probe(ctx, append(p.higherRanked[:len(p.higherRanked):len(p.higherRanked)], t.eligibleProbes(p, generation)...), o)
	if err == nil || errors.Is(err, errPending) {
		return err
	}
	return t.readFromSources(ctx, o, p.remotePeers)
}

// eligibleProbes returns the peers of the plan that may already have the object. In the agent's first transfer any of them may have
// it, because other agents may have started earlier. The same holds after a membership change during the transfer, because other
// agents were the readers before it. Otherwise only peers that announced the complete version can have it.
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

// requestAndWait sends a request that the peer may hold until it has the object. It returns errPending when the peer is still
// fetching the object, and errNotFound when the object has been pending for longer than PendingTimeout.
func (t *transfer) requestAndWait(ctx context.Context, peer message.Peer, o object) error {
	err := t.requestFrom(ctx, peer, o, t.manager.cfg.HoldTimeout)
	if !errors.Is(err, errPending) {
		return err
	}
	// A peer with too many requests replies with pending at once. The pause, shorter than the backoff after a failure, keeps this
	// agent from repeating the request in a tight loop.
	sleepJittered(ctx, t.manager.cfg.Backoff/5)
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

// probe requests the object from each peer in turn without waiting, except for a peer that reports it as pending. It returns
// errNotFound when no peer supplies the object.
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

// requestFrom sends one request to a peer and stores the object if it matches its digest. wait is how long the peer may hold the
// request. A peer that cannot be reached or does not reply is avoided.
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

// replyPayload returns the manifest or chunk of a reply, or errPending or errNotFound.
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

// storeReceived verifies and stores the object and counts its bytes under the source, which is one of the From constants.
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

// readFromSources reads the object from the origin. If that fails, it tries the peers of other regions and then the weight store.
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

// readFromSource reads the object from one source. It returns ErrUnavailable when the read fails.
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
