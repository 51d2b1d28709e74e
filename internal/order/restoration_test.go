package order_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/order"
)

// Guards against an order that runs again although it ran and its response was recorded after the store was restored from a copy older
// than its claim.
func TestResponseIsRecordedAfterTheStoreLostTheClaim(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	first, second := startLedger(t, s), startLedger(t, s)
	earlier := s.copy()
	run := begin(g, first, "k")
	s.restore(earlier)
	first.Finish(run.Claim, &order.Response{Status: 201, Body: []byte("placed")})
	g.Expect(first.Flush(ctx)).To(Succeed())
	g.Expect(begin(g, second, "k").Verdict).To(Equal(order.Replay))
}
