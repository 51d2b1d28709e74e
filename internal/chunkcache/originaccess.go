package chunkcache

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/pimentohead/pimentohead/internal/pause"
)

// Errors of reads of the origin.
var (
	// ErrOriginUnreachable means that the origin sent no complete response: it is down, cannot be reached, or has refused the connection because
	// of its limit.
	ErrOriginUnreachable = errors.New("chunkcache: origin unreachable")
	// ErrNotReader means that this node leaves the origin to other nodes at present, see Peers.MayReadOrigin.
	ErrNotReader = errors.New("chunkcache: the origin is read by other nodes")
)

const (
	// connsPerRead is the number of connections that the origin has to accept for each read that one entry makes at a time. The hubs of two
	// data centres then use half of them. The other half is left for connections whose ends were lost with the power of an instance.
	connsPerRead = 16
	// maxOriginReads bounds the concurrent reads of an entry. Four saturate the link of the origin.
	maxOriginReads = 4
	// minOriginPause and maxOriginPause bound the pause after a read without a response. It doubles with each.
	minOriginPause = 100 * time.Millisecond
	maxOriginPause = time.Second
	// readUnits is the capacity that concurrent reads of the origin share, a multiple of every number of reads that is allowed.
	readUnits = 12
)

// originAccess limits the reads of the origin by this entry: their number, and how soon one follows another that had no response.
type originAccess struct {
	places *semaphore.Weighted

	mu sync.Mutex
	// pause is the last pause, 0 after a response; pausedUntil is when it ends.
	pause       time.Duration
	pausedUntil time.Time
}

func newOriginAccess() *originAccess { return &originAccess{places: semaphore.NewWeighted(readUnits)} }

// allowedReads returns the number of concurrent reads of an origin that accepts maxConns connections, 0 meaning unknown.
func allowedReads(maxConns int) int64 {
	if maxConns <= 0 {
		return maxOriginReads
	}
	return int64(min(max(maxConns/connsPerRead, 1), maxOriginReads))
}

// do calls read as soon as the limits allow it. It returns the error of read, or that of ctx if it ends first.
func (a *originAccess) do(ctx context.Context, maxConns int, read func() error) error {
	units := readUnits / allowedReads(maxConns)
	if err := a.places.Acquire(ctx, units); err != nil {
		return errors.Wrap(err, "chunkcache: wait for other reads of the origin")
	}
	defer a.places.Release(units)
	a.mu.Lock()
	remaining := time.Until(a.pausedUntil)
	a.mu.Unlock()
	pause.For(ctx, remaining)
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "chunkcache: wait after a read of the origin without a response")
	}
	err := read()
	if ctx.Err() == nil {
		a.recordResult(err)
	}
	return err
}

// recordResult starts a pause after a read without a response, and ends it after one with a response.
func (a *originAccess) recordResult(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch now := time.Now(); {
	case !errors.Is(err, ErrOriginUnreachable):
		a.pause, a.pausedUntil = 0, time.Time{}
	case now.After(a.pausedUntil): // Reads that fail at the same time count once.
		a.pause = min(max(2*a.pause, minOriginPause), maxOriginPause)
		a.pausedUntil = now.Add(a.pause/2 + rand.N(a.pause/2))
	}
}
