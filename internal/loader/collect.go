package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/pieces"
)

const (
	// fetchers is the number of chunks that are fetched at once. Two fill a link of 9.4 Mbit/s over a few ms; more would only
	// hold up the requests to the server, which share the link.
	fetchers = 2
	// askAgain is the time after which a chunk that could not be had is asked for again, and lookAhead the number of missing chunks
	// that are tried. Entries get chunks roughly in order; the limits spare them, as each answers several agents.
	askAgain  = 40 * time.Millisecond
	lookAhead = 6
	// idlePause is the pause of a worker that finds nothing to try.
	idlePause = 5 * time.Millisecond
	// offeredPatience is the time without any chunk after which a source is asked to wait for one until it has it. Over a whole copy
	// the origin sends a chunk every 44 ms.
	offeredPatience = 600 * time.Millisecond
	// waitSlice is how long a worker stays with one chunk that its source waits for. The source goes on; another chunk is tried.
	waitSlice = 400 * time.Millisecond
	// maxWaiting bounds the chunks that sources wait for at the same time: all may come at once, over a link of 1.2 Mbit/s at worst,
	// and each has to arrive before the source's patience of 1.5 s ends.
	maxWaiting = 4
)

// collector brings the chunks of one version, those first that can be had now, so that one chunk that its source waits for does not
// hold up the others.
type collector struct {
	weights Weights
	target  Target
	// place is given each chunk; present tells whether a chunk needs no bringing. Both may be nil.
	place   func(ctx context.Context, chunk int, data []byte) error
	present func(ctx context.Context, chunk int) bool

	mu sync.Mutex
	// pending is in ascending order. Chunks in flight are not in it.
	pending  []int
	inFlight int
	missed   map[int]time.Time
	waiting  map[int]bool
	progress time.Time
	err      error
}

// run brings n chunks and returns the first error.
func (c *collector) run(ctx context.Context, n int) error {
	c.missed, c.waiting, c.progress = map[int]time.Time{}, map[int]bool{}, time.Now()
	for i := range n {
		c.pending = append(c.pending, i)
	}
	var wg sync.WaitGroup
	for range fetchers {
		wg.Add(1)
		go func() { defer wg.Done(); c.work(ctx) }()
	}
	wg.Wait()
	return c.err
}

// work brings chunks until none is missing.
func (c *collector) work(ctx context.Context) {
	for {
		chunk, more := c.next()
		if !more {
			return
		}
		if chunk == nothing {
			pause.For(ctx, idlePause)
			if ctx.Err() != nil {
				c.end(nothing, context.Cause(ctx))
			}
			continue
		}
		err := c.bring(ctx, chunk)
		if err != nil && ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		c.end(chunk, err)
	}
}

// bring brings one chunk. It returns pieces.ErrNotAvailable if nobody has it now.
func (c *collector) bring(ctx context.Context, chunk int) error {
	if c.present != nil && !c.wasMissed(chunk) && c.present(ctx, chunk) {
		return nil
	}
	fetch := c.weights.TryChunk
	if c.mayWait(chunk) {
		fetch = c.wait
	}
	data, err := fetch(ctx, c.target.Model, c.target.Version, chunk)
	if err != nil || c.place == nil {
		return err
	}
	return c.place(ctx, chunk, data)
}

// wait stays for a while with a chunk that is fetched on.
func (c *collector) wait(ctx context.Context, model string, version int64, chunk int) ([]byte, error) {
	slice, cancel := context.WithTimeout(ctx, waitSlice)
	defer cancel()
	data, err := c.weights.Chunk(slice, model, version, chunk)
	if err != nil && slice.Err() != nil && ctx.Err() == nil {
		return nil, errors.Mark(err, pieces.ErrNotAvailable)
	}
	return data, err
}

// mayWait tells whether to wait for a chunk: nothing has come for a while, and not too many others are waited for.
func (c *collector) mayWait(chunk int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.progress) < offeredPatience || !c.waiting[chunk] && len(c.waiting) >= maxWaiting {
		return false
	}
	c.waiting[chunk] = true
	return true
}

func (c *collector) wasMissed(chunk int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.missed[chunk].IsZero()
}

// nothing stands for no chunk.
const nothing = -1

// next takes the first of the missing chunks that may be tried now, or nothing. It returns false when the work is done or has failed.
func (c *collector) next() (chunk int, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || len(c.pending)+c.inFlight == 0 {
		return nothing, false
	}
	for i, candidate := range c.pending[:min(lookAhead, len(c.pending))] {
		if time.Since(c.missed[candidate]) >= askAgain {
			c.pending = slices.Delete(c.pending, i, i+1)
			c.inFlight++
			return candidate, true
		}
	}
	return nothing, true
}

// end records how the work on a chunk has ended. A chunk that nobody had is missing again.
func (c *collector) end(chunk int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if chunk != nothing {
		c.inFlight--
	}
	switch {
	case err == nil:
		delete(c.waiting, chunk)
		c.progress = time.Now()
	case errors.Is(err, pieces.ErrNotAvailable):
		c.missed[chunk] = time.Now()
		at, _ := slices.BinarySearch(c.pending, chunk)
		c.pending = slices.Insert(c.pending, at, chunk)
	case c.err == nil:
		c.err = err
	}
}
