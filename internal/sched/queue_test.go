package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/sched"
)

// queueHarness drives a queue with a manual clock and records what it starts and drops.
type queueHarness struct {
	q              *sched.Queue
	now            time.Time
	running        []*sched.Item
	started        map[string]int
	costByPriority map[int]float64
	dropped        map[string]message.Reason
}

func newQueueHarness(cfg sched.Config, priorities ...sched.Priority) *queueHarness {
	h := &queueHarness{
		now: time.Unix(1000, 0), started: map[string]int{}, costByPriority: map[int]float64{}, dropped: map[string]message.Reason{},
	}
	cfg.Now = func() time.Time { return h.now }
	h.q = sched.New(cfg)
	h.q.SetPriorities(priorities)
	h.q.SetOpen(true, "")
	return h
}

func (h *queueHarness) item(priority int, caller string) *sched.Item {
	it := &sched.Item{Priority: priority, Caller: caller, Weight: 1, Cost: 10}
	it.Start = func() {
		h.running = append(h.running, it)
		h.started[caller]++
		h.costByPriority[priority] += float64(it.Cost)
	}
	it.Drop = func(reason message.Reason, _ time.Duration) { h.dropped[caller] = reason }
	return it
}

func (h *queueHarness) push(n, priority int, caller string) {
	for range n {
		h.q.Push(h.item(priority, caller))
	}
}

// runUrgent pushes n requests that are due in 490 ms, and lets those that are started take the given time.
func (h *queueHarness) runUrgent(n int, caller string, latency time.Duration) {
	for range n {
		it := h.item(0, caller)
		it.FirstByteTarget = h.now.Add(490 * time.Millisecond)
		h.q.Push(it)
	}
	h.finishRunning(latency)
}

// finishRunning advances the clock by d and completes every running request.
func (h *queueHarness) finishRunning(d time.Duration) {
	h.now = h.now.Add(d)
	done := h.running
	h.running = nil
	for _, it := range done {
		h.q.FirstByte(it)
		h.q.Done(it, true)
	}
}

var threePriorities = []sched.Priority{{Share: 0.7, Floor: 0.1}, {Share: 0.2, Floor: 0.1}, {Share: 0.1, Floor: 0.1}}

// Guards against starvation of a priority when any priority floods the queue.
func TestFloorsHoldInFloodOfAnyPriority(t *testing.T) {
	for flooder := range threePriorities {
		t.Run(fmt.Sprint(flooder), func(t *testing.T) {
			g := NewWithT(t)
			h := newQueueHarness(sched.Config{QueueLimit: 200, MaxConcurrency: 8}, threePriorities...)
			for range 500 {
				for p := range threePriorities {
					h.push(8, p, fmt.Sprint("caller", p))
				}
				h.push(80, flooder, "flood")
				h.finishRunning(10 * time.Millisecond)
			}
			total := h.costByPriority[0] + h.costByPriority[1] + h.costByPriority[2]
			for p, params := range threePriorities {
				g.Expect(h.costByPriority[p]/total).To(BeNumerically(">=", 0.9*params.Floor), "priority %d", p)
			}
			g.Expect(h.costByPriority[0] / total).To(BeNumerically(">=", 0.65))
		})
	}
}

// Guards against less urgent requests overtaking urgent ones that are within their reserved share.
func TestUrgentPriorityStartsFirstWithinItsShare(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{MaxConcurrency: 1}, sched.Priority{Share: 0.9}, sched.Priority{Share: 0.1})
	h.push(1, 1, "running")
	h.push(5, 1, "later")
	h.push(3, 0, "urgent")
	for range 3 {
		h.finishRunning(10 * time.Millisecond)
	}
	g.Expect(h.started["urgent"]).To(Equal(3))
	g.Expect(h.started["later"]).To(BeZero())
}

// Guards against idle capacity while only requests of the least urgent priority wait.
func TestQueueIsWorkConserving(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{MaxConcurrency: 4}, threePriorities...)
	h.push(20, 2, "only")
	g.Expect(h.running).To(HaveLen(4))
}

