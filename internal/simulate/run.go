package simulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

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
	// refusalPenalty is the fraction of its value that a request costs if its last attempt is refused.
	refusalPenalty = 0.3
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
	// turns draws which engines are slow, independently of the placement.
	turns  *rand.Rand
	now    time.Duration
	events eventQueue
	// seq is the number of events scheduled so far.
	seq     int
	engines []*engine
	entries []*entry
	result  *Result
}

// startTime is the wall-clock time at the start of a run.
var startTime = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return startTime.Add(s.now) }

// Run simulates a scenario. Equal seeds give equal arrivals.
func Run(scenario Scenario, seed uint64) *Result {
	// The second word of the seed makes rng independent of the arrivals of the kinds, whose second words are 1, 2 and so on.
	// 0x9e3779b97f4a7c15 is 2^64 divided by the golden ratio.
	s := &simulation{scenario: scenario, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), result: newResult(scenario),
		arrival: map[string]*rand.Rand{}, turns: rand.New(rand.NewPCG(seed, math.MaxUint64))}
	s.build()
	for i := range scenario.Kinds {
		s.arrival[scenario.Kinds[i].Name] = rand.New(rand.NewPCG(seed, uint64(i)+1))
		s.scheduleArrival(&s.scenario.Kinds[i])
	}
	s.scheduleEvery(reportInterval, s.publishReports)
	s.scheduleEvery(workInterval, s.publishWork)
	// The deadline of the last requests, which is 6 s after their arrival in the named scenarios, passes before the end.
	s.runUntil(scenario.Duration + 8*time.Second)
	return s.result
}

// build creates the engines and entries and schedules the loads of a new version.
func (s *simulation) build() {
	total := s.scenario.EnginesPerDataCentre*s.scenario.DataCentres + s.scenario.AddedEngines
	for i := range total {
		e := &engine{id: fmt.Sprintf("engine-%d", i), dataCentre: i % s.scenario.DataCentres, spec: &s.scenario.Engine,
			queueLimit: engineQueueLimit, slowdown: 1}
		s.scheduleTurns(e)
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
	for i := range s.scenario.EntriesPerDataCentre*s.scenario.DataCentres + s.scenario.AddedEntries {
		s.entries = append(s.entries, &entry{sim: s, dataCentre: i % s.scenario.DataCentres, tracker: placement.NewTracker(s.clock),
			limiter: placement.NewPriorityLimiter(s.clock), peerWork: loadview.NewWorkTable(s.clock), reports: map[*engine]report{},
			slowness: placement.NewSlownessTable(s.clock, nil)})
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

// publishReports sends the load reports of all engines to all entries.
func (s *simulation) publishReports() {
	var work map[string]message.UpstreamWork
	remoteDelay := remoteReportDelay
	if s.scenario.Links.Remote > 0 {
		remoteDelay, work = s.scenario.Links.Remote, s.workAtEngines()
	}
	for _, e := range s.engines {
		r := report{running: e.reportedRunning, waiting: e.reportedWaiting, sentAt: s.now, slowdown: e.slowdown}
		remote := r
		if work != nil {
			remote.entryWork, remote.remote = work[e.id], true
		}
		for _, n := range s.entries {
			if n.dataCentre == e.dataCentre {
				s.schedule(s.now+s.scenario.Links.Local, func() { n.reports[e] = r })
			} else {
				s.schedule(s.now+remoteDelay, func() { n.reports[e] = remote })
			}
		}
	}
}

// workAtEngines returns the work that the entries of the data centre of each engine have in progress there.
func (s *simulation) workAtEngines() map[string]message.UpstreamWork {
	out := map[string]message.UpstreamWork{}
	dataCentres := map[string]int{}
	for _, e := range s.engines {
		dataCentres[e.id] = e.dataCentre
	}
	for _, n := range s.entries {
		for _, w := range n.tracker.Export() {
			if dataCentres[w.ID] == n.dataCentre {
				out[w.ID] = out[w.ID].Plus(w)
			}
		}
	}
	return out
}

// scheduleTurns makes an engine slow in turns from the start of the run.
func (s *simulation) scheduleTurns(e *engine) {
	turns := s.scenario.Slow
	if turns.Interval <= 0 {
		return
	}
	var turn func()
	turn = func() {
		e.slowdown = 1
		if s.turns.Float64() < turns.Share {
			e.slowdown = turns.Factor
		}
		s.schedule(s.now+turns.Interval, turn)
	}
	s.schedule(time.Duration(s.turns.Float64()*float64(turns.Interval)), turn)
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

// shortestTarget returns the shortest target of any kind.
func (s *simulation) shortestTarget() time.Duration {
	out := s.scenario.Kinds[0].Target
	for _, k := range s.scenario.Kinds {
		out = min(out, k.Target)
	}
	return out
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
