package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/relay"
)

// Pattern: upstreams fail and every request would be sent once more, which doubles the load that made them fail.
func TestBudgetBoundsRepeatsOfAllEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := relay.NewRetryBudget(0.2, 80, 10*time.Second, func() int { return 8 }, func() time.Time { return now })
	spend := func() (n int) {
		for b.TryRetry("s") {
			n++
		}
		return n
	}
	g.Expect(spend()).To(Equal(8), "an eighth of the fixed number, with a reserve")
	for range 100 {
		b.RecordRequest("s")
	}
	g.Expect(spend()).To(Equal(16), "and a fifth of the requests")
	g.Expect(b.TryRetry("other")).To(BeTrue(), "services have budgets of their own")
	now = now.Add(11 * time.Second)
	g.Expect(spend()).To(Equal(8), "the window has passed")
}
