package order_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// fault is the fault that a call to the fake store simulates.
type fault int

const (
	faultNone       fault = iota
	faultDown             // the call fails without effect
	faultLostBefore       // the outcome is unknown; there was no effect
	faultLostAfter        // the outcome is unknown; the call took effect
	faultLease            // the lease does not exist any more
	faultCount
	faultLate = faultCount // the outcome is unknown; the call takes effect with carryOut, if its conditions still hold
)

// fakeStore is an in-memory store that implements the calls and semantics that the ledger uses.
type fakeStore struct {
	store.Store
	mu        sync.Mutex
	revision  int64
	kvs       map[string]store.KV
	nextFault func() fault
	calls     int
	// late holds the transactions with faultLate.
	late []store.Txn
	// restorations counts the calls of restore.
	restorations uint64
	// When unblock is not nil, a transaction notifies entered when it arrives and then waits until unblock is closed.
	entered, unblock chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{kvs: map[string]store.KV{}, nextFault: func() fault { return faultNone }}
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.nextFault() {
	case faultNone:
		return 1, nil
	case faultDown:
		return 0, store.ErrUnavailable
	default:
		return 0, store.ErrAmbiguous
	}
}

func (f *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	f.mu.Lock()
	unblock := f.unblock
	f.mu.Unlock()
	if unblock != nil {
		select {
		case f.entered <- struct{}{}:
		default:
		}
		<-unblock
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	switch f.nextFault() {
	case faultDown:
		return store.TxnResult{}, store.ErrUnavailable
	case faultLostBefore:
		return store.TxnResult{}, store.ErrAmbiguous
	case faultLate:
		f.late = append(f.late, txn)
		return store.TxnResult{}, store.ErrAmbiguous
	case faultLease:
		return store.TxnResult{}, store.ErrLeaseNotFound
	case faultLostAfter:
		f.revision++
		f.apply(txn)
		return store.TxnResult{}, store.ErrAmbiguous
	default:
		f.revision++
		return f.apply(txn), nil
	}
}

func (f *fakeStore) apply(txn store.Txn) store.TxnResult {
	result := store.TxnResult{Succeeded: true, Revision: f.revision}
	for _, c := range txn.If {
		kv := f.kvs[c.Key]
		actual := kv.ModRevision
		if c.Target == store.CompareCreate {
			actual = kv.CreateRevision
		}
		result.Succeeded = result.Succeeded && actual == c.Revision
	}
	ops := txn.Then
	if !result.Succeeded {
		ops = txn.Else
	}
	for _, op := range ops {
		var r store.OpResult
		switch {
		case op.Put != nil:
			kv := store.KV{Key: op.Put.Key, Value: op.Put.Value, ModRevision: f.revision, CreateRevision: f.revision}
			if old, ok := f.kvs[op.Put.Key]; ok {
				kv.CreateRevision = old.CreateRevision
			}
			f.kvs[op.Put.Key] = kv
		case op.Get != nil:
			if kv, ok := f.kvs[op.Get.Key]; ok {
				r.KVs = append(r.KVs, kv)
			}
		case op.Delete != nil:
			delete(f.kvs, op.Delete.Key)
		case op.Txn != nil:
			nested := f.apply(*op.Txn)
			r.Txn = &nested
		}
		result.Results = append(result.Results, r)
	}
	return result
}

// storeCopy is the content of a fakeStore at one time.
type storeCopy struct {
	revision int64
	kvs      map[string]store.KV
}

// copy returns a copy of the content, for restore.
func (f *fakeStore) copy() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{f.revision, maps.Clone(f.kvs)}
}

// restore replaces the content by an earlier copy, so that revisions are given out again.
func (f *fakeStore) restore(c storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.kvs = c.revision, maps.Clone(c.kvs)
	f.restorations++
}

// Restorations implements store.RestorationCounter.
func (f *fakeStore) Restorations() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restorations
}

func (f *fakeStore) Get(_ context.Context, key string) (store.KV, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kv, ok := f.kvs[key]
	if !ok {
		return store.KV{}, store.ErrNotFound
	}
	return kv, nil
}

