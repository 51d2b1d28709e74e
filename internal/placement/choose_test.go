package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// engine has the cost figures of a large model on two accelerators.
func engine() *catalog.Engine {
	return &catalog.Engine{Slots: 16, StepTime: 8870 * time.Microsecond, StepTimePerSequence: 39 * time.Microsecond,
		StepTimePer1KContext: 23 * time.Microsecond, PrefillTokensPerSecond: 19100, PrefillChunkTokens: 2048, StepsPerPass: 5, Layers: 16, MeanPromptTokens: 977, MeanAnswerTokens: 94}
}

func query(target time.Duration) placement.Query {
	return placement.Query{Engine: engine(), Prompt: 800, Target: target, Left: 6 * time.Second}
}

func up(id string) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Slots: 16, State: catalog.Ready}
}

func reported(running, waiting int) placement.Work {
	return placement.Work{Known: true, Running: running, Waiting: waiting, Ahead: 1, Age: 50 * time.Millisecond}
}

// Pattern: all entries see an engine that has just loaded weights and send to it. Its own reports show the requests only after
// the pass in which they arrive.
func TestWorkOfOtherEntriesCountsBeforeTheEngineReportsIt(t *testing.T) {
	g := NewWithT(t)
	empty := placement.Candidate{Upstream: up("just-loaded"), Local: true, Work: reported(0, 0)}
	empty.Work.OthersRunning, empty.Work.OthersWaiting, empty.Work.OthersTokens = 12, 12, 12*977
	busy := placement.Candidate{Upstream: up("busy"), Local: true, Work: reported(9, 0)}
	d := placement.Choose(query(time.Second), []placement.Candidate{empty, busy})
	g.Expect(d.Upstream.ID).To(Equal("busy"))
}

// Pattern: the same, seen in the prediction: unread prompts of other entries are read first.
func TestUnreadPromptsOfOtherEntriesAreCounted(t *testing.T) {
	g := NewWithT(t)
	w := reported(8, 0)
	alone := placement.FirstEvent(engine(), w, 500)
	w.OthersTokens = 10 * 977
	g.Expect(placement.FirstEvent(engine(), w, 500)).To(BeNumerically(">=", alone+500*time.Millisecond), "9,770 tokens take 511 ms")
}

// Pattern: a burst over the capacity. Callers that were refused come back late; if they may fill the queues, callers that could
// still be in time are refused, come back late too, and everybody is late for as long as the load lasts.
func TestLateRequestsDoNotKeepQueuesFull(t *testing.T) {
	g := NewWithT(t)
	full := []placement.Candidate{{Upstream: up("full"), Local: true, Work: reported(16, 6)}}
	late := query(time.Second)
	late.Elapsed = 2 * time.Second
	d := placement.Choose(late, full)
	g.Expect(d.Upstream).To(BeNil())
	g.Expect(d.Reason).To(Equal(placement.NoRoom))

	room := []placement.Candidate{{Upstream: up("room"), Local: true, Work: reported(10, 0)}}
	g.Expect(placement.Choose(late, room).Upstream).NotTo(BeNil(), "a late request is served where there is room")
}

// Pattern: a burst over the capacity. A request that cannot be in time is refused at once, with a time to come back that the
// caller can keep.
func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	full := []placement.Candidate{{Upstream: up("full"), Local: true, Work: reported(16, 20)}}
	d := placement.Choose(query(400*time.Millisecond), full)
	g.Expect(d.Upstream).To(BeNil())
	g.Expect(d.RetryAfter).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<=", 2*time.Second)))
	g.Expect(d.Predicted).To(BeNumerically(">", 400*time.Millisecond))
}

// Pattern: after a loss of power all callers return at once. They are not refused while slots are free, though many prompts wait to be
// read. Trace: refused with a predicted wait of 182 ms at an engine with 4 of 16 slots taken.
func TestNothingIsRefusedWhileSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	w := reported(4, 0)
	w.OthersRunning, w.OthersWaiting, w.OthersTokens = 6, 5, 5*977
	late := query(400 * time.Millisecond)
	late.Elapsed, late.Room = 2*time.Second, 200*time.Millisecond
	g.Expect(placement.Choose(late, []placement.Candidate{{Upstream: up("free"), Local: true, Work: w}}).Upstream).NotTo(BeNil())
}

