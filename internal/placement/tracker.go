package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// suspectAfter is the number of failures in a row after which an upstream is a suspect.
	suspectAfter = 2
	// minSuspicion and maxSuspicion bound the time for which an upstream stays a suspect.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.15
	// suspectShare is the share of failures above which an upstream is a suspect though it also succeeds.
	suspectShare = 0.3
	// trackerRetention is how long an idle upstream is remembered.
	trackerRetention = time.Minute
)

// Outcome is how an attempt at an upstream has ended.
type Outcome uint8

// Outcomes.
const (
	// Succeeded attempts got a whole answer, or their stream began well.
	Succeeded Outcome = iota
	// Failed attempts got no answer, a broken one, or a failure of the upstream's.
	Failed
	// Declined attempts were refused by the upstream without being run.
	Declined
	// Abandoned attempts ended because of the caller.
	Abandoned
)

// Attempt is one request that this node has sent to an upstream.
type Attempt struct {
	t        *Tracker
	upstream string
	rank     int
	tokens   float64
	sent     time.Time
	started  bool
	ended    bool
}

// Tracker knows what this node has in progress at each upstream and how it went. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	mu  sync.Mutex
	// ups is guarded by mu.
	ups map[string]*tracked
}

type tracked struct {
	attempts map[*Attempt]struct{}
	failures int
	share    float64
	until    time.Time
	pause    time.Duration
	used     time.Time
	// heard is when the newest event or answer came.
	heard time.Time
	// replaced tells that another upstream had the address when the announcement replacedAt was the newest.
	replaced   bool
	replacedAt int64
}

// NewTracker returns an empty tracker. now is the clock; nil selects time.Now.
func NewTracker(now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	return &Tracker{now: now, ups: map[string]*tracked{}}
}

func (t *Tracker) get(upstream string) *tracked {
	u := t.ups[upstream]
	if u == nil {
		u = &tracked{attempts: map[*Attempt]struct{}{}}
		t.ups[upstream] = u
		for id, other := range t.ups {
			if len(other.attempts) == 0 && id != upstream && t.now().Sub(other.used) > trackerRetention {
				delete(t.ups, id)
			}
		}
	}
	u.used = t.now()
	return u
}

// Begin records that a request is being sent.
func (t *Tracker) Begin(upstream string, rank int, promptTokens float64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Attempt{t: t, upstream: upstream, rank: rank, tokens: promptTokens, sent: t.now()}
	t.get(upstream).attempts[a] = struct{}{}
	return a
}

// RecordStart records the first event or the head of the answer.
func (a *Attempt) RecordStart() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.started = true
}

// RecordActivity records an event or the head of an answer.
func (a *Attempt) RecordActivity() {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.t.get(a.upstream).heard = a.t.now()
}

// TimeSinceActivity returns the time since the newest event or answer of an upstream came to this node.
func (t *Tracker) TimeSinceActivity(upstream string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[upstream]
	if u == nil || u.heard.IsZero() {
		return silence
	}
	return t.now().Sub(u.heard)
}

// silence stands for the age of an event that never came.
const silence = time.Hour

// End records the outcome. Only the first call counts.
func (a *Attempt) End(o Outcome) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	u := a.t.get(a.upstream)
	delete(u.attempts, a)
	switch o {
	case Succeeded:
		u.failures, u.pause = 0, 0
		u.share *= 1 - failureWeight
	case Failed:
		u.failures++
		u.share += (1 - u.share) * failureWeight
		if u.failures >= suspectAfter || u.share > suspectShare {
			u.pause = min(max(2*u.pause, minSuspicion), maxSuspicion)
			u.until = a.t.now().Add(u.pause)
		}
	case Declined, Abandoned:
	}
}

// MarkSuspect marks an upstream that is known to be unreachable for some time.
func (t *Tracker) MarkSuspect(upstream string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.get(upstream)
	if until := t.now().Add(d); until.After(u.until) {
		u.until = until
	}
}

// MarkReplaced records that another upstream answers at the address of this one, whose newest announcement has the given number. It
// is not used again before it announces itself anew.
func (t *Tracker) MarkReplaced(upstream string, beat int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.get(upstream)
	u.replaced, u.replacedAt = true, beat
}

// IsReplaced tells whether the upstream with the given newest announcement has been replaced.
func (t *Tracker) IsReplaced(upstream string, beat int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[upstream]
	return u != nil && u.replaced && beat <= u.replacedAt
}

// IsSuspect tells whether an upstream has failed lately.
func (t *Tracker) IsSuspect(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[upstream]
	return u != nil && t.now().Before(u.until)
}

// AddOwnWork adds the own work at an upstream to w. reported is the time of the report in w.
func (t *Tracker) AddOwnWork(w *Work, upstream string, rank int, reported time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[upstream]
	waiting, urgent := 0, 0
	if u != nil {
		for a := range u.attempts {
			w.OwnRunning++
			if a.sent.After(reported) {
				w.SentSinceReport++
				w.SentTokens += a.tokens
			}
			if a.started {
				continue
			}
			w.OwnWaiting++
			w.OwnTokens += a.tokens
			waiting++
			if a.rank <= rank {
				urgent++
			}
		}
	}
	w.AheadShare = aheadShare(rank, waiting, urgent)
}

// Export returns what this node has in progress at each upstream.
func (t *Tracker) Export() []message.UpstreamWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.UpstreamWork
	for id, u := range t.ups {
		if len(u.attempts) == 0 {
			continue
		}
		w := message.UpstreamWork{ID: id, Running: len(u.attempts)}
		for a := range u.attempts {
			if !a.started {
				w.Waiting++
				w.Tokens += int(a.tokens)
			}
		}
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// aheadShare estimates which share of the waiting requests is at least as urgent as rank, from this node's own ones and a guess
// that counts as two of them: requests of the most urgent rank rarely wait, those of the least urgent rank do.
func aheadShare(rank, waiting, urgent int) float64 {
	const guessWeight = 2
	guess := min(0.3+0.1*float64(rank), 1)
	return (float64(urgent) + guess*guessWeight) / (float64(waiting) + guessWeight)
}
