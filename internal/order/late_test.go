package order_test

import (
	"testing"
	"testing/synctest"
	"time"

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
