package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// suspectAfterFailures is the number of consecutive failures after which an upstream becomes a suspect.
	suspectAfterFailures = 2
	// minSuspectTime and maxSuspectTime bound the time for which an upstream stays a suspect.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// newestOutcomeWeight is the weight of the newest outcome in the exponential moving average of the failure rate.
	newestOutcomeWeight = 0.15
	// suspectFailureRate is the failure rate above which an upstream becomes a suspect even if some of its attempts succeed.
	suspectFailureRate = 0.3
	// trackerRetention is the time for which the state of an upstream without attempts in progress is kept.
	trackerRetention = time.Minute
)

// Outcome is the result of an attempt at an upstream.
type Outcome uint8

// Outcomes of attempts.
const (
	// Succeeded means that the upstream sent a complete answer or stream.
	Succeeded Outcome = iota
	// Failed means that there was no answer, a broken one (incomplete or unsigned), or an error of the upstream.
	Failed
	// Declined means that the upstream refused the request without running it.
	Declined
	// Abandoned means that the node ended the attempt for a reason that says nothing about the upstream: the caller disconnected, the
	// deadline of the request passed, or the request had not begun when the time of the upstream's version ended.
	Abandoned
)

// Attempt is one request that this node has sent to an upstream.
type Attempt struct {
	tracker  *Tracker
	upstream string
	// rank is the urgency of the request; 0 is the most urgent.
	rank         int
	promptTokens float64
	sent         time.Time
	started      bool
	ended        bool
}

// Tracker keeps the attempts that this node has in progress at each upstream and the results of past ones. It is safe for concurrent
// use.
type Tracker struct {
	now func() time.Time
	mu  sync.Mutex
	// upstreams is guarded by mu.
	upstreams map[string]*upstreamState
}

// upstreamState is the state of one upstream.
type upstreamState struct {
	attempts            map[*Attempt]struct{}
	consecutiveFailures int
	// failureRate is the exponential moving average of the failures, from 0 to 1.
	failureRate float64
	// suspectUntil is when the upstream stops being a suspect.
	suspectUntil time.Time
	// suspectTime is the duration of the newest suspicion. It doubles with each further failure and is reset by a success.
	suspectTime time.Duration
	lastUsed    time.Time
	// lastActivity is when the newest event or answer arrived.
	lastActivity time.Time
	delays       startDelays
	// replaced is set when another upstream was found at the address. replacedSequence is the sequence number of the newest
	// announcement of the old upstream at that time.
	replaced         bool
	replacedSequence int64
}

// NewTracker returns an empty tracker. now is the clock; nil selects time.Now.
func NewTracker(now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	return &Tracker{now: now, upstreams: map[string]*upstreamState{}}
}

// getOrCreate returns the state of an upstream and creates it if there is none; it then drops idle upstreams that are past their
// retention. The caller holds mu.
func (t *Tracker) getOrCreate(upstream string) *upstreamState {
	u := t.upstreams[upstream]
	if u == nil {
		u = &upstreamState{attempts: map[*Attempt]struct{}{}}
		t.upstreams[upstream] = u
		for id, other := range t.upstreams {
			if len(other.attempts) == 0 && id != upstream && t.now().Sub(other.lastUsed) > trackerRetention {
				delete(t.upstreams, id)
			}
		}
	}
	u.lastUsed = t.now()
	return u
}

// Begin records that a request is being sent to an upstream. rank is the urgency of the request; 0 is the most urgent.
func (t *Tracker) Begin(upstream string, rank int, promptTokens float64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Attempt{tracker: t, upstream: upstream, rank: rank, promptTokens: promptTokens, sent: t.now()}
	t.getOrCreate(upstream).attempts[a] = struct{}{}
	return a
}

// RecordStart records that the first event or the head of the answer has arrived.
func (a *Attempt) RecordStart() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.started {
		return
	}
	a.started = true
	now := a.tracker.now()
	a.tracker.getOrCreate(a.upstream).delays.record(now, now.Sub(a.sent))
}

// RecordActivity records that an event or the head of an answer has arrived from the upstream.
func (a *Attempt) RecordActivity() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.tracker.getOrCreate(a.upstream).lastActivity = a.tracker.now()
}

// TimeSinceActivity returns the time since the newest event or answer of an upstream arrived at this node, or an hour if
// there was none.
func (t *Tracker) TimeSinceActivity(upstream string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[upstream]
	if u == nil || u.lastActivity.IsZero() {
		return neverActive
	}
	return t.now().Sub(u.lastActivity)
}

// neverActive is the time that TimeSinceActivity returns for an upstream without any event or answer.
const neverActive = time.Hour

