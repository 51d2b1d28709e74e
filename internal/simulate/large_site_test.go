package simulate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/simulate"
)

// beforeAndAfter runs a scenario with placement by the predicted wait alone and by the expected number of late streams, and joins the streams
// of three seeds: those of one vary by a tenth.
func beforeAndAfter(t *testing.T, scenario simulate.Scenario) (before, after *simulate.Result) {
	scenario.Duration = 24 * time.Second
	before, after = &simulate.Result{Scenario: scenario}, &simulate.Result{Scenario: scenario}
	for seed := range uint64(3) {
		before.Streams = append(before.Streams, simulate.Run(scenario.WithoutPauseLimit(), seed+1).Streams...)
		after.Streams = append(after.Streams, simulate.Run(scenario, seed+1).Streams...)
	}
	logShares(t, "before", before)
	logShares(t, "after", after)
	return before, after
}

// logShares logs the share of streams on time by prompt length.
func logShares(t *testing.T, name string, r *simulate.Result) {
	for i, l := range append(r.LateByLength(), r.LateShares("")) {
		class := "all prompts"
		if i < len(simulate.PromptClasses) {
			class = simulate.PromptClasses[i].Name
		}
		t.Logf("%s, %s: of %d streams %.3f served, of these %.3f on time, first event late %.3f, pause too long %.3f", name, class, l.Streams,
			l.ServedShare(), l.OnTimeShare(), l.FirstLateShare(), l.PauseLateShare())
	}
}

// expectLongPromptsServed checks the users' rule for the longest tenth of each kind: its share served is at least half of that of all.
func expectLongPromptsServed(g *WithT, r *simulate.Result) {
	for _, k := range r.Scenario.Kinds {
		g.Expect(r.LateOfLongest(k.Name).ServedShare()).To(BeNumerically(">=", r.LateShares(k.Name).ServedShare()/2), k.Name)
	}
}

// Load: mixed prompt lengths at a full fleet whose engines are slow in turns. Guards against placement that ignores that an engine may turn
// slow: 9 of 100 streams were late, 14 of 100 with the longest prompts. Neither short nor long prompts may pay for the others, and as many
// streams have to be served, to within one in a hundred.
func TestMixedLengthsAtAFullFleet(t *testing.T) {
	g := NewWithT(t)
	before, after := beforeAndAfter(t, simulate.LargeSite())
	b, a := before.LateShares(""), after.LateShares("")
	g.Expect(a.OnTimeShare()).To(BeNumerically(">", b.OnTimeShare()))
	g.Expect(a.ServedShare()).To(BeNumerically(">=", b.ServedShare()-0.01))
	wasLate, isLate := before.LateByLength(), after.LateByLength()
	short := func(list []simulate.LateShares) float64 { return list[0].Plus(list[1]).OnTimeShare() }
	long := func(list []simulate.LateShares) float64 { return list[3].Plus(list[4]).OnTimeShare() }
	g.Expect(short(isLate)).To(BeNumerically(">", short(wasLate)))
	g.Expect(long(isLate)).To(BeNumerically(">", long(wasLate)))
	expectLongPromptsServed(g, after)
}

// Load: two bursts of the longest prompts, at 3.5 times their rate, without added engines. Guards against overload in which what is served
// is late: 40 of 100 streams were. The bound is half as many.
func TestBurstsOfTheLongestPromptsServeOnTime(t *testing.T) {
	g := NewWithT(t)
	scenario := simulate.LargeSite()
	scenario.Load = 0.6
	scenario.Bursts = []simulate.Burst{{Kind: "draft", From: 10 * time.Second, To: 14 * time.Second, Factor: 3.5},
		{Kind: "draft", From: 18 * time.Second, To: 21 * time.Second, Factor: 3.5}}
	before, after := beforeAndAfter(t, scenario)
	b, a := before.LateShares(""), after.LateShares("")
	g.Expect(1 - a.OnTimeShare()).To(BeNumerically("<=", (1-b.OnTimeShare())/2))
	g.Expect(a.OnTime).To(BeNumerically(">", b.OnTime))
	expectLongPromptsServed(g, after)
}
