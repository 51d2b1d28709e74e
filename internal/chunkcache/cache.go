// Package chunkcache caches the chunks of the newest model versions in memory and fetches missing chunks from peers or from the
// origin. Chunks are verified against the SHA-256 digests of the version's manifest.
package chunkcache

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// keptVersions is the number of versions cached per model: the newest one and the one that it replaces.
	keptVersions = 2
	// peerTimeout bounds a request to one peer; after it the next source is tried. It leaves room for chunks that are in transfer
	// at the same time: a chunk of 49,152 bytes takes 26 ms on the link of the origin if the link is otherwise idle.
	peerTimeout = 1500 * time.Millisecond
	// minManifestTimeout bounds the first requests for a manifest, see requestTimeout. A manifest takes 3 ms on the link of the origin, but
	// behind chunks it takes longer.
	minManifestTimeout = 300 * time.Millisecond
	// retryPause is the pause before a retry after all sources have failed.
	retryPause = 150 * time.Millisecond
	// tryChunkPeers is the number of peers that TryChunk asks before it reports that a chunk is not available.
	tryChunkPeers = 2
)

// Errors of a Cache.
var (
	// ErrNoOrigin means that the configuration contains no origin for weights.
	ErrNoOrigin = errors.New("chunkcache: no origin is configured")
	// ErrCorrupt means that a chunk does not match its digest, that a chunk number is out of range, or that digests are
	// malformed.
	ErrCorrupt = errors.New("chunkcache: verification failed")
	// ErrNotAvailable means that neither this node nor any peer that was asked holds a chunk at present.
	ErrNotAvailable = errors.New("chunkcache: chunk not available")
)

// Origin reads weights from the origin of the configuration, the authoritative source.
type Origin interface {
	// Manifest returns the hex SHA-256 digests of all chunks of a version, in the order of the chunks.
	Manifest(ctx context.Context, at catalog.Origin, model string, version int64) ([]string, error)
	// Chunk returns the bytes of one chunk without verifying them.
	Chunk(ctx context.Context, at catalog.Origin, model string, version int64, chunk int) ([]byte, error)
}

// Peers fetches weights from other nodes.
type Peers interface {
	// WeightPeers returns the nodes to ask for a chunk, in order of preference, before the origin is read. It may return none.
	WeightPeers(originDataCentre, model string, version int64, chunk int) []Source
	// MayReadOrigin reports whether this node may read a chunk from the origin now.
	MayReadOrigin(originDataCentre, model string, version int64, chunk int, need Need) bool
	// FetchWeights requests a chunk, or the manifest if chunk is message.WholeManifest, from one node.
	FetchWeights(ctx context.Context, from Source, model string, version int64, chunk int) (*message.WeightsReply, error)
}

// Need is the time for which a node has needed a chunk: now, and when it last asked whether it may read the origin (0 before that).
type Need struct{ LastAsked, Now time.Duration }

// Source is a node that weights can be requested from.
type Source struct {
	NodeID string
	// HeldOnly is set when the node should answer only from what it holds, without fetching.
	HeldOnly bool
}

// Cache holds verified chunks and manifests. It is safe for concurrent use.
type Cache struct {
	// currentOrigin returns the origin of the configuration in force, or nil if none is configured.
	currentOrigin func() *catalog.Origin
	origin        Origin
	peers         Peers
	log           logr.Logger
	// chunkCount returns the number of chunks that each version of a model has, 0 if it is not known.
	chunkCount func(model string) int
	// useOrigin is set on nodes that may read the origin.
	useOrigin bool
	// access limits the reads of the origin, originReads counts those in progress.
	access      *originAccess
	originReads atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// models holds the cached versions of each model, at most keptVersions.
	models map[string][]*cachedVersion
	// originBytes counts the bytes of chunks that were read from the origin.
	originBytes uint64
}

// cachedVersion holds what is cached of one version of a model.
type cachedVersion struct {
	model  string
	number int64
	// addedAt is when the version was first needed.
	addedAt time.Time
	// mu guards the fields below. digests is the manifest, nil until it has been fetched; it is replaced, never changed. fetches holds the
	// fetches in progress by chunk; message.WholeManifest is the key of the manifest.
	mu      sync.Mutex
	digests []string
	chunks  map[int][]byte
	fetches map[int]*sharedFetch
	// wanted holds, by chunk, since when it has been needed.
	wanted map[int]interest
	// unloggedFailures counts the failed fetches since failureLoggedAt, when one was last logged.
	unloggedFailures int
	failureLoggedAt  time.Time
	// lastChunkAt is when a chunk was last stored.
	lastChunkAt time.Time
	// ctx is the parent context of the fetches of this version; cancel cancels them.
	ctx    context.Context
	cancel context.CancelFunc
}