// End records the outcome of the attempt. Only the first call has an effect.
func (a *Attempt) End(o Outcome) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	u := a.tracker.getOrCreate(a.upstream)
	delete(u.attempts, a)
	switch o {
	case Succeeded:
		u.consecutiveFailures, u.suspectTime = 0, 0
		u.failureRate *= 1 - newestOutcomeWeight
	case Failed:
		u.consecutiveFailures++
		u.failureRate += (1 - u.failureRate) * newestOutcomeWeight
		if u.consecutiveFailures >= suspectAfterFailures || u.failureRate > suspectFailureRate {
			u.suspectTime = min(max(2*u.suspectTime, minSuspectTime), maxSuspectTime)
			u.suspectUntil = a.tracker.now().Add(u.suspectTime)
		}
	case Declined, Abandoned:
	}
}

// MarkSuspect makes an upstream a suspect for at least d, whatever the outcomes of its attempts.
func (t *Tracker) MarkSuspect(upstream string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.getOrCreate(upstream)
	if until := t.now().Add(d); until.After(u.suspectUntil) {
		u.suspectUntil = until
	}
}

// MarkReplaced records that another upstream answers at the address of this one. sequence is the sequence number of the newest
// announcement of the replaced upstream. The replaced upstream is not used again until it sends a newer announcement.
func (t *Tracker) MarkReplaced(upstream string, sequence int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.getOrCreate(upstream)
	u.replaced, u.replacedSequence = true, sequence
}

// IsReplaced reports whether the upstream has been replaced and has not announced itself since. sequence is the sequence number of
// its newest announcement.
func (t *Tracker) IsReplaced(upstream string, sequence int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[upstream]
	return u != nil && u.replaced && sequence <= u.replacedSequence
}

// IsSuspect reports whether an upstream is a suspect at present.
func (t *Tracker) IsSuspect(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[upstream]
	return u != nil && t.now().Before(u.suspectUntil)
}

// AddOwnWork adds the work of this node at an upstream to w and sets w.AheadShare for a request of the given rank. reported is the
// time of the report in w, or the zero time if there is none; all requests in progress then count as sent since the report.
func (t *Tracker) AddOwnWork(w *Work, upstream string, rank int, reported time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[upstream]
	waiting, urgent := 0, 0
	if u != nil {
		for a := range u.attempts {
			w.OwnRunning++
			if a.sent.After(reported) {
				w.SentSinceReport++
				w.SentTokens += a.promptTokens
			}
			if a.started {
				continue
			}
			w.OwnWaiting++
			w.OwnTokens += a.promptTokens
			waiting++
			if a.rank <= rank {
				urgent++
			}
		}
	}
	w.AheadShare = estimateAheadShare(rank, waiting, urgent)
}

// shortDelayMillis is sent to other entries for any start delay below minLongDelay. Each change is a message to all entries, and short
// delays are usual and vary. Longer ones are rounded down to longDelayStep.
const (
	shortDelayMillis = 1
	minLongDelay     = 300 * time.Millisecond
	longDelayStep    = 100 * time.Millisecond
)

// exportedDelayMillis returns a start delay as it is sent to other entries.
func exportedDelayMillis(delay time.Duration) int64 {
	if delay < minLongDelay {
		return shortDelayMillis
	}
	return delay.Truncate(longDelayStep).Milliseconds()
}

// Export returns the work that this node has in progress at each upstream, and long start delays, sorted by the ID of the upstream.
func (t *Tracker) Export() []message.UpstreamWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.UpstreamWork
	for id, u := range t.upstreams {
		w := message.UpstreamWork{ID: id, Running: len(u.attempts)}
		if delay, known := u.startDelay(t.now()); known {
			w.StartDelayMillis = exportedDelayMillis(delay)
		}
		if w.Running == 0 && w.StartDelayMillis <= shortDelayMillis {
			continue
		}
		for a := range u.attempts {
			if !a.started {
				w.Waiting++
				w.WaitingTokens += int(a.promptTokens)
			}
		}
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// estimateAheadShare estimates the share of waiting requests that are at least as urgent as rank. It combines the waiting requests of
// this node, of which urgent are at least as urgent, with a prior estimate that weighs as much as priorWeight of them. The prior is
// 0.3 for rank 0, the most urgent, and grows by 0.1 per rank to 1 at rank 7, because requests of urgent ranks rarely wait.
func estimateAheadShare(rank, waiting, urgent int) float64 {
	const priorWeight = 2
	prior := min(0.3+0.1*float64(rank), 1)
	return (float64(urgent) + prior*priorWeight) / (float64(waiting) + priorWeight)
}
