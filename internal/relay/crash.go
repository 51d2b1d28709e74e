package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/quarantine"
)

const (
	// provenAfter is how long an answer has to go on to show that its request does not crash upstreams: one that does crashes the
	// upstream as soon as the answer begins.
	provenAfter = 500 * time.Millisecond
	// verdictWait bounds how long a retry waits for the verdict on the last attempt, and how long a refused connection counts as
	// inconclusive while a report of the upstream's agent may still contradict it.
	verdictWait = 300 * time.Millisecond
	// reportTransferTime is the age difference from which a report was certainly made after a connection broke.
	reportTransferTime = 100 * time.Millisecond
	// endCheckTime bounds the search for signs that a process has ended, endCheckInterval is the time between checks.
	endCheckTime     = 1500 * time.Millisecond
	endCheckInterval = 20 * time.Millisecond
	// endRetention is how long the result of such a search is kept, for attempts whose failure is noticed later.
	endRetention = 5 * time.Second
)

// errPoisoned is the cause with which an attempt is cancelled that would crash its upstream.
var errPoisoned = errors.New("relay: requests of this kind crash upstreams")

// subjects returns what the request may share with other requests that crash upstreams.
func (x *exchange) subjects() []string {
	if x.subjectList == nil {
		x.subjectList = append(x.partSubjects(),
			poison.RequestSubject(quarantine.Fingerprint(x.customer, x.req.Method+" "+x.req.Host+x.req.RequestURI, x.body)))
	}
	return x.subjectList
}

// partSubjects returns the subjects of the parts of the prompt that other requests share.
func (x *exchange) partSubjects() []string {
	var out []string
	for _, id := range x.meta.SharedParts() {
		out = append(out, poison.PartSubject(id))
	}
	return out
}

// poisoned reports whether the request is refused because requests of its kind crash upstreams.
func (x *exchange) poisoned() bool {
	ledger := x.relay.cfg.Poison
	if !ledger.Active() {
		return false
	}
	verdict, refused := ledger.Refusing(x.subjects())
	if refused {
		x.lastFailure = "refused: " + verdict.Key()
	}
	return refused
}

// recordProof records that the upstream has survived the beginning of the answer to the request.
func (a *upstreamAttempt) recordProof() {
	if a.proven {
		return
	}
	a.proven = true
	proven := a.x.partSubjects()
	if a.x.suspected {
		proven = a.x.subjects()
	}
	a.x.relay.cfg.Poison.Clear(proven)
}

// checkCrash examines an attempt that has ended with a broken connection, or with the end of a connection that may have broken. If the process of the upstream has ended, the attempt becomes
// evidence against the subjects of the request. The channel is closed once that is decided; it is nil if there is nothing to decide.
func (a *upstreamAttempt) checkCrash(res attemptResult) <-chan struct{} {
	x := a.x
	broken := res.kind == mayHaveRun && errors.Is(res.cause, h1.ErrBroken) && !errors.Is(res.cause, h1.ErrMalformed)
	if !broken && !a.unframed || context.Cause(a.ctx) != nil {
		return nil
	}
	if a.isPlannedExit() || a.proven {
		return nil
	}
	x.suspected = true
	begun := x.route.Kind != catalog.Stream || !a.answerBegan.IsZero()
	return x.relay.endings.check(x.relay, a.upstream, message.CrashedAttempt{Upstream: a.upstream.ID,
		StartedAtMillis: a.upstream.StartedAtMillis, Request: x.meta.ID, Subjects: x.subjects(), Begun: begun})
}

// isPlannedExit reports whether the upstream is leaving or has left the list already. The list loses a crashed upstream only later.
func (a *upstreamAttempt) isPlannedExit() bool {
	u := a.x.relay.cfg.State.Snapshot().ByID(a.upstream.ID)
	return u == nil || u.State != catalog.Ready
}

