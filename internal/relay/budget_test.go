package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/relay"
)

// Guards against retries that double the load of failing upstreams: while they fail, every request would be retried.
func TestRetryBudgetIsSharedByAllEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := relay.NewRetryBudget(0.2, 80, 10*time.Second, func() int { return 8 }, func() time.Time { return now })
	drain := func() (n int) {
		for b.TryRetry("s") {
			n++
		}
		return n
	}
	g.Expect(drain()).To(Equal(8), "an eighth of the fixed number, less the safety margin")
	for range 100 {
		b.RecordRequest("s")
	}
	g.Expect(drain()).To(Equal(16), "plus a fifth of the requests, less the safety margin")
	g.Expect(b.TryRetry("other")).To(BeTrue(), "each service has its own budget")
	now = now.Add(11 * time.Second)
	g.Expect(drain()).To(Equal(8), "requests and retries have left the window")
}