// Guards against streams that are given up midway because their continuation would have to wait.
func TestBegunStreamIsNeverRefusedForLackOfRoom(t *testing.T) {
	g := NewWithT(t)
	q := query(400 * time.Millisecond)
	q.MustPlace = true
	d := placement.Choose(q, []placement.Candidate{{Upstream: up("full"), Work: reported(16, 20)}})
	g.Expect(d.Upstream).NotTo(BeNil())
}

// Pattern: the own data centre is busy. Another one is used as soon as that is worth the bytes, and not before.
func TestOwnDataCentreFirstWhileItPays(t *testing.T) {
	g := NewWithT(t)
	near := placement.Candidate{Upstream: up("near"), Local: true, Work: reported(8, 0)}
	far := placement.Candidate{Upstream: up("far"), Work: reported(2, 0)}
	g.Expect(placement.Choose(query(time.Second), []placement.Candidate{near, far}).Upstream.ID).To(Equal("near"))
	near.Work = reported(16, 8)
	g.Expect(placement.Choose(query(time.Second), []placement.Candidate{near, far}).Upstream.ID).To(Equal("far"))
}

// Pattern: some upstreams fail while their health is good. They get requests only if there is no other.
func TestSuspectsAreLastResort(t *testing.T) {
	g := NewWithT(t)
	grey := placement.Candidate{Upstream: up("grey"), Local: true, Suspect: true, Work: reported(0, 0)}
	sound := placement.Candidate{Upstream: up("sound"), Work: reported(8, 0)}
	g.Expect(placement.Choose(query(time.Second), []placement.Candidate{grey, sound}).Upstream.ID).To(Equal("sound"))
	g.Expect(placement.Choose(query(time.Second), []placement.Candidate{grey}).Upstream.ID).To(Equal("grey"))
	none := placement.Choose(query(time.Second), nil)
	g.Expect(none.Reason).To(Equal(placement.NoUpstream))
	g.Expect(none.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against a prediction that does not grow with what lies ahead: every decision rests on the order.
func TestPredictionGrowsWithLoadPromptAndPace(t *testing.T) {
	g := NewWithT(t)
	base := placement.FirstEvent(engine(), reported(4, 0), 500)
	g.Expect(placement.FirstEvent(engine(), reported(12, 0), 500)).To(BeNumerically(">", base))
	g.Expect(placement.FirstEvent(engine(), reported(16, 4), 500)).To(BeNumerically(">", placement.FirstEvent(engine(), reported(16, 0), 500)))
	g.Expect(placement.FirstEvent(engine(), reported(4, 0), 3000)).To(BeNumerically(">", base+100*time.Millisecond))
	slow := reported(4, 0)
	slow.Pace = 4
	g.Expect(placement.FirstEvent(engine(), slow, 500)).To(BeNumerically("~", 4*base, base/10))
	stale := reported(4, 0)
	stale.Age = 2 * time.Second
	g.Expect(placement.FirstEvent(engine(), stale, 500)).To(BeNumerically(">", base), "an old report hides requests")
}

// Pattern: an upstream of another data centre has just loaded weights and looks empty; many entries would go there at once.
func TestOldWordOfAnotherDataCentreIsNotTrusted(t *testing.T) {
	g := NewWithT(t)
	w := reported(0, 0)
	w.Age = 400 * time.Millisecond
	near := placement.FirstEvent(engine(), w, 500)
	w.Remote = true
	g.Expect(placement.FirstEvent(engine(), w, 500)).To(BeNumerically(">", near+50*time.Millisecond), "at least one prompt of the usual size is read first")
}

// Guards against urgent requests that are refused because of a queue that they pass.
func TestUrgentRequestPassesQueueOfOthers(t *testing.T) {
	g := NewWithT(t)
	w := reported(16, 8)
	w.OthersWaiting, w.OthersTokens = 8, 8*977
	last := placement.FirstEvent(engine(), w, 500)
	w.Ahead = 0
	g.Expect(placement.FirstEvent(engine(), w, 500)).To(BeNumerically("<", last/2))
}