// setFaults makes the next calls simulate the given faults, one each, and later calls none.
func (f *fakeStore) setFaults(remaining ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextFault = func() fault {
		if len(remaining) == 0 {
			return faultNone
		}
		next := remaining[0]
		remaining = remaining[1:]
		return next
	}
}

// testingT has the methods of *testing.T and *rapid.T that startLedger uses.
type testingT interface {
	Helper()
	Cleanup(func())
}

// startLedger runs a ledger until the test ends.
func startLedger(t testingT, s store.Store) *order.Ledger {
	l := order.New(s, order.Config{CommitInterval: time.Millisecond, ClaimTimeout: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

var (
	bodyDigest  = sha256.Sum256([]byte("body"))
	otherDigest = sha256.Sum256([]byte("other"))
	ctx         = context.Background()
)

// begin starts an order with the test's request body.
func begin(g *WithT, l *order.Ledger, key string) order.Result {
	result, err := l.Begin(ctx, "caller", key, bodyDigest)
	g.Expect(err).NotTo(HaveOccurred())
	return result
}

// Guards against an order that runs twice when its key is repeated on the same or another ledger.
func TestRepeatedKeyGetsRecordedResponse(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	first, second := startLedger(t, s), startLedger(t, s)
	run := begin(g, first, "k")
	g.Expect(run.Verdict).To(Equal(order.Run))
	g.Expect(begin(g, second, "k").Verdict).To(Equal(order.Unknown))
	first.Finish(run.Claim, &order.Response{Status: 201, Body: []byte("placed")})
	g.Expect(first.Flush(ctx)).To(Succeed())
	for _, l := range []*order.Ledger{first, second} {
		repeat := begin(g, l, "k")
		g.Expect(repeat.Verdict).To(Equal(order.Replay))
		g.Expect(string(repeat.Response.Body)).To(Equal("placed"))
		result, err := l.Begin(ctx, "caller", "k", otherDigest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Verdict).To(Equal(order.Mismatch))
	}
	g.Expect(begin(g, second, "k2").Verdict).To(Equal(order.Run))
}

// Guards against a repeat that runs, or is refused, while the first order is in progress on the same ledger.
func TestRepeatWaitsForOrderInProgress(t *testing.T) {
	g := NewWithT(t)
	l := startLedger(t, newFakeStore())
	run := begin(g, l, "k")
	expired, cancel := context.WithCancel(ctx)
	cancel()
	result, err := l.Begin(expired, "caller", "k", bodyDigest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Verdict).To(Equal(order.Unknown))
	repeat := make(chan order.Result, 1)
	go func() { r, _ := l.Begin(ctx, "caller", "k", bodyDigest); repeat <- r }()
	l.Finish(run.Claim, &order.Response{Status: 200})
	g.Eventually(repeat).Should(Receive(HaveField("Verdict", order.Replay)))
}

// Guards against a claim or a recorded response that is lost or duplicated when the store's reply is lost, and against refusing
// a key after a single fault. Time is virtual, so that no pause of the process exceeds the ledger's ClaimTimeout, after which a claim
// is refused instead of retried.
func TestClaimSurvivesLostStoreReplies(t *testing.T) {
	for _, f := range []fault{faultLostBefore, faultLostAfter, faultLease} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newFakeStore()
				s.setFaults(faultNone, f)
				l := startLedger(t, s)
				run := begin(g, l, "k")
				g.Expect(run.Verdict).To(Equal(order.Run))
				s.setFaults(f, faultDown)
				l.Finish(run.Claim, &order.Response{Status: 200})
				g.Expect(l.Flush(ctx)).To(Succeed())
				g.Expect(begin(g, startLedger(t, s), "k").Verdict).To(Equal(order.Replay))
			})
		})
	}
}

