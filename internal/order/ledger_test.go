package order_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// fault selects what a call to the fake store does.
type fault int

const (
	faultNone fault = iota
	faultDown
	faultLostBefore // ambiguous without effect
	faultLostAfter  // ambiguous with effect
	faultLease      // the lease is gone
	faults
)

// fakeStore is an in-memory key-value service with the semantics that the ledger uses.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	revision int64
	kvs      map[string]store.KV
	next     func() fault
	calls    int
	// entered receives when a transaction arrives, which then waits for held, unless they are nil.
	entered, held chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{kvs: map[string]store.KV{}, next: func() fault { return faultNone }}
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.next() {
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
	held := f.held
	f.mu.Unlock()
	if held != nil {
		select {
		case f.entered <- struct{}{}:
		default:
		}
		<-held
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	switch f.next() {
	case faultDown:
		return store.TxnResult{}, store.ErrUnavailable
	case faultLostBefore:
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
		have := kv.ModRevision
		if c.Target == store.CompareCreate {
			have = kv.CreateRevision
		}
		result.Succeeded = result.Succeeded && have == c.Revision
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

func (f *fakeStore) script(list ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = func() fault {
		if len(list) == 0 {
			return faultNone
		}
		head := list[0]
		list = list[1:]
		return head
	}
}

type tester interface {
	Helper()
	Cleanup(func())
}

func start(t tester, s store.Store) *order.Ledger {
	l := order.New(s, order.Config{CommitInterval: time.Millisecond, ClaimTimeout: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

var (
	body  = sha256.Sum256([]byte("body"))
	other = sha256.Sum256([]byte("other"))
	ctx   = context.Background()
)

func verdict(g *WithT, l *order.Ledger, key string) order.Result {
	result, err := l.Begin(ctx, "caller", key, body)
	g.Expect(err).NotTo(HaveOccurred())
	return result
}

// Guards against a second run of a key through the same or another agent.
func TestRepeatedKeyGetsRecordedAnswer(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	first, second := start(t, s), start(t, s)
	run := verdict(g, first, "k")
	g.Expect(run.Verdict).To(Equal(order.Run))
	g.Expect(verdict(g, second, "k").Verdict).To(Equal(order.Unknown))
	first.Finish(run.Claim, &order.Answer{Status: 201, Body: []byte("placed")})
	g.Expect(first.Flush(ctx)).To(Succeed())
	for _, l := range []*order.Ledger{first, second} {
		repeat := verdict(g, l, "k")
		g.Expect(repeat.Verdict).To(Equal(order.Replay))
		g.Expect(string(repeat.Answer.Body)).To(Equal("placed"))
		result, err := l.Begin(ctx, "caller", "k", other)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Verdict).To(Equal(order.Mismatch))
	}
	g.Expect(verdict(g, second, "k2").Verdict).To(Equal(order.Run))
}

// Guards against a repeat that runs, or is refused, while the first order is in progress on the same agent.
func TestRepeatWaitsForOrderInProgress(t *testing.T) {
	g := NewWithT(t)
	l := start(t, newFakeStore())
	run := verdict(g, l, "k")
	ended, cancel := context.WithCancel(ctx)
	cancel()
	result, err := l.Begin(ended, "caller", "k", body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Verdict).To(Equal(order.Unknown))
	repeat := make(chan order.Result, 1)
	go func() { r, _ := l.Begin(ctx, "caller", "k", body); repeat <- r }()
	l.Finish(run.Claim, &order.Answer{Status: 200})
	g.Eventually(repeat).Should(Receive(HaveField("Verdict", order.Replay)))
}

// Guards against losing or doubling a claim when the store's answer is lost, and against refusing keys on one fault.
func TestClaimSurvivesLostAnswers(t *testing.T) {
	for _, f := range []fault{faultLostBefore, faultLostAfter, faultLease} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeStore()
			s.script(faultNone, f)
			l := start(t, s)
			run := verdict(g, l, "k")
			g.Expect(run.Verdict).To(Equal(order.Run))
			s.script(f, faultDown)
			l.Finish(run.Claim, &order.Answer{Status: 200})
			g.Expect(l.Flush(ctx)).To(Succeed())
			g.Expect(verdict(g, start(t, s), "k").Verdict).To(Equal(order.Replay))
		})
	}
}

// Guards against a key that stays blocked although its order was refused as not run.
func TestRefusedClaimIsReleased(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.next = func() fault { return faultLostAfter }
	l := start(t, s)
	_, err := l.Begin(ctx, "caller", "k", body)
	g.Expect(errors.Is(err, order.ErrUnavailable)).To(BeTrue())
	s.script()
	g.Expect(l.Flush(ctx)).To(Succeed())
	second := start(t, s)
	run := verdict(g, second, "k")
	g.Expect(run.Verdict).To(Equal(order.Run))
	second.Release(run.Claim)
	g.Expect(verdict(g, second, "k").Verdict).To(Equal(order.Run))
}

// Guards against a repeat that waits for its whole deadline, and is told unknown, for an order that was not started.
func TestRepeatOfARefusedOrderIsRefusedWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	l := start(t, s)
	l.Release(verdict(g, l, "lease").Claim) // The ledger has its lease.
	g.Expect(l.Flush(ctx)).To(Succeed())
	s.mu.Lock()
	s.next = func() fault { return faultLostBefore }
	s.mu.Unlock()
	for range 2 {
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		_, err := l.Begin(bounded, "caller", "k", body)
		g.Expect(errors.Is(err, order.ErrUnavailable)).To(BeTrue())
		g.Expect(bounded.Err()).NotTo(HaveOccurred())
		cancel()
	}
}

// Guards against one call per order, which the store's limits do not allow.
func TestClaimsAreCommittedInGroups(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.entered, s.held = make(chan struct{}, 1), make(chan struct{})
	l := start(t, s)
	var release sync.Once
	open := func() { release.Do(func() { close(s.held) }) }
	t.Cleanup(open)
	var wg sync.WaitGroup
	for i := range 60 {
		if i == 1 {
			<-s.entered // The first claim is in a group of its own; the others arrive while it is being written.
		}
		wg.Add(1)
		go func() { defer wg.Done(); _, _ = l.Begin(ctx, "caller", fmt.Sprint(i), body) }()
	}
	g.Eventually(l.Waiting).Should(Equal(59))
	open()
	wg.Wait()
	g.Expect(s.calls).To(Equal(2))
}

// Guards against a partial recorded answer being given as complete.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	g := NewWithT(t)
	l := start(t, newFakeStore())
	l.Finish(verdict(g, l, "k").Claim, &order.Answer{Status: 200, Body: make([]byte, order.MaxAnswerBytes+1)})
	repeat := verdict(g, l, "k")
	g.Expect(repeat.Verdict).To(Equal(order.Unknown))
	g.Expect(repeat.Final).To(BeTrue())
}

// Guards against two runs of one key under any mix of store faults, concurrent repeats, releases and two agents.
func TestNeverTwoRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		script := rapid.SliceOfN(rapid.IntRange(0, int(faults)-1), 0, 30).Draw(t, "faults")
		list := make([]fault, len(script))
		for i, f := range script {
			list[i] = fault(f)
		}
		s.script(list...)
		ledgers := []*order.Ledger{start(t, s), start(t, s)}
		ends := rapid.SliceOfN(rapid.IntRange(0, 2), 4, 16).Draw(t, "ends")
		var mu sync.Mutex
		ran := map[string]int{}
		var wg sync.WaitGroup
		for i, end := range ends {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key, l := fmt.Sprint(i%3), ledgers[i/3%2]
				result, err := l.Begin(ctx, "caller", key, body)
				if err != nil || result.Verdict != order.Run {
					return
				}
				if end == 0 {
					l.Release(result.Claim)
					return
				}
				mu.Lock()
				ran[key]++
				mu.Unlock()
				if end == 1 {
					l.Finish(result.Claim, nil)
				} else {
					l.Finish(result.Claim, &order.Answer{Status: 200})
				}
			}()
		}
		wg.Wait()
		for key, n := range ran {
			if n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
	})
}
