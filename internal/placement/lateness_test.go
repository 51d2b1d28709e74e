package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// unevenEngine returns an engine with 12 slots that makes all its streams late by a pause if it reads 2,300 tokens in a pass while slow.
func unevenEngine() *catalog.Engine {
	return &catalog.Engine{Slots: 12, StepTime: 9270 * time.Microsecond, StepTimePerSequence: 23200 * time.Nanosecond,
		StepTimePer1KContext: 32200 * time.Nanosecond, PrefillTokensPerSecond: 20700, PrefillChunkTokens: 2048, StepsPerPass: 5,
		MeanPromptTokens: 942, MeanAnswerTokens: 94}
}

// unevenQuery returns a request to a service whose upstreams are slow in turns, 15 of 100 at a time.
func unevenQuery(promptTokens float64) placement.Query {
	return placement.Query{Engine: unevenEngine(), PromptTokens: promptTokens, Target: 400 * time.Millisecond, Remaining: 6 * time.Second,
		MaxPause: 400 * time.Millisecond, Slow: placement.Slowness{Share: 0.15, Factor: 2.5, Uneven: true}}
}

// unevenWork returns the work of an upstream with running streams, and others that wait with prompts of mean length.
func unevenWork(running, waiting int, slowdown float64) placement.Work {
	return placement.Work{HasReport: true, Running: running, ReportAge: 50 * time.Millisecond, OthersRunning: running + waiting,
		OthersWaiting: waiting, OthersTokens: float64(waiting) * 942, AheadShare: 1, Slowdown: slowdown}
}

func local(id string, w placement.Work) placement.Candidate {
	return placement.Candidate{Upstream: newUpstream(id), Local: true, Work: w}
}

// countChoices returns how often each upstream is chosen.
func countChoices(q placement.Query, candidates []placement.Candidate) map[string]int {
	out := map[string]int{}
	for range 400 {
		if d := placement.Choose(q, candidates); d.Upstream != nil {
			out[d.Upstream.ID]++
		}
	}
	return out
}

// Load: mixed prompt lengths at a full fleet. Guards against the longest prompts at upstreams where many running streams wait for the end
// of the pass, or at slow ones, while others would delay fewer.
func TestLongPromptsAvoidStreamsThatTheyWouldDelay(t *testing.T) {
	g := NewWithT(t)
	fleet := []placement.Candidate{local("reading", unevenWork(8, 3, 1)), local("slow", unevenWork(8, 0, 2.5)), local("ready", unevenWork(8, 0, 1))}
	chosen := countChoices(unevenQuery(3500), fleet)
	g.Expect(chosen["slow"]).To(BeZero())
	g.Expect(chosen["ready"]).To(BeNumerically(">", chosen["reading"]))
	d := placement.Choose(unevenQuery(3500), fleet)
	g.Expect(d.Lateness.Known).To(BeTrue())
	g.Expect(d.Lateness.Others).To(BeNumerically(">", placement.Choose(unevenQuery(300), fleet[2:]).Lateness.Others))
}

// Load: answers of mixed lengths while some upstreams are slow and otherwise idle. Guards against long answers that time out there, and against
// a slow upstream that stays unused by short ones.
func TestLongAnswersAvoidSlowUpstreamsThatAreIdle(t *testing.T) {
	g := NewWithT(t)
	fleet := []placement.Candidate{local("slow", unevenWork(1, 0, 2.5)), local("ready", unevenWork(6, 0, 1))}
	q := unevenQuery(300)
	q.AnswerTokens = 260
	g.Expect(countChoices(q, fleet)["slow"]).To(BeNumerically("<", 100))
	long := countChoices(q, fleet)["slow"]
	q.AnswerTokens = 40
	g.Expect(countChoices(q, fleet)["slow"]).To(BeNumerically(">", long))
}

// Load: 41 entries that choose at once with the same information. Guards against entries that all send to the one upstream that was best in
// the last reports: the requests then wait there together.
func TestChoiceIsSpreadOverNearTies(t *testing.T) {
	g := NewWithT(t)
	var fleet []placement.Candidate
	for i := range 13 {
		fleet = append(fleet, local(fmt.Sprint(i), unevenWork(5+i%3, 0, 1)))
	}
	for _, n := range countChoices(unevenQuery(942), fleet) {
		g.Expect(n).To(BeNumerically("<", 400/4))
	}
}

