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
	b := &queueHarness{
		now: time.Unix(1000, 0), started: map[string]int{}, costByPriority: map[int]float64{}, dropped: map[string]message.Reason{},
	}
	cfg.Now = func() time.Time { return b.now }
	b.q = sched.New(cfg)
	b.q.SetPriorities(priorities)
	b.q.SetOpen(true, "")
	return b
}

func (b *queueHarness) item(priority int, caller string) *sched.Item {
	it := &sched.Item{Priority: priority, Caller: caller, Weight: 1, Cost: 10}
	it.Start = func() {
		b.running = append(b.running, it)
		b.started[caller]++
		b.costByPriority[priority] += float64(it.Cost)
	}
	it.Drop = func(reason message.Reason, _ time.Duration) { b.dropped[caller] = reason }
	return it
}

func (b *queueHarness) push(n, priority int, caller string) {
	for range n {
		b.q.Push(b.item(priority, caller))
	}
}

// finishRunning advances the clock by d and completes every running request.
func (b *queueHarness) finishRunning(d time.Duration) {
	b.now = b.now.Add(d)
	done := b.running
	b.running = nil
	for _, it := range done {
		b.q.FirstByte(it)
		b.q.Done(it, true)
	}
}

var threePriorities = []sched.Priority{{Share: 0.7, Floor: 0.1}, {Share: 0.2, Floor: 0.1}, {Share: 0.1, Floor: 0.1}}

// Guards against starvation of a priority when any priority floods the queue.
func TestFloorsHoldInFloodOfAnyPriority(t *testing.T) {
	for flooder := range threePriorities {
		t.Run(fmt.Sprint(flooder), func(t *testing.T) {
			g := NewWithT(t)
			b := newQueueHarness(sched.Config{QueueLimit: 200, MaxConcurrency: 8}, threePriorities...)
			for range 500 {
				for p := range threePriorities {
					b.push(8, p, fmt.Sprint("caller", p))
				}
				b.push(80, flooder, "flood")
				b.finishRunning(10 * time.Millisecond)
			}
			total := b.costByPriority[0] + b.costByPriority[1] + b.costByPriority[2]
			for p, params := range threePriorities {
				g.Expect(b.costByPriority[p]/total).To(BeNumerically(">=", 0.9*params.Floor), "priority %d", p)
			}
			g.Expect(b.costByPriority[0] / total).To(BeNumerically(">=", 0.65))
		})
	}
}

// Guards against less urgent requests overtaking urgent ones that are within their reserved share.
func TestUrgentPriorityStartsFirstWithinItsShare(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{MaxConcurrency: 1}, sched.Priority{Share: 0.9}, sched.Priority{Share: 0.1})
	b.push(1, 1, "running")
	b.push(5, 1, "later")
	b.push(3, 0, "urgent")
	for range 3 {
		b.finishRunning(10 * time.Millisecond)
	}
	g.Expect(b.started["urgent"]).To(Equal(3))
	g.Expect(b.started["later"]).To(BeZero())
}

// Guards against idle capacity while only requests of the least urgent priority wait.
func TestQueueIsWorkConserving(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{MaxConcurrency: 4}, threePriorities...)
	b.push(20, 2, "only")
	g.Expect(b.running).To(HaveLen(4))
}

// Guards against one caller that sends 20 requests per round crowding out nine that send one every other round.
func TestSmallCallersAreServedBesideLargeOne(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{QueueLimit: 100, MaxConcurrency: 10}, sched.Priority{Share: 1})
	offered := 0
	for round := range 1000 {
		b.push(20, 0, "large")
		for c := range 9 {
			if round%2 == 0 {
				b.push(1, 0, fmt.Sprint("small", c))
			}
		}
		offered += (round + 1) % 2
		b.finishRunning(10 * time.Millisecond)
	}
	for c := range 9 {
		g.Expect(b.started[fmt.Sprint("small", c)]).To(BeNumerically(">=", offered*99/100))
	}
	g.Expect(b.started["large"]).To(BeNumerically(">", 5*offered))
}

// Guards against a full queue dropping an urgent request, or one of a caller with a small backlog.
func TestFullQueueEvictsFromLargestBacklogOfLeastUrgentPriority(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{QueueLimit: 10, MaxConcurrency: 1}, threePriorities...)
	b.push(1, 2, "running")
	b.push(8, 2, "large")
	b.push(2, 2, "small")
	b.push(1, 0, "urgent")
	g.Expect(b.dropped).To(Equal(map[string]message.Reason{"large": message.ReasonQueueFull}))
	g.Expect(b.q.Stats().QueuedByPriority).To(Equal([]int{1, 0, 9}))
}

