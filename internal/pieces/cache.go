// Package pieces keeps the chunks of the newest model versions in memory and gets missing ones from peers or from the origin.
package pieces

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// keptVersions is the number of versions of one model that are kept: the newest one, and the one that is being replaced.
	keptVersions = 2
	// peerTimeout is how long a peer may take before the next source is asked. A chunk of 49,152 bytes takes 26 ms of the
	// origin's link, and several are on their way at once.
	peerTimeout = 1500 * time.Millisecond
	// retryPause is the pause after all sources have failed.
	retryPause = 150 * time.Millisecond
	// distrustAfter is the number of chunks in a row that do not fit their digests after which the digests are read anew.
	distrustAfter = 3
	// offers is the number of peers that are asked for what they hold before a chunk counts as not to be had now.
	offers = 2
)

// Errors of a Cache.
var (
	// ErrNoOrigin means that the configuration names no origin of weights.
	ErrNoOrigin = errors.New("pieces: no origin is configured")
	// ErrCorrupt means that a chunk does not fit its digest, or that digests are malformed.
	ErrCorrupt = errors.New("pieces: corrupt")
	// ErrNotAvailable means that nobody who was asked holds a chunk now.
	ErrNotAvailable = errors.New("pieces: not offered")
)

// Origin reads weights from where they come from.
type Origin interface {
	// Manifest returns the hex SHA-256 digests of all chunks of a version.
	Manifest(ctx context.Context, at catalog.Origin, model string, version int64) ([]string, error)
	// Chunk returns the bytes of one chunk. They are not verified.
	Chunk(ctx context.Context, at catalog.Origin, model string, version int64, chunk int) ([]byte, error)
}

// Peers reads weights from other nodes.
type Peers interface {
	// WeightPeers returns the nodes to ask for a chunk, the best first; none if this node should read the origin.
	WeightPeers(originCentre, model string, version int64, chunk int) []Source
	// FetchWeights asks one node.
	FetchWeights(ctx context.Context, from Source, model string, version int64, chunk int) (*message.WeightsReply, error)
}

// Source is a node to ask for weights.
type Source struct {
	NodeID string
	// HeldOnly asks only for what the node holds already.
	HeldOnly bool
}

// Cache is safe for concurrent use.
type Cache struct {
	// where returns the origin in force, or nil.
	where  func() *catalog.Origin
	origin Origin
	peers  Peers
	log    logr.Logger
	// useOrigin is false on nodes that never read the origin.
	useOrigin bool

	mu     sync.Mutex
	models map[string][]*version
	copies uint64
}

type version struct {
	model  string
	number int64
	// mu guards the fields below.
	mu      sync.Mutex
	digests []string
	chunks  map[int][]byte
	calls   map[int]*call
	misfits int
	// grown is when the newest chunk was stored.
	grown time.Time
	// ctx bounds the fetches of this version that are in progress.
	ctx    context.Context
	cancel context.CancelFunc
}

// FinishThreshold is the share of a version's chunks from which its reading goes on when a newer version is named: upstreams need it
// if the newer one cannot be had.
const FinishThreshold = 0.5

// abandon ends the fetches in progress, unless most of the version is there. Who still waits for one of them begins another.
func (v *version) abandon() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.digests != nil && float64(len(v.chunks)) >= FinishThreshold*float64(len(v.digests)) {
		return
	}
	v.cancel()
	v.ctx, v.cancel = context.WithCancel(context.Background())
}

// call is a fetch that several callers may wait for.
type call struct {
	done chan struct{}
	err  error
}

// NewCache returns an empty cache. origin is nil on nodes that read from peers only.
func NewCache(where func() *catalog.Origin, origin Origin, peers Peers, log logr.Logger) *Cache {
	return &Cache{where: where, origin: origin, peers: peers, log: log, useOrigin: origin != nil, models: map[string][]*version{}}
}

// OriginBytes returns the number of bytes of chunks that were read from the origin.
func (c *Cache) OriginBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies
}

// version returns the entry of a version and forgets old ones. The first call for a version ends the fetches of older ones: they would
// hold up the newer one on the link of the origin.
func (c *Cache) version(model string, number int64) *version {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.models[model]
	for _, v := range list {
		if v.number == number {
			return v
		}
	}
	v := &version{model: model, number: number, chunks: map[int][]byte{}, calls: map[int]*call{}}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	for _, other := range list {
		if other.number < number {
			other.abandon()
		}
	}
	list = append(list, v)
	for len(list) > keptVersions {
		oldest := 0
		for i := range list {
			if list[i].number < list[oldest].number {
				oldest = i
			}
		}
		list[oldest].cancel()
		list = append(list[:oldest], list[oldest+1:]...)
	}
	c.models[model] = list
	return v
}

