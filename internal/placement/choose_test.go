package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// newEngine returns an engine with the cost figures of a large model on two accelerators.
func newEngine() *catalog.Engine {
	return &catalog.Engine{Slots: 16, StepTime: 8870 * time.Microsecond, StepTimePerSequence: 39 * time.Microsecond,
		StepTimePer1KContext: 23 * time.Microsecond, PrefillTokensPerSecond: 19100, PrefillChunkTokens: 2048, StepsPerPass: 5, Layers: 16,
		MeanPromptTokens: 977, MeanAnswerTokens: 94}
}

// newQuery returns a request of 800 prompt tokens with a timeout of 6 s.
func newQuery(target time.Duration) placement.Query {
	return placement.Query{Engine: newEngine(), PromptTokens: 800, Target: target, Remaining: 6 * time.Second}
}

// newUpstream returns a ready upstream with 16 slots.
func newUpstream(id string) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Slots: 16, State: catalog.Ready}
}

// workWithReport returns the work of an upstream with a report 50 ms old and all waiting requests ahead.
func workWithReport(running, waiting int) placement.Work {
	return placement.Work{HasReport: true, Running: running, Waiting: waiting, AheadShare: 1, ReportAge: 50 * time.Millisecond}
}

// Guards against all entries sending to an engine that has just loaded weights: its own reports show new requests only after the
// pass in which they arrive.
func TestWorkOfOtherEntriesCountsBeforeTheEngineReportsIt(t *testing.T) {
	g := NewWithT(t)
	empty := placement.Candidate{Upstream: newUpstream("just-loaded"), Local: true, Work: workWithReport(0, 0)}
	empty.Work.OthersRunning, empty.Work.OthersWaiting, empty.Work.OthersTokens = 12, 12, 12*977
	busy := placement.Candidate{Upstream: newUpstream("busy"), Local: true, Work: workWithReport(9, 0)}
	decision := placement.Choose(newQuery(time.Second), []placement.Candidate{empty, busy})
	g.Expect(decision.Upstream.ID).To(Equal("busy"))
}

// Guards against a prediction that ignores the unread prompts of other entries, which the engine reads first.
func TestUnreadPromptsOfOtherEntriesAreCounted(t *testing.T) {
	g := NewWithT(t)
	w := workWithReport(8, 0)
	alone := placement.PredictFirstEvent(newEngine(), w, 500)
	w.OthersTokens = 10 * 977
	g.Expect(placement.PredictFirstEvent(newEngine(), w, 500)).To(BeNumerically(">=", alone+500*time.Millisecond),
		"9,770 tokens take 511 ms")
}

// Guards against queues filled with late requests in a burst above the capacity: refused callers retry late, and if their requests
// fill the queues, callers that could still meet their target are refused and retry late too, for as long as the load lasts.
func TestLateRequestsDoNotKeepQueuesFull(t *testing.T) {
	g := NewWithT(t)
	full := []placement.Candidate{{Upstream: newUpstream("full"), Local: true, Work: workWithReport(16, 6)}}
	late := newQuery(time.Second)
	late.Elapsed = 2 * time.Second
	decision := placement.Choose(late, full)
	g.Expect(decision.Upstream).To(BeNil())
	g.Expect(decision.Reason).To(Equal(placement.NoCapacity))

	available := []placement.Candidate{{Upstream: newUpstream("available"), Local: true, Work: workWithReport(10, 0)}}
	g.Expect(placement.Choose(late, available).Upstream).NotTo(BeNil(), "a late request is served where capacity is available")
}

// Guards against requests that wait in a burst above the capacity although they cannot meet their target, and against refusals with
// a retry delay that the caller cannot follow.
func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	full := []placement.Candidate{{Upstream: newUpstream("full"), Local: true, Work: workWithReport(16, 20)}}
	decision := placement.Choose(newQuery(400*time.Millisecond), full)
	g.Expect(decision.Upstream).To(BeNil())
	g.Expect(decision.RetryAfter).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<=", 2*time.Second)))
	g.Expect(decision.PredictedWait).To(BeNumerically(">", 400*time.Millisecond))
}

// Guards against refusals while slots are free, when all callers return at once after a power failure and many prompts wait to be
// read: a request was refused with a predicted wait of 182 ms at an engine with 4 of 16 slots in use.
func TestNoRequestIsRefusedWhileSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	w := workWithReport(4, 0)
	w.OthersRunning, w.OthersWaiting, w.OthersTokens = 6, 5, 5*977
	late := newQuery(400 * time.Millisecond)
	late.Elapsed, late.MaxWait = 2*time.Second, 200*time.Millisecond
	g.Expect(placement.Choose(late, []placement.Candidate{{Upstream: newUpstream("free"), Local: true, Work: w}}).Upstream).NotTo(BeNil())
}

// Guards against streams that are aborted midway because their continuation would have to wait.
func TestStartedStreamIsNeverRefusedForLackOfCapacity(t *testing.T) {
	g := NewWithT(t)
	q := newQuery(400 * time.Millisecond)
	q.MustPlace = true
	decision := placement.Choose(q, []placement.Candidate{{Upstream: newUpstream("full"), Work: workWithReport(16, 20)}})
	g.Expect(decision.Upstream).NotTo(BeNil())
}

