package order_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/order"
)

// carryOut carries out the transactions with faultLate.
func (f *fakeStore) carryOut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, txn := range f.late {
		f.revision++
		f.apply(txn)
	}
	f.late = nil
}

// records returns the number of keys in the store.
func (f *fakeStore) records() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.kvs)
}

// setFaultsThenAlways makes the next calls simulate the given faults, one each, and all later calls the last one.
func (f *fakeStore) setFaultsThenAlways(remaining ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextFault = func() fault {
		next := remaining[0]
		if len(remaining) > 1 {
			remaining = remaining[1:]
		}
		return next
	}
}

// Guards against an order that runs twice: a repeat takes over a claim whose release got no answer and runs, the release is carried out, and
// a repeat on another ledger claims the key again.
func TestRepeatDoesNotTakeOverAClaimWhoseReleaseMayBeCarriedOut(t *testing.T) {
	for name, release := range map[string]fault{"late": faultLate, "without an answer": faultLostAfter} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newFakeStore()
				first, second := startLedger(t, s), startLedger(t, s)
				run := begin(g, first, "k")
				g.Expect(run.Verdict).To(Equal(order.Run))
				s.setFaultsThenAlways(release, faultDown)
				first.Release(run.Claim)
				time.Sleep(100 * time.Millisecond)

				runs := 0
				if repeat, err := first.Begin(ctx, "caller", "k", bodyDigest); err == nil && repeat.Verdict == order.Run {
					runs++
				}
				s.carryOut()
				s.setFaults()
				if begin(g, second, "k").Verdict == order.Run {
					runs++
				}
				g.Expect(runs).To(Equal(1))
			})
		})
	}
}

// Guards against a repeat that is not answered, runs twice or loses its record because the ledger releases the late claim of an earlier order
// with the key meanwhile.
func TestLateClaimIsReleasedBesideRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFakeStore()
		l := startLedger(t, s)
		l.Release(begin(g, l, "lease").Claim)
		s.setFaults(faultLate)
		l.Release(begin(g, l, "k").Claim)
		g.Expect(l.Flush(ctx)).To(Succeed())
		s.carryOut()
		g.Expect(begin(g, l, "k").Verdict).To(Equal(order.Unknown), "the late claim holds the key")
		runs := 0
		for range 15 {
			time.Sleep(time.Second)
			if repeat := begin(g, l, "k"); repeat.Verdict == order.Run {
				runs++
				time.Sleep(3 * time.Second)
				l.Finish(repeat.Claim, &order.Response{Status: 201})
			}
		}
		g.Expect(runs).To(Equal(1))
		g.Expect(begin(g, startLedger(t, s), "k").Verdict).To(Equal(order.Replay))
	})
}

// Guards against a key that stays claimed until the end of its lease although its order was refused or released: the store carries out the
// claim after the ledger has released it.
func TestClaimThatIsCarriedOutAfterItsReleaseIsReleasedAgain(t *testing.T) {
	for _, granted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeStore()
			l := startLedger(t, s)
			l.Release(begin(g, l, "lease").Claim) // Makes the ledger obtain its store lease.
			g.Expect(l.Flush(ctx)).To(Succeed())
			if granted {
				s.setFaults(faultLate)
				l.Release(begin(g, l, "k").Claim)
			} else {
				s.setFaultsThenAlways(faultLate, faultLostBefore)
				_, err := l.Begin(ctx, "caller", "k", bodyDigest)
				g.Expect(errors.Is(err, order.ErrUnavailable)).To(BeTrue(), "%v", err)
				s.setFaults()
			}
			g.Expect(l.Flush(ctx)).To(Succeed())
			g.Expect(s.records()).To(BeZero())
			time.Sleep(6 * time.Second)
			s.carryOut()
			g.Expect(s.records()).To(Equal(1))
			time.Sleep(10 * time.Second)
			g.Expect(s.records()).To(BeZero())
			run := begin(g, l, "k")
			g.Expect(run.Verdict).To(Equal(order.Run))
			l.Release(run.Claim)
			g.Expect(l.Flush(ctx)).To(Succeed())
			g.Expect(begin(g, startLedger(t, s), "k").Verdict).To(Equal(order.Run))
		})
	}
}
