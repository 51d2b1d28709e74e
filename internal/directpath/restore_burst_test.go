package directpath

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Sizes of the modelled deployment, and the limits and the latency of its store.
const (
	burstEntries     = 830
	burstDataCentres = 6
	burstLocalLinks  = 12
	// upstreamPages is the number of pages of a listing of 5,000 upstreams.
	upstreamPages    = 10
	burstReadsPerS   = 2000
	burstWritesPerS  = 400
	burstCallLatency = 4 * time.Millisecond
)

// callCounter counts calls and refuses those beyond a limit in any second.
type callCounter struct {
	limit int
	// accepted holds the times of the accepted calls of the last second, all those of all calls.
	accepted, all []time.Time
	refused       int
}

// count records a call and reports whether it is within the limit.
func (c *callCounter) count() bool {
	now := time.Now()
	c.all = append(c.all, now)
	for len(c.accepted) > 0 && now.Sub(c.accepted[0]) >= time.Second {
		c.accepted = c.accepted[1:]
	}
	if len(c.accepted) >= c.limit {
		c.refused++
		return false
	}
	c.accepted = append(c.accepted, now)
	return true
}

// peak returns the largest number of calls in a second since a time.
func (c *callCounter) peak(since time.Time) (most int) {
	calls := slices.DeleteFunc(slices.Clone(c.all), func(at time.Time) bool { return at.Before(since) })
	first := 0
	for i, at := range calls {
		for at.Sub(calls[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// countedStore models the store for all entries. It counts their calls and limits their rate.
type countedStore struct {
	mu            sync.Mutex
	era, lastID   int64
	down          bool
	reads, writes callCounter
	// announcedAt is the time of the last announcement in each era.
	announcedAt map[int64]time.Time
	// revision is that of the last write, keys maps each announced key to its revision.
	revision int64
	keys     map[string]int64
}

// setDown makes the store go away, or come back in the next era from a copy that has no announcement, which conflicts with what all entries
// know of it.
func (s *countedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		s.era++
		s.keys = map[string]int64{}
	}
}

// readPeak returns the largest number of read calls in a second since a time.
func (s *countedStore) readPeak(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.peak(since)
}

// call waits for the latency of the store and returns its era, or an error if it is away or the call exceeds a limit.
func (s *countedStore) call(counter *callCounter) (int64, error) {
	time.Sleep(burstCallLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errors.WithStack(store.ErrUnavailable)
	}
	if !counter.count() {
		return s.era, errors.WithStack(store.ErrUnavailable)
	}
	return s.era, nil
}

// countedClient is the client of one entry.
type countedClient struct {
	store.Store
	server *countedStore
	mu     sync.Mutex
	era    int64
}

func (c *countedClient) Calls() uint64 { return 0 }

func (c *countedClient) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

func (c *countedClient) call(counter *callCounter) (int64, error) {
	era, err := c.server.call(counter)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = max(c.era, era)
	return era, err
}

func (c *countedClient) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	if _, err := c.call(&c.server.writes); err != nil {
		return 0, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.lastID++
	return store.LeaseID(c.server.lastID), nil
}

func (c *countedClient) Get(_ context.Context, key string) (store.KV, error) {
	era, err := c.call(&c.server.reads)
	if err != nil {
		return store.KV{}, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.keys[key] == 0 {
		return store.KV{}, errors.Wrap(store.ErrNotFound, key)
	}
	return store.KV{Key: key, ModRevision: c.server.keys[key], Era: era}, nil
}

func (c *countedClient) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	era, err := c.call(&c.server.writes)
	if err != nil {
		return store.TxnResult{}, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	for _, condition := range txn.If {
		if c.server.keys[condition.Key] != condition.Revision {
			return store.TxnResult{}, nil
		}
	}
	c.server.revision++
	for _, op := range txn.Then {
		if op.Put != nil {
			c.server.keys[op.Put.Key] = c.server.revision
			c.server.announcedAt[era] = time.Now()
		} else {
			delete(c.server.keys, op.Delete.Key)
		}
	}
	return store.TxnResult{Succeeded: true, Revision: c.server.revision}, nil
}

func (c *countedClient) List(_ context.Context, prefix string) (store.Listing, error) {
	pages := 1
	if prefix == "servers/" {
		pages = upstreamPages
	}
	var era int64
	for range pages {
		var err error
		if era, err = c.call(&c.server.reads); err != nil {
			return store.Listing{}, err
		}
	}
	return store.Listing{Cursor: store.Cursor{Era: era, Revision: 5}, KVs: []store.KV{{Key: prefix + "a", ModRevision: 4, Era: era}}}, nil
}

func (c *countedClient) Poll(ctx context.Context, _ string, after store.Cursor, wait time.Duration) ([]store.Event, store.Cursor, error) {
	for until := time.Now().Add(wait); ; time.Sleep(min(50*time.Millisecond, time.Until(until))) {
		c.server.mu.Lock()
		changed := c.server.down || c.server.era != after.Era
		c.server.mu.Unlock()
		if changed || ctx.Err() != nil || !time.Now().Before(until) {
			break
		}
	}
	era, err := c.call(&c.server.reads)
	if err == nil && era != after.Era {
		err = errors.WithStack(store.ErrRestored)
	}
	return nil, after, err
}

// burstDecoder decodes the documents of countedStore: one configuration and one upstream.
type burstDecoder struct{}

func (burstDecoder) Prefixes() []catalogsync.Prefix {
	return []catalogsync.Prefix{{Name: "op/"}, {Name: "servers/", HoldsUpstreams: true}}
}

func (burstDecoder) Decode(key string, _ []byte, _ bool) (catalogsync.Document, error) {
	if key == "op/a" {
		return catalogsync.Document{Config: &catalog.Config{Version: 1}}, nil
	}
	return catalogsync.Document{UpstreamID: "a", Upstream: &catalog.Upstream{ID: "a", State: catalog.Ready, Sequence: 1}}, nil
}

// burstEntry models an entry: it watches the store, announces itself, and exchanges the staleness and the era with linked entries of its data
// centre as package mesh does.
type burstEntry struct {
	id     string
	state  *fleet.State
	client *countedClient
	links  []*burstEntry
}

func (*burstEntry) AddMembers([]message.Member) {}

func (e *burstEntry) LinkedEntryCount() int { return len(e.links) }

func (*burstEntry) EntryCount() int { return burstEntries }

// shouldWatch is the rule of mesh.Mesh.ShouldWatchStore.
func (e *burstEntry) shouldWatch() bool {
	const takeoverAge = 1200 * time.Millisecond
	rank := func(id string) uint64 { return xxhash.Sum64String("watch/" + id) }
	if !slices.ContainsFunc(e.links, func(other *burstEntry) bool { return rank(other.id) > rank(e.id) }) {
		return true
	}
	age, known := e.state.Staleness()
	return !known || age > takeoverAge+time.Duration(xxhash.Sum64String(e.id)%300)*time.Millisecond
}

// shareStaleness tells the linked entries the staleness and the era until ctx ends.
func (e *burstEntry) shareStaleness(ctx context.Context) {
	for ; ctx.Err() == nil; pause.For(ctx, 300*time.Millisecond) {
		age, known := e.state.Staleness()
		if !known {
			continue
		}
		for _, other := range e.links {
			other.state.ObserveEra(e.state.Era())
			other.state.MarkUpToDate(time.Now().Add(-age))
		}
	}
}

// run starts the loops of the entry, which end with ctx.
func (e *burstEntry) run(ctx context.Context, wg *sync.WaitGroup) {
	r := &registry{store: e.client, lister: e.client, state: e.state, mesh: e, log: logr.Discard(),
		self: message.Hello{NodeID: e.id, Role: message.RoleEntry}}
	syncer := catalogsync.New(e.client, burstDecoder{}, e.state, logr.Discard(), e.shouldWatch, 0)
	for _, loop := range []func(context.Context){r.announce, syncer.Run, e.shareStaleness} {
		wg.Go(func() { loop(ctx) })
	}
}

// newBurstEntries returns the entries of all data centres, with random links inside each.
func newBurstEntries(server *countedStore, rng *rand.Rand) []*burstEntry {
	var entries []*burstEntry
	for i := range burstEntries {
		entries = append(entries, &burstEntry{id: fmt.Sprintf("entry-%d", i), state: fleet.NewState(nil), client: &countedClient{server: server}})
	}
	for i, e := range entries {
		for len(e.links) < burstLocalLinks {
			other := entries[(rng.IntN(burstEntries)/burstDataCentres*burstDataCentres+i%burstDataCentres)%burstEntries]
			if other != e && !slices.Contains(e.links, other) {
				e.links, other.links = append(e.links, other), append(other.links, e)
			}
		}
	}
	return entries
}

// timeUntilKnown waits until all entries know an era of the store and are up to date, and returns how long that took.
func timeUntilKnown(entries []*burstEntry, era int64) time.Duration {
	started := time.Now()
	for slices.ContainsFunc(entries, func(e *burstEntry) bool {
		age, _ := e.state.Staleness()
		return e.state.Era() < era || age > 2*time.Second
	}) && time.Since(started) < time.Minute {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// Guards against entries of a large deployment that overload the store with listings and announcements when it comes back from a copy.
func TestBurstOfCallsAfterARestore(t *testing.T) {
	for _, away := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rng := rand.New(rand.NewPCG(1, 1))
				server := &countedStore{era: 1, reads: callCounter{limit: burstReadsPerS}, writes: callCounter{limit: burstWritesPerS},
					announcedAt: map[int64]time.Time{}, keys: map[string]int64{}}
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				entries := newBurstEntries(server, rng)
				for _, e := range entries {
					e.run(ctx, &wg)
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				startOfUsual := time.Now()
				time.Sleep(5 * time.Second)
				usual := server.readPeak(startOfUsual)
				server.setDown(true)
				time.Sleep(away)
				back := time.Now()
				server.setDown(false)
				knownAfter := timeUntilKnown(entries, 2)
				time.Sleep(20 * time.Second)
				defer wg.Wait()
				defer cancel() // The entries remove their announcements, all at once.
				server.mu.Lock()
				defer server.mu.Unlock()
				announcedAfter := server.announcedAt[2].Sub(back)
				t.Logf("reads: at most %d a second before, %d after, %d refused; writes: at most %d a second, %d refused; all entries have read "+
					"the era or heard of it after %v, the last one has announced itself again after %v", usual, server.reads.peak(back),
					server.reads.refused, server.writes.peak(back), server.writes.refused, knownAfter, announcedAfter.Round(100*time.Millisecond))
				g.Expect(server.writes.refused).To(BeZero())
				g.Expect(server.reads.refused).To(BeNumerically("<", burstReadsPerS/2))
				g.Expect(knownAfter).To(BeNumerically("<", 2*time.Second))
				g.Expect(announcedAfter).To(BeNumerically("<", 20*time.Second))
				g.Expect(server.keys).To(HaveLen(burstEntries))
			})
		})
	}
}