// Guards against starting requests that can no longer meet their deadline or first-byte target, and against dropping every request
// because of an outdated estimate.
func TestDropsItemsThatCannotMeetTheirDeadlines(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{MaxConcurrency: 2}, sched.Priority{Share: 1})
	b.push(2, 0, "warm-up")
	b.finishRunning(time.Second)
	b.push(1, 0, "running")
	late := b.item(0, "late")
	late.FirstByteTarget = b.now.Add(500 * time.Millisecond)
	b.q.Push(late)
	g.Expect(b.dropped).To(HaveKeyWithValue("late", message.ReasonDeadline))
	b.finishRunning(time.Second)
	probe := b.item(0, "probe")
	probe.FirstByteTarget = b.now.Add(500 * time.Millisecond)
	b.q.Push(probe)
	g.Expect(b.started["probe"]).To(Equal(1))
	b.push(1, 0, "running")
	waiting := b.item(0, "waiting")
	waiting.Deadline = b.now.Add(1500 * time.Millisecond)
	b.q.Push(waiting)
	b.now = b.now.Add(time.Second)
	b.q.Expire()
	g.Expect(b.dropped).To(HaveKeyWithValue("waiting", message.ReasonDeadline))
}

// Guards against two suspect requests, each of which may crash the upstream, running at the same time.
func TestSuspectsRunOneAtATime(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{MaxConcurrency: 4}, sched.Priority{Share: 1})
	for range 2 {
		it := b.item(0, "suspect")
		it.Suspect = true
		b.q.Push(it)
	}
	b.push(1, 0, "other")
	g.Expect(b.started).To(Equal(map[string]int{"suspect": 1, "other": 1}))
	b.finishRunning(time.Millisecond)
	g.Expect(b.started["suspect"]).To(Equal(2))
}

// Guards against a limit that ignores queueing inside the engine.
func TestLimitFollowsEngineLatency(t *testing.T) {
	g := NewWithT(t)
	b := newQueueHarness(sched.Config{MaxConcurrency: 64}, sched.Priority{Share: 1})
	const batch = 12
	b.push(600, 0, "c")
	for range 400 {
		b.push(len(b.running), 0, "c")
		// The engine runs batch requests at once; further requests wait for the next batch.
		b.finishRunning(time.Duration((len(b.running)+batch-1)/batch) * 50 * time.Millisecond)
	}
	g.Expect(b.q.Stats().ConcurrencyLimit).To(And(BeNumerically(">=", batch-2), BeNumerically("<=", 4*batch)))
}

// Guards against lost and doubly handled requests: every item is started, dropped or cancelled exactly once.
func TestEveryItemIsHandledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sharedFIFO := rapid.Bool().Draw(t, "shared FIFO")
		b := newQueueHarness(sched.Config{QueueLimit: 6, MaxConcurrency: 3, SharedFIFO: sharedFIFO}, threePriorities...)
		handled := map[*sched.Item]int{}
		var all []*sched.Item
		cancelled := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := b.item(rapid.IntRange(0, 4).Draw(t, "priority"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"))
				it.Cost = rapid.IntRange(0, 100).Draw(t, "cost")
				it.Suspect = rapid.Bool().Draw(t, "suspect")
				it.Deadline = b.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
				start, drop := it.Start, it.Drop
				it.Start = func() { handled[it]++; start() }
				it.Drop = func(r message.Reason, d time.Duration) { handled[it]++; drop(r, d) }
				all = append(all, it)
				b.q.Push(it)
			},
			"cancel": func(t *rapid.T) {
				if len(all) > 0 && b.q.Cancel(rapid.SampledFrom(all).Draw(t, "item")) {
					cancelled++
				}
			},
			"step":   func(*rapid.T) { b.finishRunning(100 * time.Millisecond) },
			"expire": func(*rapid.T) { b.q.Expire() },
			"gate":   func(t *rapid.T) { b.q.SetOpen(rapid.Bool().Draw(t, "open"), message.ReasonNotServing) },
			"resize": func(t *rapid.T) { b.q.SetPriorities(threePriorities[:rapid.IntRange(1, 3).Draw(t, "n")]) },
			"": func(t *rapid.T) {
				stats := b.q.Stats()
				if stats.Queued > 6 || stats.InFlight > 3 || stats.InFlight != len(b.running) {
					t.Fatalf("bounds exceeded: %+v with %d running", stats, len(b.running))
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

func BenchmarkPushPop(b *testing.B) {
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
