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
const probeWait = time.Millisecond

// object is a manifest or a chunk on its way.
type object struct {
	key  string
	size int
	// have tells whether it is held; accept verifies and keeps it.
	have    func() bool
	accept  func(data []byte) error
	request func(id uint64, wait time.Duration) message.Message
	read    func(ctx context.Context, source Source) ([]byte, error)
}

func chunkObject(m *Manager, ref ChunkRef) object {
	return object{
		key: ref.Hash, size: int(ref.Size),
		have: func() bool { return m.store.has(ref.Hash) },
		accept: func(data []byte) error {
			if err := verifyChunk(ref.Hash, data); err != nil {
				return err
			}
			return m.store.put(ref.Hash, data)
		},
		request: func(id uint64, wait time.Duration) message.Message {
			return &message.ChunkRequest{ID: id, Hash: ref.Hash, WaitMillis: wait.Milliseconds()}
		},
		read: func(ctx context.Context, source Source) ([]byte, error) { return source.Chunk(ctx, ref.Hash, ref.Size) },
	}
}

func manifestObject(m *Manager, version string) object {
	return object{
		key:  version,
		have: func() bool { return m.manifest(version) != nil },
		accept: func(data []byte) error {
			manifest, err := ParseManifest(version, data)
			if err == nil {
				m.addManifest(manifest)
			}
			return err
		},
		request: func(id uint64, _ time.Duration) message.Message {
			return &message.ManifestRequest{ID: id, Version: version}
		},
		read: func(ctx context.Context, source Source) ([]byte, error) { return source.Manifest(ctx, version) },
	}
}

// result is the outcome of fetch.
type result int

const (
	fetched result = iota
	// pending means that the peer that is to supply the object is still fetching it.
	pending
	abandoned
)

// fetch gets the object and returns abandoned only when ctx ends first.
func (t *transfer) fetch(ctx context.Context, o object) result {
	for factor := 1; ctx.Err() == nil; factor = min(2*factor, maxBackoffFactor) {
		if o.have() {
			return fetched
		}
		err := ErrMemoryBound
		if t.m.store.room(o.key, int64(o.size)) {
			err = t.tryAll(ctx, o)
		}
		if err == nil {
			return fetched
		}
		if errors.Is(err, errPending) {
			return pending
		}
		if ctx.Err() == nil {
			if t.m.setError(err) {
				t.m.cfg.Log.Info("transfer delayed", "version", t.version, "cause", err.Error())
			}
			t.m.cfg.Log.V(1).Info("retry", "object", o.key, "cause", err.Error())
		}
		sleep(ctx, retryDelay(time.Duration(factor)*t.m.cfg.Backoff, err))
	}
	return abandoned
}

// maxRetryAfter bounds the delay that a source may ask for.
const maxRetryAfter = 30 * time.Second

// retryDelay returns the backoff, or longer when a source asked for it. Twice the delay is given, because sleep may halve it.
func retryDelay(backoff time.Duration, err error) time.Duration {
	var limited interface {
		error
		Delay() time.Duration
	}
	if !errors.As(err, &limited) {
		return backoff
	}
	return max(backoff, 2*min(limited.Delay(), maxRetryAfter))
}

// tryAll asks the peers in rendezvous order, then the origin, then peers of other regions, then the weight store.
func (t *transfer) tryAll(ctx context.Context, o object) error {
	if t.m.cfg.Baseline {
		return t.fromSources(ctx, o, nil)
	}
	p, generation := t.m.planFor(o.key, t.version)
	for _, peer := range p.sources {
		if t.m.avoided(peer.NodeID) {
			continue
		}
		if err := t.await(ctx, peer, o); err == nil || errors.Is(err, errPending) || ctx.Err() != nil {
			return err
		}
		if t.m.currentGeneration() != generation {
			return errors.New("weights: membership changed")
		}
	}
	if !p.reader() {
		// The agents next in order turn to the origin first; the others find the object at them.
		sleep(ctx, t.m.cfg.OriginDelay*time.Duration(len(p.sources))/maxFallbacks)
	}
	err := t.probe(ctx, append(p.sources[:len(p.sources):len(p.sources)], t.usefulProbes(p, generation)...), o)
	if err == nil || errors.Is(err, errPending) {
		return err
	}
	return t.fromSources(ctx, o, p.remote)
}