// Guards against one caller that sends 20 requests per round crowding out nine that send one every other round.
func TestSmallCallersAreServedBesideLargeOne(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{QueueLimit: 100, MaxConcurrency: 10}, sched.Priority{Share: 1})
	offered := 0
	for round := range 1000 {
		h.push(20, 0, "large")
		for c := range 9 {
			if round%2 == 0 {
				h.push(1, 0, fmt.Sprint("small", c))
			}
		}
		offered += (round + 1) % 2
		h.finishRunning(10 * time.Millisecond)
	}
	for c := range 9 {
		g.Expect(h.started[fmt.Sprint("small", c)]).To(BeNumerically(">=", offered*99/100))
	}
	g.Expect(h.started["large"]).To(BeNumerically(">", 5*offered))
}

// Guards against a full queue dropping an urgent request, or one of a caller with a small backlog.
func TestFullQueueEvictsFromLargestBacklogOfLeastUrgentPriority(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{QueueLimit: 10, MaxConcurrency: 1}, threePriorities...)
	h.push(1, 2, "running")
	h.push(8, 2, "large")
	h.push(2, 2, "small")
	h.push(1, 0, "urgent")
	g.Expect(h.dropped).To(Equal(map[string]message.Reason{"large": message.ReasonQueueFull}))
	g.Expect(h.q.Stats().QueuedByPriority).To(Equal([]int{1, 0, 9}))
}

// Guards against starting requests that can no longer meet their deadline or first-byte target, and against dropping every request
// because of an outdated estimate.
func TestDropsItemsThatCannotMeetTheirDeadlines(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{MaxConcurrency: 2}, sched.Priority{Share: 1})
	h.push(2, 0, "warm-up")
	h.finishRunning(time.Second)
	h.push(1, 0, "running")
	late := h.item(0, "late")
	late.FirstByteTarget = h.now.Add(500 * time.Millisecond)
	h.q.Push(late)
	g.Expect(h.dropped).To(HaveKeyWithValue("late", message.ReasonDeadline))
	h.finishRunning(time.Second)
	probe := h.item(0, "probe")
	probe.FirstByteTarget = h.now.Add(500 * time.Millisecond)
	h.q.Push(probe)
	g.Expect(h.started["probe"]).To(Equal(1))
	h.push(1, 0, "running")
	waiting := h.item(0, "waiting")
	waiting.Deadline = h.now.Add(1500 * time.Millisecond)
	h.q.Push(waiting)
	h.now = h.now.Add(time.Second)
	h.q.Expire()
	g.Expect(h.dropped).To(HaveKeyWithValue("waiting", message.ReasonDeadline))
}

// Guards against two suspect requests, each of which may crash the upstream, running at the same time.
func TestSuspectsRunOneAtATime(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{MaxConcurrency: 4}, sched.Priority{Share: 1})
	for range 2 {
		it := h.item(0, "suspect")
		it.Suspect = true
		h.q.Push(it)
	}
	h.push(1, 0, "other")
	g.Expect(h.started).To(Equal(map[string]int{"suspect": 1, "other": 1}))
	h.finishRunning(time.Millisecond)
	g.Expect(h.started["suspect"]).To(Equal(2))
}

// Guards against a limit that ignores queueing inside the engine.
func TestLimitFollowsEngineLatency(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{MaxConcurrency: 64}, sched.Priority{Share: 1})
	const batch = 12
	h.push(600, 0, "c")
	for range 400 {
		h.push(len(h.running), 0, "c")
		// The engine runs batch requests at once; further requests wait for the next batch.
		h.finishRunning(time.Duration((len(h.running)+batch-1)/batch) * 50 * time.Millisecond)
	}
	g.Expect(h.q.Stats().ConcurrencyLimit).To(And(BeNumerically(">=", batch-2), BeNumerically("<=", 4*batch)))
}