// Guards against a key that stays claimed after its order was refused: the claim took effect although the store reported an
// unknown outcome.
func TestRefusedClaimIsReleased(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.nextFault = func() fault { return faultLostAfter }
	l := startLedger(t, s)
	_, err := l.Begin(ctx, "caller", "k", bodyDigest)
	g.Expect(errors.Is(err, order.ErrUnavailable)).To(BeTrue())
	s.setFaults()
	g.Expect(l.Flush(ctx)).To(Succeed())
	second := startLedger(t, s)
	run := begin(g, second, "k")
	g.Expect(run.Verdict).To(Equal(order.Run))
	second.Release(run.Claim)
	g.Expect(begin(g, second, "k").Verdict).To(Equal(order.Run))
}

// Guards against a repeat that waits until its deadline and gets Unknown for an order that was not started: while the store is
// down, the refused claim cannot be released.
func TestRepeatOfRefusedOrderIsRefusedWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	l := startLedger(t, s)
	l.Release(begin(g, l, "lease").Claim) // Makes the ledger obtain its store lease.
	g.Expect(l.Flush(ctx)).To(Succeed())
	s.mu.Lock()
	s.nextFault = func() fault { return faultLostBefore }
	s.mu.Unlock()
	for range 2 {
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		_, err := l.Begin(bounded, "caller", "k", bodyDigest)
		g.Expect(errors.Is(err, order.ErrUnavailable)).To(BeTrue())
		g.Expect(bounded.Err()).NotTo(HaveOccurred())
		cancel()
	}
}

// Guards against one store call per order, which would exceed the store's call limit.
func TestClaimsAreCommittedInGroups(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.entered, s.unblock = make(chan struct{}, 1), make(chan struct{})
	l := startLedger(t, s)
	var unblockOnce sync.Once
	unblock := func() { unblockOnce.Do(func() { close(s.unblock) }) }
	t.Cleanup(unblock)
	var wg sync.WaitGroup
	for i := range 60 {
		if i == 1 {
			<-s.entered // The first claim forms a group of its own; the others arrive while it is being written.
		}
		wg.Add(1)
		go func() { defer wg.Done(); _, _ = l.Begin(ctx, "caller", fmt.Sprint(i), bodyDigest) }()
	}
	g.Eventually(l.PendingClaims).Should(Equal(59))
	unblock()
	wg.Wait()
	g.Expect(s.calls).To(Equal(2))
}

// Guards against replaying a truncated response as if it were complete.
func TestTooLargeResponseIsNotReplayed(t *testing.T) {
	g := NewWithT(t)
	l := startLedger(t, newFakeStore())
	l.Finish(begin(g, l, "k").Claim, &order.Response{Status: 200, Body: make([]byte, order.MaxResponseBytes+1)})
	repeat := begin(g, l, "k")
	g.Expect(repeat.Verdict).To(Equal(order.Unknown))
	g.Expect(repeat.Final).To(BeTrue())
}

// Guards against two runs of one key under any combination of store faults, concurrent repeats, releases and two ledgers.
func TestKeyNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		drawn := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 30).Draw(t, "faults")
		faults := make([]fault, len(drawn))
		for i, f := range drawn {
			faults[i] = fault(f)
		}
		s.setFaults(faults...)
		ledgers := []*order.Ledger{startLedger(t, s), startLedger(t, s)}
		endings := rapid.SliceOfN(rapid.IntRange(0, 2), 4, 16).Draw(t, "ends")
		var mu sync.Mutex
		runs := map[string]int{}
		var wg sync.WaitGroup
		for i, ending := range endings {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key, l := fmt.Sprint(i%3), ledgers[i/3%2]
				result, err := l.Begin(ctx, "caller", key, bodyDigest)
				if err != nil || result.Verdict != order.Run {
					return
				}
				if ending == 0 {
					l.Release(result.Claim)
					return
				}
				mu.Lock()
				runs[key]++
				mu.Unlock()
				if ending == 1 {
					l.Finish(result.Claim, nil)
				} else {
					l.Finish(result.Claim, &order.Response{Status: 200})
				}
			}()
		}
		wg.Wait()
		for key, n := range runs {
			if n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
	})
}
