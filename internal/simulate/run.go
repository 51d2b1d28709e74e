package simulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/placement"
)

const (
	// reportInterval is the interval between load reports of an engine. Reports from other data centres arrive remoteReportDelay later.
	reportInterval    = 100 * time.Millisecond
	remoteReportDelay = 400 * time.Millisecond
	// workInterval is the interval at which an entry sends its outstanding work to the other entries of its data centre.
	workInterval = 40 * time.Millisecond
	// engineQueueLimit is the number of requests that may wait at an engine; it declines further ones.
	engineQueueLimit = 32
	// A caller waits for the first event for firstEventTargets times the target of its kind, but at least minFirstEventTimeout.
	firstEventTargets    = 4
	minFirstEventTimeout = 3200 * time.Millisecond
	// refusalPenalty is the fraction of its value that a request costs if its last attempt is refused.
	refusalPenalty = 0.3
	// maxEventGap is the longest gap between events of an answer that counts as in time.
	maxEventGap = 400 * time.Millisecond
	// An engine gets no new requests for drainTime before it loads a version. Loads in a data centre start swapInterval apart.
	drainTime    = 400 * time.Millisecond
	swapInterval = 650 * time.Millisecond
)

// simulation is the state of one run.
type simulation struct {
	scenario Scenario
	// rng draws the entry of each attempt. Each kind draws its arrivals from its own source in arrival, so that equal seeds give
	// equal arrivals however the requests are placed.
	rng     *rand.Rand
	arrival map[string]*rand.Rand
	now     time.Duration
	events  eventQueue
	// seq is the number of events scheduled so far.
	seq     int
	engines []*engine
	entries []*entry
	result  *Result
}

// startTime is the wall-clock time at the start of a run.
var startTime = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return startTime.Add(s.now) }

// schedule runs f at the given time, or at the present time if that has passed. Events of the same time run in the order in which they
// were scheduled.
func (s *simulation) schedule(when time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{when: max(when, s.now), seq: s.seq, run: f})
}

// event is a function that runs at a time of the simulation; seq orders events of the same time.
type event struct {
	when time.Duration
	seq  int
	run  func()
}

// eventQueue is a heap of events; the earliest is first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].when < q[j].when || q[i].when == q[j].when && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// entry places requests with the production placement and admission code.
type entry struct {
	sim        *simulation
	dataCentre int
	tracker    *placement.Tracker
	limiter    *placement.PriorityLimiter
	// peerWork holds the outstanding work that the other entries of the data centre have published.
	peerWork *loadview.WorkTable
	reports  map[*engine]report
}

// report is the latest load report of an engine that an entry has received.
type report struct {
	running, waiting int
	sentAt           time.Duration
}

// request is one request of a caller, over all its attempts.
type request struct {
	sim        *simulation
	kind       *Kind
	dataCentre int
	// prompt and answer are token counts; after an interruption, answer is what remains.
	prompt       float64
	answer       float64
	arrivedAt    time.Duration
	attempts     int
	firstEventAt time.Duration
	lastEventAt  time.Duration
	// late is set when the first event missed the target or a later one followed after more than maxEventGap.
	late  bool
	ended bool
	// attempt is the present attempt at an engine, nil before the first.
	attempt *placement.Attempt
	entry   *entry
}

// Run simulates a scenario. Equal seeds give equal arrivals.
func Run(scenario Scenario, seed uint64) *Result {
	// The second word of the seed makes rng independent of the arrivals of the kinds, whose second words are 1, 2 and so on.
	// 0x9e3779b97f4a7c15 is 2^64 divided by the golden ratio.
	s := &simulation{scenario: scenario, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), result: newResult(scenario),
		arrival: map[string]*rand.Rand{}}
	s.build()
	for i := range scenario.Kinds {
		s.arrival[scenario.Kinds[i].Name] = rand.New(rand.NewPCG(seed, uint64(i)+1))
		s.scheduleArrival(&s.scenario.Kinds[i])
	}
	s.scheduleEvery(reportInterval, s.publishReports)
	s.scheduleEvery(workInterval, s.publishWork)
	// The deadline of the last requests, which is 6 s after their arrival in the named scenarios, passes before the end.
	end := scenario.Duration + 8*time.Second
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.when > end {
			break
		}
		s.now = e.when
		e.run()
	}
	return s.result
}