// Guards against lost and doubly handled requests: every item is started, dropped or cancelled exactly once.
func TestEveryItemIsHandledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sharedFIFO := rapid.Bool().Draw(t, "shared FIFO")
		h := newQueueHarness(sched.Config{QueueLimit: 6, MaxConcurrency: 3, SharedFIFO: sharedFIFO}, threePriorities...)
		handled := map[*sched.Item]int{}
		var all []*sched.Item
		cancelled := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := h.item(rapid.IntRange(0, 4).Draw(t, "priority"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"))
				it.Cost = rapid.IntRange(0, 100).Draw(t, "cost")
				it.Suspect = rapid.Bool().Draw(t, "suspect")
				it.Deadline = h.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
				start, drop := it.Start, it.Drop
				it.Start = func() { handled[it]++; start() }
				it.Drop = func(r message.Reason, d time.Duration) { handled[it]++; drop(r, d) }
				all = append(all, it)
				h.q.Push(it)
			},
			"cancel": func(t *rapid.T) {
				if len(all) > 0 && h.q.Cancel(rapid.SampledFrom(all).Draw(t, "item")) {
					cancelled++
				}
			},
			"step":   func(*rapid.T) { h.finishRunning(100 * time.Millisecond) },
			"expire": func(*rapid.T) { h.q.Expire() },
			"gate":   func(t *rapid.T) { h.q.SetOpen(rapid.Bool().Draw(t, "open"), message.ReasonNotServing) },
			"resize": func(t *rapid.T) { h.q.SetPriorities(threePriorities[:rapid.IntRange(1, 3).Draw(t, "n")]) },
			"": func(t *rapid.T) {
				stats := h.q.Stats()
				if stats.Queued > 6 || stats.InFlight > 3 || stats.InFlight != len(h.running) {
					t.Fatalf("bounds exceeded: %+v with %d running", stats, len(h.running))
				}
				if len(handled)+cancelled+stats.Queued != len(all) {
					t.Fatalf("%d handled, %d cancelled, %d queued of %d", len(handled), cancelled, stats.Queued, len(all))
				}
				for _, n := range handled {
					if n != 1 {
						t.Fatalf("item handled %d times", n)
					}
				}
			},
		})
	})
}

// BenchmarkPushDone measures Push, Stats and Done with about 500 waiting items.
func BenchmarkPushDone(b *testing.B) {
	var running []*sched.Item
	q := sched.New(sched.Config{MaxConcurrency: 8})
	q.SetPriorities(threePriorities)
	q.SetOpen(true, "")
	for i := 0; b.Loop(); i++ {
		it := &sched.Item{Priority: i % 3, Caller: fmt.Sprint("c", i%10), Weight: 1, Cost: 1 + i%100}
		it.Start = func() { running = append(running, it) }
		it.Drop = func(message.Reason, time.Duration) {}
		q.Push(it)
		if q.Stats().Queued > 500 {
			done := running[0]
			running = running[1:]
			q.Done(done, true)
		}
	}
}

// Guards against requests that are refused after a pause of the upstream because all requests that the pause held up were slow, and
// against a lasting slowdown that is taken for a pause.
func TestPauseDoesNotRefuseLaterRequests(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{}, sched.Priority{Share: 1})
	for i := range 150 {
		latency := 5 * time.Millisecond
		if i%50 == 49 {
			latency = 1200 * time.Millisecond
		}
		h.runUrgent(8, "fast", latency)
	}
	g.Expect(h.dropped).To(BeEmpty())
	for range 20 {
		h.runUrgent(8, "slow", time.Second)
	}
	g.Expect(h.started["slow"]).To(BeNumerically("<", 60))
}

// Guards against an estimate that is never corrected, because a request that is stuck counts as one that will correct it.
func TestStuckRequestDoesNotKeepAnOutdatedEstimate(t *testing.T) {
	g := NewWithT(t)
	h := newQueueHarness(sched.Config{}, sched.Priority{Share: 1})
	for range 20 {
		h.runUrgent(1, "slow", time.Second)
	}
	h.push(1, 0, "stuck")
	h.running = nil
	for range 1000 {
		h.runUrgent(1, "fast", 20*time.Millisecond)
	}
	g.Expect(h.started["fast"]).To(BeNumerically(">", 900))
}
