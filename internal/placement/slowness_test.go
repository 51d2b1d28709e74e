package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// reports returns candidates with the given slowdowns in their reports.
func reports(slowdowns ...float64) []placement.Candidate {
	var out []placement.Candidate
	for i, s := range slowdowns {
		out = append(out, local(fmt.Sprint(i), placement.Work{HasReport: true, Slowdown: s, ReportAge: 50 * time.Millisecond}))
	}
	return out
}

// Load: 15 of 100 upstreams are slow in turns, then none. Guards against an estimate that does not follow, or that changes the placement
// with each report at its limit.
func TestSlownessFollowsReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var changes []bool
	table := placement.NewSlownessTable(func() time.Time { return now }, func(_ string, s placement.Slowness) { changes = append(changes, s.Uneven) })
	var s placement.Slowness
	for i := range 200 {
		slowdowns := make([]float64, 20)
		for k := range 3 {
			slowdowns[(i+k*7)%20] = 2.5
		}
		s = table.Observe("model", reports(slowdowns...))
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(s.Share).To(BeNumerically("~", 0.15, 0.01))
	g.Expect(s.Factor).To(BeNumerically("~", 2.5, 0.01))
	g.Expect(table.Observe("other", reports(1, 1)).Uneven).To(BeFalse(), "services have estimates of their own")
	for range 1200 {
		s = table.Observe("model", reports(1, 1, 1.1, 0))
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(s.Uneven).To(BeFalse())
	g.Expect(changes).To(Equal([]bool{true, false}))
}

// Failure: reports with figures that no upstream can mean, and old ones. Guards against an estimate that they make useless.
func TestSlownessIgnoresUnusableReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := placement.NewSlownessTable(func() time.Time { return now }, nil)
	old := reports(9, 9, 9)
	for i := range old {
		old[i].Work.ReportAge = 2 * time.Second
	}
	g.Expect(table.Observe("model", append(old, reports(math.NaN(), -3, 1)...))).To(Equal(placement.Slowness{}))
	now = now.Add(time.Second)
	s := table.Observe("model", reports(math.Inf(1), 1, 1))
	g.Expect(s.Factor).To(BeNumerically("<=", 20))
	g.Expect(s.Share).To(BeNumerically("<", 0.5))
}
