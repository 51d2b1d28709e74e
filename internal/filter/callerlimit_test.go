package filter_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/filter"
)

// Guards against a caller that gets its whole rate from each entry.
func TestRateIsDividedByLiveEntries(t *testing.T) {
	g := NewWithT(t)
	const entries = 100
	limit := filter.NewCallerLimit(func() int { return entries })
	passed := func(name string) (n int) {
		x := &filter.Exchange{Caller: config.Caller{Name: name, Rate: 10}, Active: &config.Active{Config: &config.Config{}}}
		if name == "fast" {
			x.Caller.Rate = 400
		}
		for range 300 {
			_ = limit.Apply(context.Background(), x, func(context.Context, *filter.Exchange) error { n++; return nil })
		}
		return n
	}
	// The share of 0.1 a second gives a burst of one, and the next token comes after 10 s.
	g.Expect(passed("slow")).To(Equal(1))
	g.Expect(passed("slow")).To(Equal(0))
	// The share of 4 a second gives a burst of 4; without the division it would be 400 and pass all.
	g.Expect(passed("fast")).To(BeNumerically("<", 300))
}
