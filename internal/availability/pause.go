package availability

import "time"

const (
	// MaxPause bounds a pause. A process that named a longer one by mistake is asked again after it.
	MaxPause = 24 * time.Hour
	// resumeSpreadShare is the share of a pause, up to maxResumeSpread, within which entries resume at random times after its end.
	resumeSpreadShare = 0.25
	maxResumeSpread   = time.Second
	// stepTime is the shortest time between two increases of the allowance after a pause, maxAllowance the last one that is limited.
	stepTime     = 100 * time.Millisecond
	maxAllowance = 32
	// probeTimeout is how long the requests of a step may stay unanswered, or are held back after a failure, before another one is sent.
	probeTimeout = time.Second
	// extensionMargin is how much later a pause has to end for the extension to be reported as a change.
	extensionMargin = 500 * time.Millisecond
)

// pauseState is a pause and the return of requests after it.
//
// Requests return in steps, as in the slow start of TCP: one request at first, then twice as many in each step as in the one before, as
// long as requests are served.
type pauseState struct {
	// until is the end of the pause, resumeAt the time of this entry's first request after it.
	until, resumeAt time.Time
	// allowance is the number of requests that may be sent in the current step, sent how many have been. allowance is 0 before the first
	// step.
	allowance, sent int
	stepBegan       time.Time
	// served is set if a request has been served since the step began.
	served bool
}

// RecordPause records that a process has asked in its refusal of a request for no requests for the time d, which is bounded to MaxPause.
//
// Of several pauses the one that ends last holds, and a request that is served does not lift it: the process has withdrawn nothing, and
// answers overtake each other.
func (t *Table) RecordPause(p Process, d time.Duration, request string) {
	if d <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	r := t.record(p)
	until := now.Add(min(d, MaxPause))
	s := r.pause
	begins := s == nil || !now.Before(s.until)
	if !begins && !until.After(s.until) {
		return
	}
	if begins || until.Sub(s.until) > extensionMargin {
		t.cfg.Observe(Event{Process: p, Change: Pausing, Request: request, RetryAfter: d})
	}
	spread := min(time.Duration(resumeSpreadShare*float64(until.Sub(now))), maxResumeSpread)
	r.pause = &pauseState{until: until, resumeAt: until.Add(time.Duration(t.cfg.Random() * float64(spread)))}
}

// Take takes a request to a process from what the process may get, and reports false if it may get none now.
func (t *Table) Take(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	switch {
	case r == nil:
		return true
	case r.leaving:
		return false
	}
	if t.wait(p, r) > 0 {
		return false
	}
	if r.pause != nil {
		r.pause.sent++
	}
	return true
}

// Return returns a request that was taken and not sent.
func (t *Table) Return(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[p]; r != nil && r.pause != nil && r.pause.sent > 0 {
		r.pause.sent--
	}
}

// RecordResult records whether a process has served a request that was sent at sentAt. Requests from before the end of a pause say nothing
// about the time after it.
func (t *Table) RecordResult(p Process, sentAt time.Time, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	if r == nil || r.pause == nil || r.pause.allowance == 0 || sentAt.Before(r.pause.resumeAt) {
		return
	}
	if served {
		r.pause.served = true
		return
	}
	// The step is used up, so that the next request follows after probeTimeout.
	r.pause.beginStep(1, t.cfg.Now())
	r.pause.sent = 1
}

// wait returns the time until a process may get a request, 0 if it may get one now. The caller holds mu.
func (t *Table) wait(p Process, r *record) time.Duration {
	s := r.pause
	if s == nil {
		return 0
	}
	now := t.cfg.Now()
	if now.Before(s.resumeAt) {
		return s.resumeAt.Sub(now)
	}
	switch elapsed := now.Sub(s.stepBegan); {
	case s.allowance == 0:
		s.beginStep(1, now)
		t.cfg.Observe(Event{Process: p, Change: Resuming})
	case s.served && elapsed >= stepTime && s.allowance >= maxAllowance:
		r.pause = nil
		t.cfg.Observe(Event{Process: p, Change: Available})
		return 0
	case s.served && elapsed >= stepTime:
		s.beginStep(2*s.allowance, now)
	case !s.served && s.sent >= s.allowance && elapsed >= probeTimeout:
		s.beginStep(1, now)
	}
	switch {
	case s.sent < s.allowance:
		return 0
	case s.served:
		return s.stepBegan.Add(stepTime).Sub(now)
	default:
		return s.stepBegan.Add(probeTimeout).Sub(now)
	}
}

// beginStep begins a step in which allowance requests may be sent.
func (s *pauseState) beginStep(allowance int, now time.Time) {
	s.allowance, s.sent, s.served, s.stepBegan = allowance, 0, false, now
}