// build creates the engines and entries and schedules the loads of a new version.
func (s *simulation) build() {
	total := s.scenario.EnginesPerDataCentre*s.scenario.DataCentres + s.scenario.AddedEngines
	for i := range total {
		e := &engine{id: fmt.Sprintf("engine-%d", i), dataCentre: i % s.scenario.DataCentres, spec: &s.scenario.Engine,
			queueLimit: engineQueueLimit}
		if i >= s.scenario.EnginesPerDataCentre*s.scenario.DataCentres {
			e.availableAt = s.scenario.EnginesAddedAt
		}
		s.engines = append(s.engines, e)
		if s.scenario.VersionSwapAt > 0 {
			loadStart := s.scenario.VersionSwapAt + time.Duration(i/s.scenario.DataCentres)*swapInterval
			s.schedule(loadStart-drainTime, func() { e.availableAt = loadStart + s.scenario.Engine.LoadTime })
			s.schedule(loadStart, func() { s.interrupt(e) })
			s.schedule(loadStart+s.scenario.Engine.LoadTime, func() { s.startPasses(e) })
		}
	}
	for i := range s.scenario.EntriesPerDataCentre * s.scenario.DataCentres {
		s.entries = append(s.entries, &entry{sim: s, dataCentre: i % s.scenario.DataCentres, tracker: placement.NewTracker(s.clock),
			limiter: placement.NewPriorityLimiter(s.clock), peerWork: loadview.NewWorkTable(s.clock), reports: map[*engine]report{}})
	}
}

// interrupt ends all jobs of an engine. Their requests resume at other engines with the tokens that remain.
func (s *simulation) interrupt(e *engine) {
	interrupted := append(append([]*job(nil), e.running...), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range interrupted {
		if !j.done {
			j.done = true
			j.req.attempt.End(placement.Failed)
			j.req.answer = j.answerRemaining
			j.req.place(true)
		}
	}
}

// scheduleEvery runs f at intervals until 6 s after the scenario's Duration, within which all requests arrive. In the named scenarios the
// deadline of every request has passed by then.
func (s *simulation) scheduleEvery(interval time.Duration, f func()) {
	s.schedule(s.now+interval, func() {
		f()
		if s.now < s.scenario.Duration+6*time.Second {
			s.scheduleEvery(interval, f)
		}
	})
}

// publishReports sends the load reports of all engines to all entries.
func (s *simulation) publishReports() {
	for _, e := range s.engines {
		r := report{running: e.reportedRunning, waiting: e.reportedWaiting, sentAt: s.now}
		for _, n := range s.entries {
			if n.dataCentre == e.dataCentre {
				n.reports[e] = r
			} else {
				s.schedule(s.now+remoteReportDelay, func() { n.reports[e] = r })
			}
		}
	}
}

// publishWork sends the outstanding work of each entry to the other entries of its data centre.
func (s *simulation) publishWork() {
	for i, n := range s.entries {
		work := n.tracker.Export()
		for _, other := range s.entries {
			if other != n && other.dataCentre == n.dataCentre {
				other.peerWork.Apply(&message.EntryWork{NodeID: fmt.Sprint(i), Work: work})
			}
		}
	}
}

// scheduleArrival schedules the next request of a kind.
func (s *simulation) scheduleArrival(k *Kind) {
	rate := k.PerSecond * s.scenario.Load * startUpFactor(s.now)
	for _, b := range s.scenario.Bursts {
		if (b.Kind == "" || b.Kind == k.Name) && s.now >= b.From && s.now < b.To {
			rate *= b.Factor
		}
	}
	rng := s.arrival[k.Name]
	next := s.now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
	if next > s.scenario.Duration {
		return
	}
	s.schedule(next, func() {
		r := &request{sim: s, kind: k, dataCentre: rng.IntN(s.scenario.DataCentres), arrivedAt: s.now,
			prompt: drawTokens(rng, k.MeanPromptTokens), answer: drawTokens(rng, k.MeanAnswerTokens)}
		s.result.recordArrival(r)
		r.startAttempt()
		s.scheduleArrival(k)
	})
}

// startUpFactor returns the factor of the load at the given time of a run. It rises to 1 in steps over the first 9 s.
func startUpFactor(at time.Duration) float64 {
	switch {
	case at < 6*time.Second:
		return 0.55
	case at < 7500*time.Millisecond:
		return 0.7
	case at < 9*time.Second:
		return 0.85
	default:
		return 1
	}
}

// drawTokens draws a token count from a log-normal distribution with the given mean, caps it at three times the mean, and adds 1, so
// that every count is above 1.
func drawTokens(rng *rand.Rand, mean float64) float64 {
	const spread = 0.8 // The standard deviation of the logarithm.
	return min(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2), 3*mean) + 1
}

// startAttempt sends the request to a random entry of the caller's data centre.
func (r *request) startAttempt() {
	r.attempts++
	n := r.sim.rng.IntN(r.sim.scenario.EntriesPerDataCentre)
	r.entry = r.sim.entries[r.dataCentre+n*r.sim.scenario.DataCentres]
	timeout := max(firstEventTargets*r.kind.Target, minFirstEventTimeout)
	r.sim.schedule(r.sim.now+timeout, func() {
		if r.firstEventAt == 0 && !r.ended {
			r.abandon()
		}
	})
	r.sim.schedule(r.arrivedAt+r.kind.Deadline, r.abandon)
	r.place(false)
}

// abandon ends a request whose caller has reached its timeout or deadline.
func (r *request) abandon() {
	if r.ended {
		return
	}
	r.ended = true
	if r.attempt != nil {
		r.attempt.End(placement.Abandoned)
	}
	r.sim.result.recordFailure(r)
}

