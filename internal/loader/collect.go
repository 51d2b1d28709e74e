package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// fetchWorkers is the number of chunks that are fetched concurrently, if the link is fast enough (see linkMeter). Two saturate a
	// link of 9.4 Mbit/s with a latency of a few ms; more would only delay the requests to the upstream, which share the link.
	fetchWorkers = 2
	// missRetryDelay is the time after which a chunk that was not available is requested again, and lookAhead the number of
	// pending chunks, from the lowest, that are tried. Entries receive chunks roughly in order; the limits reduce the load on
	// entries, as each of them serves several agents.
	missRetryDelay = 40 * time.Millisecond
	lookAhead      = 6
	// idlePause is the pause of a worker that finds no chunk to request.
	idlePause = 5 * time.Millisecond
	// stallTimeout is the time without any chunk after which blocking fetches begin, in which the source itself fetches a chunk
	// that it lacks. It is far longer than the 44 ms between chunks from the origin while a whole version is copied.
	stallTimeout = 600 * time.Millisecond
	// blockingTimeout bounds the time a worker spends on one blocking fetch. The source continues that fetch while the worker
	// tries another chunk.
	blockingTimeout = 400 * time.Millisecond
	// maxBlocking bounds the number of chunks in blocking fetches. All of them may arrive at once, so that linkMeter allows fewer on
	// a slow link.
	maxBlocking = 4
)

// collector fetches the chunks of one version and starts with those that are available now, so that a chunk that its source does
// not have yet does not delay the others.
type collector struct {
	weights Weights
	target  Target
	// link limits the chunks in transfer.
	link *linkMeter
	// store is called with each fetched chunk. isStored reports whether a chunk is stored already and need not be fetched. Both
	// may be nil.
	store    func(ctx context.Context, chunk int, data []byte) error
	isStored func(ctx context.Context, chunk int) bool

	mu sync.Mutex
	// pending lists the chunks still to be fetched, in ascending order, without those in flight.
	pending  []int
	inFlight int
	// lastMiss holds, by chunk, when the chunk was last requested and not available.
	lastMiss map[int]time.Time
	// blocking holds the chunks for which a blocking fetch was started and that have not arrived.
	blocking map[int]bool
	// lastProgress is when a chunk was last completed.
	lastProgress time.Time
	// err is the first error that is not chunkcache.ErrNotAvailable. It ends the run.
	err error
}

// run fetches n chunks and returns the first error. It blocks until all chunks are fetched, an error occurs or ctx ends.
func (c *collector) run(ctx context.Context, n int) error {
	c.lastMiss, c.blocking, c.lastProgress = map[int]time.Time{}, map[int]bool{}, time.Now()
	for i := range n {
		c.pending = append(c.pending, i)
	}
	var wg sync.WaitGroup
	for range fetchWorkers {
		wg.Add(1)
		go func() { defer wg.Done(); c.fetchChunks(ctx) }()
	}
	wg.Wait()
	return c.err
}

// fetchChunks fetches chunks until none is missing or an error has occurred.
func (c *collector) fetchChunks(ctx context.Context) {
	for {
		chunk, more := c.next()
		if !more {
			return
		}
		if chunk == noChunk {
			pause.For(ctx, idlePause)
			if ctx.Err() != nil {
				c.finish(noChunk, context.Cause(ctx))
			}
			continue
		}
		err := c.fetchAndStore(ctx, chunk)
		if err != nil && ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		c.finish(chunk, err)
	}
}

// fetchAndStore fetches and stores one chunk unless it is stored already. It returns chunkcache.ErrNotAvailable if no source has it
// now.
func (c *collector) fetchAndStore(ctx context.Context, chunk int) error {
	if c.isStored != nil && !c.wasMissed(chunk) && c.isStored(ctx, chunk) {
		return nil
	}
	fetch := c.weights.TryChunk
	if c.startBlocking(chunk) {
		fetch = c.fetchBlocking
	}
	data, err := c.measure(ctx, chunk, fetch)
	if err != nil || c.store == nil {
		return err
	}
	return c.store(ctx, chunk, data)
}

// fetchFunc is the signature of the methods of Weights that fetch a chunk.
type fetchFunc func(ctx context.Context, model string, version int64, chunk int) ([]byte, error)

// measure fetches a chunk and records the time of its transfer.
func (c *collector) measure(ctx context.Context, chunk int, fetch fetchFunc) ([]byte, error) {
	started := time.Now()
	data, err := fetch(ctx, c.target.Model, c.target.Version, chunk)
	if err == nil {
		c.mu.Lock()
		concurrent := c.inFlight
		c.mu.Unlock()
		c.link.record(time.Since(started), concurrent)
	}
	return data, err
}

// fetchBlocking waits up to blockingTimeout for a chunk; after that it returns chunkcache.ErrNotAvailable while the fetch continues.
func (c *collector) fetchBlocking(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	attempt, cancel := context.WithTimeout(ctx, blockingTimeout)
	defer cancel()
	data, err := c.weights.Chunk(attempt, model, version, chunk)
	if err != nil && attempt.Err() != nil && ctx.Err() == nil {
		return nil, errors.Mark(err, chunkcache.ErrNotAvailable)
	}
	return data, err
}

// startBlocking reports whether to fetch a chunk with fetchBlocking, and if so records it in blocking. This is the case if no chunk
// was completed within stallTimeout and the chunk is in blocking already or one more is allowed there.
func (c *collector) startBlocking(chunk int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	oneMore := len(c.blocking) < maxBlocking && c.link.allows(len(c.blocking)+1)
	if time.Since(c.lastProgress) < stallTimeout || !c.blocking[chunk] && !oneMore {
		return false
	}
	c.blocking[chunk] = true
	return true
}

// wasMissed reports whether a chunk was not available on an earlier attempt.
func (c *collector) wasMissed(chunk int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastMiss[chunk].IsZero()
}

// noChunk is returned by next if no chunk may be requested now.
const noChunk = -1

// next removes the first pending chunk that may be requested now and returns it, or noChunk if there is none. more is false when
// all chunks are fetched or an error has occurred.
func (c *collector) next() (chunk int, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || len(c.pending)+c.inFlight == 0 {
		return noChunk, false
	}
	if !c.link.allows(c.inFlight + 1) {
		return noChunk, true
	}
	for i, candidate := range c.pending[:min(lookAhead, len(c.pending))] {
		if time.Since(c.lastMiss[candidate]) >= missRetryDelay {
			c.pending = slices.Delete(c.pending, i, i+1)
			c.inFlight++
			return candidate, true
		}
	}
	return noChunk, true
}

// finish records the result for a chunk, or for noChunk the error that ends the run. A chunk that was not available becomes
// pending again.
func (c *collector) finish(chunk int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if chunk != noChunk {
		c.inFlight--
	}
	switch {
	case err == nil:
		delete(c.blocking, chunk)
		c.lastProgress = time.Now()
	case errors.Is(err, chunkcache.ErrNotAvailable):
		c.lastMiss[chunk] = time.Now()
		position, _ := slices.BinarySearch(c.pending, chunk)
		c.pending = slices.Insert(c.pending, position, chunk)
	case c.err == nil:
		c.err = err
	}
}
