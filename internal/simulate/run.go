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
	// reportInterval is the time between reports, remoteDelay how much older those of other data centres are.
	reportInterval = 100 * time.Millisecond
	remoteDelay    = 400 * time.Millisecond
	// workInterval is the time between statements of an entry's work.
	workInterval = 40 * time.Millisecond
	// engineQueue is the number of requests that wait at an engine before it declines.
	engineQueue = 32
	// patience is how many targets a caller waits for the first event, at least minPatience.
	patience    = 4
	minPatience = 3200 * time.Millisecond
	// refusedAgain is the part of its worth that a request costs whose second attempt is refused too.
	refusedAgain = 0.3
	// maxPause is the longest pause between events of an answer in time.
	maxPause = 400 * time.Millisecond
	// drain is the time without new requests before a load, turn that between two loads in a data centre.
	drain = 400 * time.Millisecond
	turn  = 650 * time.Millisecond
)

// world is one run.
type world struct {
	day Scenario
	// rng draws what entries and callers do; arrivals draw from sources of their own, so that equal seeds give equal load.
	rng     *rand.Rand
	arrival map[string]*rand.Rand
	now     time.Duration
	events  eventQueue
	seq     int
	engines []*engine
	entries []*entry
	tally   *Result
}

// epoch is the wall clock at the start of a day.
var epoch = time.Unix(1_000_000, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// at schedules f.
func (w *world) at(when time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{when: max(when, w.now), seq: w.seq, run: f})
}

type event struct {
	when time.Duration
	seq  int
	run  func()
}

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

// entry decides with the product's modules.
type entry struct {
	w       *world
	centre  int
	tracker *placement.Tracker
	floors  *placement.PriorityLimiter
	others  *loadview.WorkTable
	reports map[*engine]report
}

type report struct {
	running, waiting int
	at               time.Duration
}

// request is one request of a caller, with its attempts.
type request struct {
	w       *world
	kind    *Kind
	centre  int
	prompt  float64
	answer  float64
	asked   time.Duration
	attempt int
	first   time.Duration
	last    time.Duration
	late    bool
	ended   bool
	track   *placement.Attempt
	entry   *entry
}

// Run plays a day. Equal seeds give equal days.
func Run(day Scenario, seed uint64) *Result {
	w := &world{day: day, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), tally: newResult(day),
		arrival: map[string]*rand.Rand{}}
	w.build()
	for i := range day.Kinds {
		w.arrival[day.Kinds[i].Name] = rand.New(rand.NewPCG(seed, uint64(i)+1))
		w.arrive(&w.day.Kinds[i])
	}
	w.every(reportInterval, w.shareReports)
	w.every(workInterval, w.shareWork)
	end := day.Duration + 8*time.Second
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.when > end {
			break
		}
		w.now = e.when
		e.run()
	}
	return w.tally
}

func (w *world) build() {
	total := w.day.EnginesPerDataCentre*w.day.DataCentres + w.day.AddedEngines
	for i := range total {
		e := &engine{id: fmt.Sprintf("engine-%d", i), centre: i % w.day.DataCentres, spec: &w.day.Engine, queueLimit: engineQueue}
		if i >= w.day.EnginesPerDataCentre*w.day.DataCentres {
			e.loaded = w.day.EnginesAddedAt
		}
		w.engines = append(w.engines, e)
		if w.day.VersionSwapAt > 0 {
			starts := w.day.VersionSwapAt + time.Duration(i/w.day.DataCentres)*turn
			w.at(starts-drain, func() { e.loaded = starts + w.day.Engine.LoadTime })
			w.at(starts, func() { w.interrupt(e) })
			w.at(starts+w.day.Engine.LoadTime, func() { w.kick(e) })
		}
	}
	for i := range w.day.EntriesPerDataCentre * w.day.DataCentres {
		w.entries = append(w.entries, &entry{w: w, centre: i % w.day.DataCentres, tracker: placement.NewTracker(w.clock),
			floors: placement.NewPriorityLimiter(w.clock), others: loadview.NewWorkTable(w.clock), reports: map[*engine]report{}})
	}
}