// place chooses an engine for the request and queues it there, or refuses it. A request that finds the queue of its engine full is
// refused with a retry after one second. resumed is set after an interruption: the request must then be placed.
func (r *request) place(resumed bool) {
	if r.ended {
		return
	}
	s := r.sim
	if r.kind.Name == s.scenario.ProtectedKind {
		r.entry.limiter.Protect(r.kind.Name)
	}
	q := placement.Query{Engine: &s.scenario.Engine, PromptTokens: r.prompt, Target: r.kind.Target, Elapsed: s.now - r.arrivedAt,
		Remaining: r.arrivedAt + r.kind.Deadline - s.now, MustPlace: resumed, Returning: r.attempts > 1,
		MaxWait: r.entry.limiter.MaxWait(r.kind.Name, r.kind.Priority, s.shortestTarget())}
	decision := placement.Choose(q, r.entry.candidates(r.rank()))
	if decision.Upstream == nil {
		r.refuse(decision.RetryAfter)
		return
	}
	for _, e := range s.engines {
		if e.id != decision.Upstream.ID {
			continue
		}
		j := &job{req: r, rank: r.rank(), arrived: s.now, promptRemaining: r.prompt, answerRemaining: r.answer}
		if !e.enqueue(j) {
			r.refuse(time.Second)
			return
		}
		r.attempt = r.entry.tracker.Begin(e.id, r.rank(), r.prompt)
		s.startPasses(e)
	}
}

// rank returns the rank of the request in the queues; lower ranks are served first. As in package relay, it is 3 times the priority of
// the customer plus that of the route. The simulation does not distinguish customers: all have priority 1, the middle one.
func (r *request) rank() int { return 3 + r.kind.Priority }

// shortestTarget returns the shortest target of any kind.
func (s *simulation) shortestTarget() time.Duration {
	out := s.scenario.Kinds[0].Target
	for _, k := range s.scenario.Kinds {
		out = min(out, k.Target)
	}
	return out
}

// refuse ends a request whose second attempt was refused or whose deadline has passed. Otherwise it schedules the second attempt after
// retryAfter, but at most after a third of the time until the deadline.
func (r *request) refuse(retryAfter time.Duration) {
	remaining := r.arrivedAt + r.kind.Deadline - r.sim.now
	r.entry.limiter.Record(r.kind.Name, placement.Finished{Returning: r.attempts > 1})
	if r.attempts > 1 || remaining <= 0 {
		r.ended = true
		r.sim.result.recordRefusal(r)
		return
	}
	r.sim.schedule(r.sim.now+min(retryAfter, remaining/3), r.startAttempt)
}

// startPasses runs passes at an idle engine until it has no jobs. Before availableAt an engine starts a pass only if it has running jobs,
// which continue during the drain before a swap.
func (s *simulation) startPasses(e *engine) {
	if e.busy || s.now < e.availableAt && len(e.running) == 0 {
		return
	}
	duration, finish, ok := e.startPass()
	if !ok {
		return
	}
	e.busy = true
	s.schedule(s.now+duration, func() {
		e.busy = false
		finish(s.now)
		s.startPasses(e)
	})
}

// recordEvent delivers an event of the answer to the caller, or ends the job if the request has ended.
func (r *request) recordEvent(j *job, now time.Duration) {
	if r.ended {
		j.done = true
		return
	}
	if r.firstEventAt == 0 {
		r.firstEventAt = now
		r.late = now-r.arrivedAt > r.kind.Target
	} else if now-r.lastEventAt > maxEventGap {
		r.late = true
	}
	r.lastEventAt = now
	r.attempt.RecordStart()
}

// complete ends a request after the last event of its answer.
func (r *request) complete(_ *job, _ time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	r.attempt.End(placement.Succeeded)
	r.entry.limiter.Record(r.kind.Name, placement.Finished{Returning: r.attempts > 1, Served: true,
		InTime: r.firstEventAt-r.arrivedAt <= r.kind.Target})
	r.sim.result.recordAnswer(r)
}

// candidates describes the available engines as the entry sees them: by their latest load reports, its own outstanding work and the
// work that other entries have published.
func (n *entry) candidates(rank int) []placement.Candidate {
	var out []placement.Candidate
	for _, e := range n.sim.engines {
		if n.sim.now < e.availableAt {
			continue
		}
		r, hasReport := n.reports[e]
		c := placement.Candidate{Upstream: &catalog.Upstream{ID: e.id, Slots: n.sim.scenario.Engine.Slots},
			Local: e.dataCentre == n.dataCentre,
			Work: placement.Work{HasReport: hasReport, Running: r.running, Waiting: r.waiting,
				ReportAge: n.sim.now - r.sentAt, Slowdown: 1}}
		n.tracker.AddOwnWork(&c.Work, e.id, rank, startTime.Add(r.sentAt))
		others := n.peerWork.Total(e.id)
		c.Work.OthersRunning, c.Work.OthersWaiting, c.Work.OthersTokens = others.Running, others.Waiting, float64(others.WaitingTokens)
		out = append(out, c)
	}
	return out
}