// Guards against requests that stay in a busy local data centre, or that leave it before the gain is worth the remote traffic.
func TestLocalDataCentreIsPreferredUntilItsWaitIsTooLong(t *testing.T) {
	g := NewWithT(t)
	near := placement.Candidate{Upstream: newUpstream("near"), Local: true, Work: workWithReport(8, 0)}
	far := placement.Candidate{Upstream: newUpstream("far"), Work: workWithReport(2, 0)}
	g.Expect(placement.Choose(newQuery(time.Second), []placement.Candidate{near, far}).Upstream.ID).To(Equal("near"))
	near.Work = workWithReport(16, 8)
	g.Expect(placement.Choose(newQuery(time.Second), []placement.Candidate{near, far}).Upstream.ID).To(Equal("far"))
}

// Guards against requests to upstreams that fail although their health checks pass. Such upstreams are used only if there is no
// other.
func TestSuspectsAreUsedOnlyWithoutAlternative(t *testing.T) {
	g := NewWithT(t)
	suspect := placement.Candidate{Upstream: newUpstream("suspect"), Local: true, Suspect: true, Work: workWithReport(0, 0)}
	healthy := placement.Candidate{Upstream: newUpstream("healthy"), Work: workWithReport(8, 0)}
	g.Expect(placement.Choose(newQuery(time.Second), []placement.Candidate{suspect, healthy}).Upstream.ID).To(Equal("healthy"))
	g.Expect(placement.Choose(newQuery(time.Second), []placement.Candidate{suspect}).Upstream.ID).To(Equal("suspect"))
	none := placement.Choose(newQuery(time.Second), nil)
	g.Expect(none.Reason).To(Equal(placement.NoUpstream))
	g.Expect(none.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against a prediction that does not grow with the queue, the prompt or the slowdown: every decision compares predictions.
func TestPredictionGrowsWithLoadPromptAndSlowdown(t *testing.T) {
	g := NewWithT(t)
	base := placement.PredictFirstEvent(newEngine(), workWithReport(4, 0), 500)
	g.Expect(placement.PredictFirstEvent(newEngine(), workWithReport(12, 0), 500)).To(BeNumerically(">", base))
	g.Expect(placement.PredictFirstEvent(newEngine(), workWithReport(16, 4), 500)).To(
		BeNumerically(">", placement.PredictFirstEvent(newEngine(), workWithReport(16, 0), 500)))
	g.Expect(placement.PredictFirstEvent(newEngine(), workWithReport(4, 0), 3000)).To(BeNumerically(">", base+100*time.Millisecond))
	slow := workWithReport(4, 0)
	slow.Slowdown = 4
	g.Expect(placement.PredictFirstEvent(newEngine(), slow, 500)).To(BeNumerically("~", 4*base, base/10))
	stale := workWithReport(4, 0)
	stale.ReportAge = 2 * time.Second
	g.Expect(placement.PredictFirstEvent(newEngine(), stale, 500)).To(BeNumerically(">", base),
		"an old report does not show newer requests")
}

// Guards against many entries sending at once to an upstream of another data centre that has just loaded weights and looks idle.
func TestStaleReportOfRemoteUpstreamIsNotTrusted(t *testing.T) {
	g := NewWithT(t)
	w := workWithReport(0, 0)
	w.ReportAge = 400 * time.Millisecond
	near := placement.PredictFirstEvent(newEngine(), w, 500)
	w.Remote = true
	g.Expect(placement.PredictFirstEvent(newEngine(), w, 500)).To(BeNumerically(">", near+50*time.Millisecond),
		"at least one prompt of mean length is read first")
}

// Guards against urgent requests that are refused because of a queue of less urgent requests, which they overtake.
func TestUrgentRequestOvertakesLessUrgentQueue(t *testing.T) {
	g := NewWithT(t)
	w := workWithReport(16, 8)
	w.OthersWaiting, w.OthersTokens = 8, 8*977
	last := placement.PredictFirstEvent(newEngine(), w, 500)
	w.AheadShare = 0
	g.Expect(placement.PredictFirstEvent(newEngine(), w, 500)).To(BeNumerically("<", last/2))
}

// Guards against callers that come back after a refusal and take the places of new ones while upstreams are short of capacity, and
// against returning callers that are refused although a place is free.
func TestReturningCallersYieldToNewOnes(t *testing.T) {
	g := NewWithT(t)
	busy := []placement.Candidate{{Upstream: newUpstream("busy"), Local: true, Work: workWithReport(14, 0)}}
	q := newQuery(400 * time.Millisecond)
	g.Expect(placement.Choose(q, busy).Upstream).NotTo(BeNil())
	q.Returning, q.Elapsed = true, 500*time.Millisecond
	d := placement.Choose(q, busy)
	g.Expect(d.Upstream).To(BeNil())
	g.Expect(d.Reason).To(Equal(placement.NoCapacity))
	free := []placement.Candidate{{Upstream: newUpstream("free"), Local: true, Work: workWithReport(7, 0)}}
	g.Expect(placement.Choose(q, free).Upstream).NotTo(BeNil())
	q.MustPlace = true
	g.Expect(placement.Choose(q, busy).Upstream).NotTo(BeNil(), "a request that has begun goes on")
}
