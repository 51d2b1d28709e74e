package filter_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/filter"
)

// Guards against a caller that is granted its full rate by each entry, instead of a share.
func TestRateIsDividedByLiveEntries(t *testing.T) {
	g := NewWithT(t)
	const entries = 100
	limit := filter.NewCallerLimit(func() int { return entries })
	countPassed := func(name string) (passed int) {
		x := &filter.Exchange{Caller: config.Caller{Name: name, Rate: 10}, Active: &config.Active{Config: &config.Config{}}}
		if name == "fast" {
			x.Caller.Rate = 400
		}
		for range 300 {
			_ = limit.Apply(context.Background(), x, func(context.Context, *filter.Exchange) error { passed++; return nil })
		}
		return passed
	}
	// A share of 0.1 requests per second gives a burst of 1; the next token is available after 10 s.
	g.Expect(countPassed("slow")).To(Equal(1))
	g.Expect(countPassed("slow")).To(Equal(0))
	// A share of 4 requests per second gives a burst of 4; without the division the burst of 400 would let all requests pass.
	g.Expect(countPassed("fast")).To(BeNumerically("<", 300))
}
