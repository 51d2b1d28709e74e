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

// retryRun plays entries that serve one service whose upstreams decline everything, and counts requests and retries by tenths of a second.
type retryRun struct {
	requests, retries []int
}

const (
	retryTicksPerSecond = 10
	retryWindowTicks    = 10 * retryTicksPerSecond
	retryRatio          = 0.2
	retryFixed          = 104.0
)

// play runs entries for a time. Entry i is replaced in the ticks for which replaced returns true; requests returns the number of requests that
// each entry gets in a tick, and spends whether it retries in a tick whatever it may.
func play(entries, ticks int, requests func(tick int) int, spends func(tick int) bool, replaced func(tick, entry int) bool) retryRun {
	now := time.Unix(1000, 0)
	start := func() *relay.RetryBudget {
		return relay.NewRetryBudget(retryRatio, retryFixed, 10*time.Second, func() int { return entries }, func() time.Time { return now })
	}
	budgets := make([]*relay.RetryBudget, entries)
	for i := range budgets {
		budgets[i] = start()
	}
	run := retryRun{requests: make([]int, ticks), retries: make([]int, ticks)}
	for tick := range ticks {
		now = now.Add(time.Second / retryTicksPerSecond)
		for i := range budgets {
			if replaced(tick, i) {
				budgets[i] = start().AfterPredecessor()
			}
			for range requests(tick) {
				budgets[i].RecordRequest("s")
				run.requests[tick]++
			}
			for spends(tick) && budgets[i].TryRetry("s") {
				run.retries[tick]++
			}
		}
	}
	return run
}

// sumFrom returns the sum of a window that begins at a tick, which may lie before the first one.
func sumFrom(counts []int, tick int) (sum int) {
	for t := max(tick, 0); t < min(tick+retryWindowTicks, len(counts)); t++ {
		sum += counts[t]
	}
	return sum
}

// mostOverBudget returns by how much the retries of a window exceed what is allowed at most: the requests are those of that window, the one before it or
// the one half a window before it, whichever has most.
func (r retryRun) mostOverBudget() float64 {
	most := -retryFixed
	for tick := range r.retries {
		requests := max(sumFrom(r.requests, tick), sumFrom(r.requests, tick-retryWindowTicks/2), sumFrom(r.requests, tick-retryWindowTicks))
		most = max(most, float64(sumFrom(r.retries, tick))-retryRatio*float64(requests)-retryFixed)
	}
	return most
}

// Guards against entries that begin with a whole budget whenever they are replaced: entries that were killed in series during a burst, while the
// service declined requests, sent it more retries in ten seconds than all of them together are allowed (BUDGET).
func TestRetryBudgetHoldsWhileEntriesAreReplaced(t *testing.T) {
	steady := func(int) int { return 2 }
	burst := func(tick int) int {
		if tick >= 150 && tick < 300 {
			return 6
		}
		return 1
	}
	always := func(int) bool { return true }
	for name, c := range map[string]struct {
		requests func(int) int
		spends   func(int) bool
		replaced func(tick, entry int) bool
	}{
		"none":                             {steady, always, func(int, int) bool { return false }},
		"all every second":                 {steady, always, func(tick, _ int) bool { return tick%10 == 9 }},
		"all every 4 s":                    {steady, always, func(tick, _ int) bool { return tick%40 == 39 }},
		"all every 9 s":                    {steady, always, func(tick, _ int) bool { return tick%90 == 89 }},
		"all every 11 s":                   {steady, always, func(tick, _ int) bool { return tick%110 == 109 }},
		"one after the other, every 0.5 s": {steady, always, func(tick, entry int) bool { return tick%5 == 4 && tick/5%8 == entry }},
		"all every 4 s in a burst":         {burst, always, func(tick, _ int) bool { return tick%40 == 39 }},
		"all once, right after everything was spent": {burst, func(tick int) bool { return tick >= 249 },
			func(tick, _ int) bool { return tick == 250 }},
		"all twice, right after everything was spent": {burst, func(tick int) bool { return tick >= 249 },
			func(tick, _ int) bool { return tick == 250 || tick == 290 }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			run := play(8, 600, c.requests, c.spends, c.replaced)
			g.Expect(run.mostOverBudget()).To(BeNumerically("<=", 0))
		})
	}
}

// Guards against a process that never uses the whole budget after it has replaced another one.
func TestRetryBudgetIsWholeAfterOneWindow(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := relay.NewRetryBudget(0.2, 80, 10*time.Second, func() int { return 8 }, func() time.Time { return now }).AfterPredecessor()
	g.Expect(b.TryRetry("s")).To(BeFalse())
	now = now.Add(9 * time.Second)
	g.Expect(b.TryRetry("s")).To(BeTrue())
	g.Expect(b.TryRetry("s")).To(BeFalse(), "a fifth of its share")
	now = now.Add(11 * time.Second)
	for range 8 {
		g.Expect(b.TryRetry("s")).To(BeTrue())
	}
	g.Expect(b.TryRetry("s")).To(BeFalse())
}