// interrupt cuts what runs at an engine; the streams go on elsewhere.
func (w *world) interrupt(e *engine) {
	cut := append(append([]*job(nil), e.running...), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range cut {
		if !j.gone {
			j.gone = true
			j.req.track.End(placement.Failed)
			j.req.answer = j.unwritten
			j.req.place(true)
		}
	}
}

func (w *world) every(interval time.Duration, f func()) {
	w.at(w.now+interval, func() {
		f()
		if w.now < w.day.Duration+6*time.Second {
			w.every(interval, f)
		}
	})
}

func (w *world) shareReports() {
	for _, e := range w.engines {
		r := report{running: e.reportedRunning, waiting: e.reportedWaiting, at: w.now}
		for _, n := range w.entries {
			if n.centre == e.centre {
				n.reports[e] = r
			} else {
				w.at(w.now+remoteDelay, func() { n.reports[e] = r })
			}
		}
	}
}

func (w *world) shareWork() {
	for i, n := range w.entries {
		work := n.tracker.Export()
		for _, other := range w.entries {
			if other != n && other.centre == n.centre {
				other.others.Apply(&message.EntryWork{NodeID: fmt.Sprint(i), Work: work})
			}
		}
	}
}

// arrive schedules the next request of a kind.
func (w *world) arrive(k *Kind) {
	rate := k.PerSecond * w.day.Load * profile(w.now)
	for _, b := range w.day.Bursts {
		if (b.Kind == "" || b.Kind == k.Name) && w.now >= b.From && w.now < b.To {
			rate *= b.Factor
		}
	}
	rng := w.arrival[k.Name]
	next := w.now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
	if next > w.day.Duration {
		return
	}
	w.at(next, func() {
		r := &request{w: w, kind: k, centre: rng.IntN(w.day.DataCentres), asked: w.now, prompt: size(rng, k.MeanPromptTokens),
			answer: size(rng, k.MeanAnswerTokens)}
		w.tally.asked(r)
		r.send()
		w.arrive(k)
	})
}

// profile is the load over the first seconds of a day.
func profile(at time.Duration) float64 {
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

// size draws a token count with a long tail, at most three times the mean.
func size(rng *rand.Rand, mean float64) float64 {
	const spread = 0.8
	return min(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2), 3*mean) + 1
}

// send is one attempt of the caller, at an entry of its data centre.
func (r *request) send() {
	r.attempt++
	n := r.w.rng.IntN(r.w.day.EntriesPerDataCentre)
	r.entry = r.w.entries[r.centre+n*r.w.day.DataCentres]
	limit := max(patience*r.kind.Target, minPatience)
	r.w.at(r.w.now+limit, func() {
		if r.first == 0 && !r.ended {
			r.leave()
		}
	})
	r.w.at(r.asked+r.kind.Deadline, r.leave)
	r.place(false)
}

// leave ends a request whose caller has waited for too long.
func (r *request) leave() {
	if r.ended {
		return
	}
	r.ended = true
	if r.track != nil {
		r.track.End(placement.Abandoned)
	}
	r.w.tally.failed(r)
}

// place decides and hands the request to an engine.
func (r *request) place(begun bool) {
	if r.ended {
		return
	}
	w := r.w
	q := placement.Query{Engine: &w.day.Engine, PromptTokens: r.prompt, Target: r.kind.Target, Elapsed: w.now - r.asked,
		Remaining: r.asked + r.kind.Deadline - w.now, MustPlace: begun,
		MaxWait: r.entry.floors.MaxWait(r.kind.Name, r.kind.Priority, w.tightest())}
	d := placement.Choose(q, r.entry.candidates(r.rank()))
	if d.Upstream == nil {
		r.refuse(d.RetryAfter)
		return
	}
	for _, e := range w.engines {
		if e.id != d.Upstream.ID {
			continue
		}
		j := &job{req: r, rank: r.rank(), arrived: w.now, unread: r.prompt, unwritten: r.answer}
		if !e.offer(j) {
			r.refuse(time.Second)
			return
		}
		r.track = r.entry.tracker.Begin(e.id, r.rank(), r.prompt)
		w.kick(e)
	}
}

func (r *request) rank() int { return 3 + r.kind.Priority }

func (w *world) tightest() time.Duration {
	out := w.day.Kinds[0].Target
	for _, k := range w.day.Kinds {
		out = min(out, k.Target)
	}
	return out
}

func (r *request) refuse(after time.Duration) {
	left := r.asked + r.kind.Deadline - r.w.now
	r.entry.floors.Record(r.kind.Name, false, false)
	if r.attempt > 1 || left <= 0 {
		r.ended = true
		r.w.tally.refused(r)
		return
	}
	r.w.at(r.w.now+min(after, left/3), r.send)
}

// kick starts passes at an engine that is idle.
func (w *world) kick(e *engine) {
	if e.busy || w.now < e.loaded && len(e.running) == 0 {
		return
	}
	took, finish, ok := e.plan()
	if !ok {
		return
	}
	e.busy = true
	w.at(w.now+took, func() {
		e.busy = false
		finish(w.now)
		w.kick(e)
	})
}

// event passes on an event of an answer.
func (r *request) event(j *job, now time.Duration) {
	if r.ended {
		j.gone = true
		return
	}
	if r.first == 0 {
		r.first = now
		r.late = now-r.asked > r.kind.Target
	} else if now-r.last > maxPause {
		r.late = true
	}
	r.last = now
	r.track.RecordStart()
}

// complete ends a request with its last event.
func (r *request) complete(_ *job, _ time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	r.track.End(placement.Succeeded)
	r.entry.floors.Record(r.kind.Name, true, r.first-r.asked <= r.kind.Target)
	r.w.tally.served(r)
}

// candidates describes the engines as the entry sees them.
func (n *entry) candidates(rank int) []placement.Candidate {
	var out []placement.Candidate
	for _, e := range n.w.engines {
		if n.w.now < e.loaded {
			continue
		}
		r, known := n.reports[e]
		c := placement.Candidate{Upstream: &catalog.Upstream{ID: e.id, Slots: n.w.day.Engine.Slots}, Local: e.centre == n.centre,
			Work: placement.Work{HasReport: known, Running: r.running, Waiting: r.waiting, ReportAge: n.w.now - r.at, Slowdown: 1}}
		n.tracker.AddOwnWork(&c.Work, e.id, rank, epoch.Add(r.at))
		others := n.others.Total(e.id)
		c.Work.OthersRunning, c.Work.OthersWaiting, c.Work.OthersTokens = others.Running, others.Waiting, float64(others.WaitingTokens)
		out = append(out, c)
	}
	return out
}