// usefulProbes leaves out peers that cannot have read the object earlier: while the membership is the one at the start of
// the transfer, only peers that announced the whole version can.
func (t *transfer) usefulProbes(p plan, generation uint64) []message.Peer {
	if t.late || generation != t.generation {
		return p.probes
	}
	var out []message.Peer
	for _, peer := range p.probes {
		if holds(peer, t.version) {
			out = append(out, peer)
		}
	}
	return out
}

// await lets one peer hold the request. It returns errPending when the peer is still fetching the object, and errNotFound
// when it has been doing so for longer than the limit.
func (t *transfer) await(ctx context.Context, peer message.Peer, o object) error {
	err := t.ask(ctx, peer, o, t.m.cfg.Wait)
	if !errors.Is(err, errPending) {
		return err
	}
	sleep(ctx, t.m.cfg.Backoff/5) // A peer that refuses further requests answers at once.
	t.mu.Lock()
	defer t.mu.Unlock()
	since, known := t.pendingSince[o.key]
	if !known {
		t.pendingSince[o.key] = time.Now()
		return err
	}
	if time.Since(since) > t.m.cfg.PendingLimit {
		return errNotFound
	}
	return err
}

// probe asks peers that may hold the object, without waiting unless a peer is reading it.
func (t *transfer) probe(ctx context.Context, peers []message.Peer, o object) error {
	for _, peer := range peers {
		if t.m.avoided(peer.NodeID) {
			continue
		}
		err := t.ask(ctx, peer, o, probeWait)
		if errors.Is(err, errPending) {
			err = t.await(ctx, peer, o)
		}
		if err == nil || errors.Is(err, errPending) {
			return err
		}
	}
	return errNotFound
}

// ask sends one request to a peer and keeps the object when it is authentic.
func (t *transfer) ask(ctx context.Context, peer message.Peer, o object, wait time.Duration) error {
	reply, err := t.m.links.ask(t.run, ctx, peer, func(id uint64) message.Message { return o.request(id, wait) })
	if err != nil {
		if ctx.Err() == nil {
			t.m.avoid(peer.NodeID)
			t.m.cfg.Log.V(1).Info("peer avoided", "peer", peer.NodeID, "cause", err.Error())
		}
		return err
	}
	data, err := payload(reply)
	if err != nil {
		return err
	}
	if err := t.m.down.wait(ctx, len(data)); err != nil {
		return err
	}
	source := sourceOf(t.m.cfg.Self, peer)
	err = t.keep(ctx, o, data, source)
	switch {
	case err == nil:
		t.m.succeeded(peer.NodeID)
	case errors.Is(err, ErrCorrupt):
		t.m.countCorrupt(peer.NodeID)
	}
	return err
}

func payload(reply message.Message) ([]byte, error) {
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

func (t *transfer) keep(ctx context.Context, o object, data []byte, source string) error {
	if err := o.accept(data); err != nil {
		if errors.Is(err, ErrCorrupt) {
			t.m.metrics.corrupted(ctx, source)
		}
		return err
	}
	t.m.countReceived(source, len(data))
	t.m.metrics.received(ctx, source, len(data))
	return nil
}

// fromSources reads the origin. When it fails, peers of other regions and then the weight store are asked.
func (t *transfer) fromSources(ctx context.Context, o object, remote []message.Peer) error {
	t.m.setReading(o.key, 1)
	defer t.m.setReading(o.key, -1)
	if o.have() {
		return nil
	}
	err := t.fromSource(ctx, o, t.m.cfg.Origin, FromOrigin)
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrMemoryBound) {
		return err
	}
	for _, peer := range remote {
		if !t.m.avoided(peer.NodeID) && t.ask(ctx, peer, o, probeWait) == nil {
			return nil
		}
	}
	if t.m.cfg.WeightStore == nil {
		return err
	}
	return t.fromSource(ctx, o, t.m.cfg.WeightStore, FromWeightStore)
}

func (t *transfer) fromSource(ctx context.Context, o object, source Source, name string) error {
	if err := t.m.down.wait(ctx, o.size); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.m.cfg.SourceTimeout)
	defer cancel()
	data, err := o.read(ctx, source)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read %s from %s", o.key, name), ErrUnavailable)
	}
	return t.keep(ctx, o, data, name)
}