// FinishThreshold is the fraction of a version's chunks that must be held for its fetch to continue when a newer version is
// named. Upstreams load the older version if the newer one cannot be fetched.
const FinishThreshold = 0.5

// cancelUnlessMostlyHeld cancels the fetches in progress unless the share of chunks held has reached FinishThreshold. Callers
// that still wait for a cancelled fetch start a new one.
func (v *cachedVersion) cancelUnlessMostlyHeld() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.digests != nil && float64(len(v.chunks)) >= FinishThreshold*float64(len(v.digests)) {
		return
	}
	v.cancel()
	v.ctx, v.cancel = context.WithCancel(context.Background())
}

// interest is the time in which a chunk has been needed without a break of interestGap.
type interest struct {
	since time.Time
	// until is when a fetch last began or ended, askedAt when Need was last computed.
	until, askedAt time.Time
}

// interestGap is the time without a fetch of a chunk after which the next one counts as a new need.
const interestGap = 4 * time.Second

// needed records that a fetch of a chunk begins or ends. The caller must hold v.mu.
func (v *cachedVersion) needed(chunk int) {
	now := time.Now()
	w, ok := v.wanted[chunk]
	if !ok || now.Sub(w.until) > interestGap {
		w = interest{since: now, askedAt: now}
	}
	w.until = now
	v.wanted[chunk] = w
}

// waited returns for how long a chunk has been needed, 0 if it is not.
func (v *cachedVersion) waited(chunk int) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	w, ok := v.wanted[chunk]
	if !ok {
		return 0
	}
	return time.Since(w.since)
}

// need returns how long a chunk has been needed, and records the time of the call.
func (v *cachedVersion) need(chunk int) Need {
	v.mu.Lock()
	defer v.mu.Unlock()
	w, ok := v.wanted[chunk]
	if !ok {
		return Need{}
	}
	n := Need{LastAsked: w.askedAt.Sub(w.since), Now: time.Since(w.since)}
	w.askedAt = time.Now()
	v.wanted[chunk] = w
	return n
}

// sharedFetch is a fetch in progress whose result several callers may wait for. err is valid once done is closed.
type sharedFetch struct {
	done chan struct{}
	err  error
}

// New returns an empty cache. currentOrigin returns the origin in force, or nil. origin is nil on nodes that fetch from
// peers only.
func New(currentOrigin func() *catalog.Origin, origin Origin, peers Peers, log logr.Logger) *Cache {
	return &Cache{currentOrigin: currentOrigin, origin: origin, peers: peers, log: log, useOrigin: origin != nil,
		chunkCount: func(string) int { return 0 }, access: newOriginAccess(), models: map[string][]*cachedVersion{}}
}

// WithChunkCount sets the function that returns the number of chunks that each version of a model has, 0 if it is not known. Manifests of
// another length are rejected. It must be called before the cache is used.
func (c *Cache) WithChunkCount(chunkCount func(model string) int) *Cache {
	c.chunkCount = chunkCount
	return c
}

// OriginBytes returns the number of bytes of chunks that were read from the origin since the start.
func (c *Cache) OriginBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.originBytes
}

// getOrAddVersion returns the cached version with the given number. If there is none, it adds one, evicts the oldest versions beyond
// keptVersions, and cancels the fetches of older versions below FinishThreshold: they would delay the newer one on the link of
// the origin. A version older than all kept ones is evicted at once, so that its fetches fail.
func (c *Cache) getOrAddVersion(model string, number int64) *cachedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := c.models[model]
	for _, v := range versions {
		if v.number == number {
			return v
		}
	}
	v := &cachedVersion{model: model, number: number, addedAt: time.Now(), chunks: map[int][]byte{}, fetches: map[int]*sharedFetch{},
		wanted: map[int]interest{}}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	for _, other := range versions {
		if other.number < number {
			other.cancelUnlessMostlyHeld()
		}
	}
	versions = append(versions, v)
	for len(versions) > keptVersions {
		oldest := 0
		for i := range versions {
			if versions[i].number < versions[oldest].number {
				oldest = i
			}
		}
		versions[oldest].cancel()
		versions = append(versions[:oldest], versions[oldest+1:]...)
	}
	c.models[model] = versions
	return v
}

// Manifest returns the hex SHA-256 digests of all chunks of a version. It retries until ctx ends and returns an error only then.
func (c *Cache) Manifest(ctx context.Context, model string, number int64) ([]string, error) {
	held, err := c.ensure(ctx, c.getOrAddVersion(model, number), message.WholeManifest)
	return held.digests, err
}