// Load: overload, in which callers have to learn at once that their stream would be late. Guards against streams that are accepted where
// they would be late, and against a Retry-After that does not tell when the prompts there have been read.
func TestOverloadIsRefusedWhereStreamsWouldBeLate(t *testing.T) {
	g := NewWithT(t)
	full := []placement.Candidate{local("full", unevenWork(12, 20, 1))}
	d := placement.Choose(unevenQuery(942), full)
	g.Expect(d.Upstream).To(BeNil())
	g.Expect(d.Reason).To(Equal(placement.NoCapacity))
	const reading = 20 * 942 * time.Second / 20700
	g.Expect(d.RetryAfter).To(And(BeNumerically(">=", reading), BeNumerically("<=", 1900*time.Millisecond)))
	continued := unevenQuery(942)
	continued.MustPlace = true
	g.Expect(placement.Choose(continued, full).Upstream).NotTo(BeNil(), "a stream that has begun goes on")
}

// Load: a burst of the longest prompts. Guards against long prompts that are refused more often than short ones at the same upstreams.
func TestRefusalsDoNotDependOnPromptLength(t *testing.T) {
	g := NewWithT(t)
	refusals := 0
	for waiting := range 12 {
		fleet := []placement.Candidate{local("a", unevenWork(10, waiting, 1))}
		short, long := placement.Choose(unevenQuery(50), fleet), placement.Choose(unevenQuery(3800), fleet)
		g.Expect(long.Reason).To(Equal(short.Reason), "%d waiting", waiting)
		if long.Upstream == nil {
			refusals++
		}
	}
	g.Expect(refusals).To(And(BeNumerically(">", 0), BeNumerically("<", 12)))
}

// Load: any. Guards against refusals by an upstream that is far from full, however slow it is and whatever is unread there.
func TestUpstreamFarFromFullRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	for _, slowdown := range []float64{1, 2.5, 20, 1e9} {
		q := unevenQuery(3800)
		q.Elapsed, q.Returning = 2*time.Second, true
		g.Expect(placement.Choose(q, []placement.Candidate{local("a", unevenWork(2, 3, slowdown))}).Upstream).NotTo(BeNil())
	}
}

// Load: a quiet day, or a service without a pause limit. Guards against a part that changes deployments which do not need it.
func TestEvenUpstreamsAndRoutesWithoutPauseLimitAreServedAsBefore(t *testing.T) {
	g := NewWithT(t)
	fleet := []placement.Candidate{local("a", unevenWork(8, 2, 1)), local("b", unevenWork(9, 3, 1))}
	withoutLimit, even, before := unevenQuery(942), unevenQuery(942), unevenQuery(942)
	withoutLimit.MaxPause = 0
	even.Slow.Uneven = false
	before.MaxPause, before.Slow = 0, placement.Slowness{}
	want := placement.Choose(before, fleet)
	for _, q := range []placement.Query{withoutLimit, even} {
		g.Expect(placement.Choose(q, fleet)).To(Equal(want))
		g.Expect(countChoices(q, fleet)).To(Equal(map[string]int{"a": 400}))
	}
}

// Load: all upstreams of this data centre are full. Guards against streams that are sent to another data centre while this one has capacity,
// and against refusals while another one has.
func TestOtherDataCentreIsUsedWhenThisOneIsFull(t *testing.T) {
	g := NewWithT(t)
	far := placement.Candidate{Upstream: newUpstream("far"), Work: unevenWork(2, 0, 1)}
	g.Expect(countChoices(unevenQuery(942), []placement.Candidate{far, local("near", unevenWork(9, 1, 1))})).To(Equal(map[string]int{"near": 400}))
	g.Expect(countChoices(unevenQuery(942), []placement.Candidate{far, local("near", unevenWork(12, 20, 1))})).To(Equal(map[string]int{"far": 400}))
}

// Failure: no agent reports any more, as while links are cut. Guards against refusals or a crash because nothing is known of the upstreams.
func TestUpstreamsWithoutReportsAreServed(t *testing.T) {
	g := NewWithT(t)
	d := placement.Choose(unevenQuery(942), []placement.Candidate{local("a", placement.Work{OwnRunning: 8}), local("b", placement.Work{OwnRunning: 8})})
	g.Expect(d.Upstream).NotTo(BeNil())
	g.Expect(d.Lateness.SlowShare).To(Equal(0.15))
}

// BenchmarkChooseByLateness measures one decision, which may take tens of microseconds.
func BenchmarkChooseByLateness(b *testing.B) {
	for _, n := range []int{40, 120} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var fleet []placement.Candidate
			for i := range n {
				c := local(fmt.Sprint(i), unevenWork(12, 8, 1+float64(i%7)/4))
				c.Local = i%3 == 0
				fleet = append(fleet, c)
			}
			table := placement.NewSlownessTable(nil, nil)
			q := unevenQuery(942)
			for b.Loop() {
				table.Observe("service", fleet)
				placement.Choose(q, fleet)
			}
		})
	}
}
