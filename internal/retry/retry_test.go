package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/retry"
)

// Guards against retries that amplify an overload.
func TestBudgetIsATenthOfTheRequestsPlusReserve(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	b := retry.NewBudget(func() time.Time { return now })
	spend := func() (n int) {
		for b.Spend() {
			n++
		}
		return n
	}
	g.Expect(spend()).To(Equal(20))
	for range 505 { // The last 5 keep rounding errors of the sum away from a whole number.
		b.RecordRequest()
	}
	g.Expect(spend()).To(Equal(50))
	now = now.Add(time.Second)
	g.Expect(spend()).To(Equal(2))
}

// Guards against a later rejection that hides an attempt that may have run.
func TestHistoryKeepsTheWorstOutcome(t *testing.T) {
	g := NewWithT(t)
	var h retry.History
	for _, step := range []struct{ add, want message.Outcome }{
		{message.OutcomeNotRun, message.OutcomeNotRun},
		{message.OutcomeFailed, message.OutcomeFailed},
		{message.OutcomeNotRun, message.OutcomeFailed},
		{message.OutcomeUnknown, message.OutcomeUnknown},
		{message.OutcomeFailed, message.OutcomeUnknown},
	} {
		h.Add(step.add)
		g.Expect(h.Outcome()).To(Equal(step.want))
	}
}
