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

// narrowOrigin sends one chunk at a time, each in 50 ms. It is unreachable before returnsAt, except for the first three chunks of version 2.
// gone lists the versions whose chunks it does not have any more.
type narrowOrigin struct {
	fakeOrigin
	// link holds a value while a chunk is sent. A mutex would keep the clock of the test from advancing.
	link      chan struct{}
	returnsAt time.Time
	gone      map[int64]bool
	// early counts the reads of version 3 from the return of the origin until version 2 is complete.
	early    int
	complete bool
}

func (o *narrowOrigin) Chunk(ctx context.Context, at catalog.Origin, model string, version int64, chunk int) ([]byte, error) {
	if time.Now().Before(o.returnsAt) && (version != 2 || chunk == 3) {
		return nil, errors.Mark(errors.New("connection refused"), chunkcache.ErrOriginUnreachable)
	}
	if version == 3 && !o.complete {
		o.early++
	}
	if o.gone[version] && chunk == 3 {
		return nil, errors.New("version is gone")
	}
	o.link <- struct{}{}
	defer func() { <-o.link }()
	time.Sleep(50 * time.Millisecond)
	o.complete = o.complete || version == 2 && chunk == 3
	return o.fakeOrigin.Chunk(ctx, at, model, version, chunk)
}

// readBoth reads versions 2 and 3. It returns the origin, and how long after its return version 3 is complete.
func readBoth(t *testing.T, gone map[int64]bool) (o *narrowOrigin, took time.Duration) {
	o = &narrowOrigin{link: make(chan struct{}, 1), returnsAt: time.Now().Add(3 * time.Second), gone: gone}
	cache := chunkcache.New(testOrigin, o, &fakePeers{}, logr.Discard())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	read := func(version int64) *sync.WaitGroup {
		chunks := &sync.WaitGroup{}
		for chunk := range 4 {
			chunks.Go(func() { _, _ = cache.Chunk(ctx, "m", version, chunk) })
		}
		return chunks
	}
	older := read(2)
	time.Sleep(time.Second)
	read(3).Wait()
	took = time.Since(o.returnsAt)
	cancel()
	older.Wait()
	return o, took
}

// Guards against upstreams without a version that they may use for as long as the newest one is read, although most of the one before it is held:
// after an outage of the origin, the older version has to be completed first.
func TestOlderVersionIsCompletedFirstAfterAnOutageOfTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o, took := readBoth(t, nil)
		g.Expect(o.complete).To(BeTrue())
		g.Expect(o.early).To(BeZero())
		g.Expect(took).To(BeNumerically("<", 2*time.Second), "a pause of the origin's readers, and five chunks")
	})
}

// Guards against a newest version that waits for an older one which the origin does not have any more.
func TestNewerVersionDoesNotWaitForOneThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, took := readBoth(t, map[int64]bool{2: true})
		g.Expect(took).To(BeNumerically("<", 3*time.Second))
	})
}