// Chunk returns a verified chunk. It retries until ctx ends and returns an error only then.
func (c *Cache) Chunk(ctx context.Context, model string, number int64, chunk int) ([]byte, error) {
	held, err := c.ensure(ctx, c.getOrAddVersion(model, number), chunk)
	return held.data, err
}

// TryChunk returns a verified chunk if this node or one of its first tryChunkPeers sources holds it, otherwise ErrNotAvailable. It
// never reads a chunk from the origin, but waits for the manifest until ctx ends.
func (c *Cache) TryChunk(ctx context.Context, model string, number int64, chunk int) ([]byte, error) {
	v := c.getOrAddVersion(model, number)
	if _, err := c.ensure(ctx, v, message.WholeManifest); err != nil {
		return nil, err
	}
	origin := c.currentOrigin()
	if origin == nil {
		return nil, errors.Mark(ErrNoOrigin, ErrNotAvailable)
	}
	if !c.has(model, number, chunk) {
		sources := c.peers.WeightPeers(origin.DataCentre, model, number, chunk)
		if err := c.fetchFromHolders(ctx, v, chunk, sources[:min(tryChunkPeers, len(sources))]); err != nil {
			return nil, err
		}
	}
	held, ok := v.get(chunk)
	if !ok {
		return nil, errors.Wrapf(ErrNotAvailable, "chunk %d of version %d is not held any more", chunk, number)
	}
	return held.data, nil
}

// content is what is held of a version under one chunk number: digests of the manifest, or data of a chunk.
type content struct {
	digests []string
	data    []byte
	// digest is that of data.
	digest string
}

// get returns a chunk or the manifest, and reports whether it is cached.
func (v *cachedVersion) get(chunk int) (content, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.getLocked(chunk)
}

// getLocked implements get. The caller must hold v.mu.
func (v *cachedVersion) getLocked(chunk int) (content, bool) {
	if chunk == message.WholeManifest {
		return content{digests: v.digests}, v.digests != nil
	}
	data := v.chunks[chunk]
	if data == nil {
		return content{}, false
	}
	return content{data: data, digest: v.digests[chunk]}, true
}

// ensure waits until a chunk or the manifest is held, and returns it: the manifest may be corrected at any time. It retries failed fetches until
// ctx ends and returns an error only then.
// Concurrent callers share one fetch.
func (c *Cache) ensure(ctx context.Context, v *cachedVersion, chunk int) (content, error) {
	for {
		v.mu.Lock()
		if held, ok := v.getLocked(chunk); ok {
			v.mu.Unlock()
			return held, nil
		}
		shared := v.fetches[chunk]
		if shared == nil {
			shared = &sharedFetch{done: make(chan struct{})}
			v.fetches[chunk] = shared
			v.needed(chunk)
			go c.fetch(v.ctx, v, chunk, shared)
		}
		v.mu.Unlock()
		select {
		case <-shared.done:
		case <-ctx.Done():
			return content{}, ctx.Err()
		}
		if shared.err != nil {
			timer := time.NewTimer(retryPause)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return content{}, errors.CombineErrors(shared.err, ctx.Err())
			}
		}
	}
}

// Progress returns the fraction of a version's chunks that are held, from 0 to 1, and when a chunk was last stored. The fraction is
// 0 while the manifest is missing, the time is zero before the first chunk. A version that is not cached is added, which can evict
// another one.
func (c *Cache) Progress(model string, number int64) (share float64, lastChunkAt time.Time) {
	v := c.getOrAddVersion(model, number)
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.digests) == 0 {
		return 0, v.lastChunkAt
	}
	return float64(len(v.chunks)) / float64(len(v.digests)), v.lastChunkAt
}

// has reports whether a chunk or the manifest is cached. It adds the version if it is not cached, as Progress does.
func (c *Cache) has(model string, number int64, chunk int) bool {
	_, held := c.getOrAddVersion(model, number).get(chunk)
	return held
}

// Serve answers a request for weights from another node within 2*peerTimeout. It fetches what it does not hold, unless the request
// has HeldOnly set. Errors are returned in the Error field of the reply.
func (c *Cache) Serve(ctx context.Context, request *message.WeightsRequest) *message.WeightsReply {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	reply := &message.WeightsReply{}
	if request.HeldOnly && !c.has(request.Model, request.Version, request.Chunk) {
		reply.Error = "not held"
		return reply
	}
	var err error
	if request.Chunk == message.WholeManifest {
		reply.Digests, err = c.Manifest(ctx, request.Model, request.Version)
	} else {
		var held content
		held, err = c.ensure(ctx, c.getOrAddVersion(request.Model, request.Version), request.Chunk)
		reply.Data, reply.Digest = held.data, held.digest
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}