// Manifest returns the digests of a version. It tries until ctx ends.
func (c *Cache) Manifest(ctx context.Context, model string, number int64) ([]string, error) {
	v := c.version(model, number)
	if err := c.get(ctx, v, message.WholeManifest); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digests, nil
}

// Chunk returns a verified chunk. It tries until ctx ends.
func (c *Cache) Chunk(ctx context.Context, model string, number int64, chunk int) ([]byte, error) {
	v := c.version(model, number)
	if err := c.get(ctx, v, chunk); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.chunks[chunk], nil
}

// TryChunk returns a verified chunk that this node or one of its best sources holds now, else ErrNotAvailable.
func (c *Cache) TryChunk(ctx context.Context, model string, number int64, chunk int) ([]byte, error) {
	v := c.version(model, number)
	if err := c.get(ctx, v, message.WholeManifest); err != nil {
		return nil, err
	}
	at := c.where()
	if at == nil {
		return nil, errors.Mark(ErrNoOrigin, ErrNotAvailable)
	}
	if !c.has(model, number, chunk) {
		sources := c.peers.WeightPeers(at.DataCentre, model, number, chunk)
		if err := c.fetchHeld(ctx, v, chunk, sources[:min(offers, len(sources))]); err != nil {
			return nil, err
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.chunks[chunk], nil
}

// get makes sure that a chunk or the manifest is held. One fetch serves all callers.
func (c *Cache) get(ctx context.Context, v *version, chunk int) error {
	for {
		v.mu.Lock()
		if v.holds(chunk) {
			v.mu.Unlock()
			return nil
		}
		running := v.calls[chunk]
		if running == nil {
			running = &call{done: make(chan struct{})}
			v.calls[chunk] = running
			go c.fetch(v.ctx, v, chunk, running)
		}
		v.mu.Unlock()
		select {
		case <-running.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if running.err != nil {
			timer := time.NewTimer(retryPause)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return errors.CombineErrors(running.err, ctx.Err())
			}
		}
	}
}

// holds tells whether a chunk or the manifest is there. The caller holds v.mu.
func (v *version) holds(chunk int) bool {
	if chunk == message.WholeManifest {
		return v.digests != nil
	}
	return v.chunks[chunk] != nil
}

// keep verifies and stores what a source has sent.
func (c *Cache) keep(v *version, chunk int, digests []string, data []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if chunk == message.WholeManifest {
		if !wellFormed(digests) {
			return errors.Wrapf(ErrCorrupt, "digests of version %d", v.number)
		}
		v.digests = digests
		return nil
	}
	if chunk < 0 || chunk >= len(v.digests) {
		return errors.Wrapf(ErrCorrupt, "version %d has no chunk %d", v.number, chunk)
	}
	if !MatchesDigest(data, v.digests[chunk]) {
		v.misfits++
		if v.misfits >= distrustAfter {
			v.digests, v.misfits = nil, 0
			v.chunks = map[int][]byte{}
		}
		return errors.Wrapf(ErrCorrupt, "chunk %d of version %d", chunk, v.number)
	}
	v.misfits = 0
	v.chunks[chunk] = data
	v.grown = time.Now()
	return nil
}

// Progress returns the share of a version's chunks that are held, 0..1, and when the newest one came.
func (c *Cache) Progress(model string, number int64) (share float64, grown time.Time) {
	v := c.version(model, number)
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.digests) == 0 {
		return 0, v.grown
	}
	return float64(len(v.chunks)) / float64(len(v.digests)), v.grown
}

// MatchesDigest tells whether data has the given hex SHA-256 digest.
func MatchesDigest(data []byte, digest string) bool {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]) == digest
}

func wellFormed(digests []string) bool {
	for _, d := range digests {
		if raw, err := hex.DecodeString(d); err != nil || len(raw) != sha256.Size {
			return false
		}
	}
	return len(digests) > 0
}

// has tells whether a chunk or the digests are held.
func (c *Cache) has(model string, number int64, chunk int) bool {
	v := c.version(model, number)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holds(chunk)
}

// Serve answers a request of another node.
func (c *Cache) Serve(ctx context.Context, q *message.WeightsRequest) *message.WeightsReply {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	reply := &message.WeightsReply{}
	if q.HeldOnly && !c.has(q.Model, q.Version, q.Chunk) {
		reply.Error = "not held"
		return reply
	}
	var err error
	if q.Chunk == message.WholeManifest {
		reply.Digests, err = c.Manifest(ctx, q.Model, q.Version)
	} else {
		reply.Data, err = c.Chunk(ctx, q.Model, q.Version, q.Chunk)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}
