package chunkcache_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/chunkcache"
)

// busyOrigin takes 50 ms for each read of a chunk and counts the reads in progress. While it is unreachable, it counts the attempts.
type busyOrigin struct {
	fakeOrigin
	mu                    sync.Mutex
	inProgress, most      int
	unreachable           bool
	attemptsInUnreachable int
}

func (o *busyOrigin) Chunk(ctx context.Context, at catalog.Origin, model string, version int64, chunk int) ([]byte, error) {
	o.mu.Lock()
	o.inProgress++
	o.most = max(o.most, o.inProgress)
	unreachable := o.unreachable
	if unreachable {
		o.attemptsInUnreachable++
	}
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.inProgress--
		o.mu.Unlock()
	}()
	if unreachable {
		return nil, errors.Mark(errors.New("connection reset"), chunkcache.ErrOriginUnreachable)
	}
	time.Sleep(50 * time.Millisecond)
	return o.fakeOrigin.Chunk(ctx, at, model, version, chunk)
}

// makeReachable ends the time in which the origin is unreachable, and returns the number of attempts in it.
func (o *busyOrigin) makeReachable() (attempts int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreachable = false
	return o.attemptsInUnreachable
}

// Guards against entries that together open more connections to the origin than it accepts.
func TestConcurrentReadsOfTheOriginAreLimited(t *testing.T) {
	for _, c := range []struct{ maxConns, want int }{{0, 4}, {4, 1}, {48, 3}, {1000, 4}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			o := &busyOrigin{}
			cache := chunkcache.New(func() *catalog.Origin { return &catalog.Origin{MaxConns: c.maxConns} }, o, &fakePeers{}, logr.Discard())
			var wg sync.WaitGroup
			for version := int64(1); version <= 2; version++ {
				for chunk := range 4 {
					wg.Go(func() {
						_, err := cache.Chunk(testContext(t), "m", version, chunk)
						g.Expect(err).NotTo(HaveOccurred())
					})
				}
			}
			wg.Wait()
			g.Expect(o.most).To(Equal(c.want), "limit of the origin: %d", c.maxConns)
		})
	}
}

// Guards against an origin that cannot recover because all entries try again at once, and against one that is noticed late when it is back.
func TestReadsPauseWhileTheOriginIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &busyOrigin{unreachable: true}
		cache := chunkcache.New(testOrigin, o, &fakePeers{}, logr.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for chunk := range 4 {
			wg.Go(func() {
				_, err := cache.Chunk(ctx, "m", 2, chunk)
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		time.Sleep(20 * time.Second)
		g.Expect(o.makeReachable()).To(BeNumerically("<=", 4*45), "each of the four reads at most every 0.5 s")
		back := time.Now()
		wg.Wait()
		g.Expect(time.Since(back)).To(BeNumerically("<", 1500*time.Millisecond))
	})
}

// Guards against a node that reads the origin although it leaves that to others, and against one that forgets how long it has waited for them.
func TestOriginIsReadOnceTheNodeMay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &busyOrigin{}
		cache := chunkcache.New(testOrigin, o, &fakePeers{readsFrom: 2 * time.Second}, logr.Discard())
		started := time.Now()
		_, err := cache.Chunk(testContext(t), "m", 2, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(started)).To(BeNumerically("~", 2100*time.Millisecond, 300*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = cache.Chunk(ctx, "m", 2, 2)
		g.Expect(errors.Is(err, chunkcache.ErrNotReader)).To(BeTrue(), "%v", err)
		time.Sleep(10 * time.Second) // Nobody needs the chunk meanwhile, so that the time does not count.
		again, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = cache.Chunk(again, "m", 2, 2)
		g.Expect(errors.Is(err, chunkcache.ErrNotReader)).To(BeTrue(), "%v", err)
	})
}
