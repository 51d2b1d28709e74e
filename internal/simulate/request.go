package simulate

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/placement"
)

const (
	// A caller waits for the first event for firstEventTargets times the target of its kind, but at least minFirstEventTimeout.
	firstEventTargets    = 4
	minFirstEventTimeout = 3200 * time.Millisecond
	// maxEventGap is the longest gap between events of an answer that counts as in time.
	maxEventGap = 400 * time.Millisecond
)

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
	// lateFirst is set when the first event missed the target, latePause when a later one followed after more than maxEventGap.
	lateFirst, latePause bool
	ended                bool
	// found is the number of requests that the entry knew at the engine of the last placement.
	found int
	// predicted is the time to the first event that was predicted there, local is set if the engine is in the data centre of the entry.
	predicted time.Duration
	local     bool
	// attempt is the present attempt at an engine, nil before the first.
	attempt *placement.Attempt
	entry   *entry
}

// startAttempt sends the request to a random entry of the caller's data centre.
func (r *request) startAttempt() {
	r.attempts++
	dataCentres := r.sim.scenario.DataCentres
	entries := (len(r.sim.entries) - r.dataCentre + dataCentres - 1) / dataCentres
	r.entry = r.sim.entries[r.dataCentre+r.sim.rng.IntN(entries)*dataCentres]
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
	candidates := r.entry.candidates(r.rank())
	q.MaxPause, q.Slow = r.kind.MaxPause, r.entry.slowness.Observe("model", candidates)
	decision := placement.Choose(q, candidates)
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
		r.found = max(decision.Work.OwnRunning+decision.Work.OthersRunning, decision.Work.Running+decision.Work.Waiting)
		r.predicted, r.local = decision.PredictedWait, decision.Local
		r.attempt = r.entry.tracker.Begin(e.id, r.rank(), r.prompt)
		s.startPasses(e)
	}
}

// rank returns the rank of the request in the queues; lower ranks are served first. As in package relay, it is 3 times the priority of
// the customer plus that of the route. The simulation does not distinguish customers: all have priority 1, the middle one.
func (r *request) rank() int { return 3 + r.kind.Priority }

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

// recordEvent delivers an event of the answer to the caller, or ends the job if the request has ended.
func (r *request) recordEvent(j *job, now time.Duration) {
	if r.ended {
		j.done = true
		return
	}
	if r.firstEventAt == 0 {
		r.firstEventAt = now
		r.lateFirst = now-r.arrivedAt > r.kind.Target
	} else if now-r.lastEventAt > maxEventGap {
		r.latePause = true
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