// awaitVerdict waits for the decision whether the last attempt ended its upstream, if another attempt could end one more.
func (x *exchange) awaitVerdict(decided <-chan struct{}) {
	if decided == nil || !x.relay.cfg.Poison.Unproven(x.subjects()) {
		return
	}
	timer := time.NewTimer(verdictWait + endCheckInterval)
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// endingTable decides for broken connections whether the process of the upstream has ended. Attempts at one process share one search.
type endingTable struct {
	mu       sync.Mutex
	searches map[endedProcess]*endSearch
}

// endedProcess identifies a process of an upstream.
type endedProcess struct {
	upstream        string
	startedAtMillis int64
}

// endSearch is the search for signs that one process has ended.
type endSearch struct {
	brokenAt time.Time
	// attempts wait for the result.
	attempts []message.CrashedAttempt
	done     chan struct{}
	decided  bool
	ended    bool
}

// check adds an attempt to the search for the end of its upstream's process, and starts the search if there is none. The returned
// channel is closed when the search is over.
func (t *endingTable) check(r *Relay, u *catalog.Upstream, attempt message.CrashedAttempt) <-chan struct{} {
	key := endedProcess{u.ID, u.StartedAtMillis}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.searches[key]
	if s == nil || s.decided && !s.ended {
		if t.searches == nil {
			t.searches = map[endedProcess]*endSearch{}
		}
		s = &endSearch{brokenAt: time.Now(), done: make(chan struct{})}
		t.searches[key] = s
		go t.search(r, u, key, s)
	}
	if s.decided {
		r.cfg.Poison.Record(attempt)
	} else {
		s.attempts = append(s.attempts, attempt)
	}
	return s.done
}

// search decides whether a process has ended and records its attempts as evidence if so.
func (t *endingTable) search(r *Relay, u *catalog.Upstream, key endedProcess, s *endSearch) {
	ended, sign := r.hasEnded(u, s.brokenAt)
	t.mu.Lock()
	s.decided, s.ended = true, ended
	attempts := s.attempts
	s.attempts = nil
	t.mu.Unlock()
	age := time.Since(s.brokenAt).Milliseconds()
	r.cfg.Log.Info("connections to upstream broke", "upstream", u.ID, "started", u.StartedAtMillis, "ended", ended, "sign", sign,
		"attempts", len(attempts), "after_ms", age)
	if ended {
		evidence := &message.CrashEvidence{}
		for _, attempt := range attempts {
			attempt.AgeMillis = age
			evidence.Crashes = append(evidence.Crashes, attempt)
		}
		r.cfg.Poison.Merge(evidence)
	}
	close(s.done)
	time.AfterFunc(endRetention, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.searches[key] == s {
			delete(t.searches, key)
		}
	})
}

// hasEnded decides whether the process of an upstream ended when a connection to it broke at brokenAt, and names the sign that decided.
// A process that has ended refuses connections, unlike one behind a reset or a cut, and its agent reports it as down or restarted. A
// report made later that still shows the process contradicts a refused connection.
func (r *Relay) hasEnded(u *catalog.Upstream, brokenAt time.Time) (ended bool, sign string) {
	connected, refused := probe(u.Address)
	for time.Since(brokenAt) < endCheckTime {
		load, age, known := r.cfg.Loads.Get(u.Address)
		switch reportedAt := time.Now().Add(-age); {
		case known && u.StartedAtMillis != 0 && load.StartedAtMillis > u.StartedAtMillis:
			return true, "restarted"
		case known && load.Down && reportedAt.After(brokenAt):
			return true, "reported down"
		case known && !load.Down && reportedAt.After(brokenAt.Add(reportTransferTime)):
			return false, "reported alive"
		case refused && time.Since(brokenAt) >= verdictWait, refused && (!known || age > unresponsiveAfter):
			return true, "refuses connections"
		case connected && (!known || age > unresponsiveAfter):
			return false, "accepts connections"
		}
		if current := r.cfg.State.Snapshot().ByID(u.ID); current != nil && current.StartedAtMillis > u.StartedAtMillis {
			return true, "restarted"
		}
		pause.For(context.Background(), endCheckInterval)
	}
	return false, "no sign"
}

// probe opens a connection to an address and closes it. It reports whether the connection was accepted or refused; both are false
// if there was no answer.
func probe(address string) (connected, refused bool) {
	nc, err := net.DialTimeout("tcp", address, verdictWait)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return true, false
}

// attemptTable holds the attempts in progress that have no event yet, so that a verdict can end them.
type attemptTable struct {
	mu       sync.Mutex
	attempts map[*upstreamAttempt]context.CancelCauseFunc
}

// add registers an attempt and returns a function that removes it.
func (t *attemptTable) add(a *upstreamAttempt, cancel context.CancelCauseFunc) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts == nil {
		t.attempts = map[*upstreamAttempt]context.CancelCauseFunc{}
	}
	t.attempts[a] = cancel
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.attempts, a)
	}
}

// endPoisoned cancels the attempts that verdicts refuse and that have not begun.
func (t *attemptTable) endPoisoned(verdicts []poison.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, cancel := range t.attempts {
		if a.begun.Load() {
			continue
		}
		for _, v := range verdicts {
			if v.Refuses(a.subjects) {
				cancel(errPoisoned)
				break
			}
		}
	}
}

// logVerdicts logs the verdicts in force after a change.
func (r *Relay) logVerdicts(verdicts []poison.Verdict) {
	for _, v := range verdicts {
		r.cfg.Log.Info("requests crash upstreams and are refused", "subjects", v.Key(), "crashes", v.Crashes)
	}
	if len(verdicts) == 0 {
		r.cfg.Log.Info("no requests are refused for crashes any more")
	}
}
