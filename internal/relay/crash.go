package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/quarantine"
)

const (
	// provenAfter is how long an answer has to go on to show that its request does not crash upstreams: one that does crashes the
	// upstream as soon as the answer begins.
	provenAfter = 500 * time.Millisecond
	// verdictWait bounds how long a retry waits for the verdict on the last attempt. Most signs that a process has ended come earlier, see
	// hasEnded.
	verdictWait = refusalTime + endCheckInterval
)

// errPoisoned is the cause with which an attempt is cancelled that would crash its upstream.
var errPoisoned = errors.New("relay: requests of this kind crash upstreams")

// subjects returns what the request may share with other requests that crash upstreams.
func (x *exchange) subjects() []string {
	if x.subjectList == nil {
		for _, id := range x.meta.SharedParts() {
			x.subjectList = append(x.subjectList, poison.PartSubject(id))
		}
		x.subjectList = append(x.subjectList,
			poison.RequestSubject(quarantine.Fingerprint(x.customer, x.target()+" "+x.promptKey(), x.body)))
	}
	return x.subjectList
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
	a.x.relay.cfg.Poison.Clear(a.subjects)
}

// checkCrash examines an attempt that has ended with a broken connection, or with a response that isCut. If the process of the upstream has
// ended, the attempt becomes evidence against the subjects of the request. The channel is closed once that is decided; it is nil if there is
// nothing to decide.
func (a *upstreamAttempt) checkCrash(res attemptResult) <-chan struct{} {
	x := a.x
	broken := res.kind == mayHaveRun && errors.Is(res.cause, h1.ErrBroken) && !errors.Is(res.cause, h1.ErrMalformed)
	if !broken || context.Cause(a.ctx) != nil {
		return nil
	}
	if a.isPlannedExit() || a.proven {
		return nil
	}
	begun := x.route.Kind != catalog.Stream || !a.answerBegan.IsZero()
	return x.relay.endings.check(x.relay, a.upstream, message.CrashedAttempt{Upstream: a.upstream.ID,
		StartedAtMillis: a.upstream.StartedAtMillis, Request: x.meta.ID, Subjects: x.subjects(), Begun: begun})
}

// isPlannedExit reports whether the upstream is leaving, as it or the list says, or has left the list already. The list loses a crashed
// upstream only later.
func (a *upstreamAttempt) isPlannedExit() bool {
	u := a.x.relay.cfg.State.Snapshot().ByID(a.upstream.ID)
	return u == nil || u.State != catalog.Ready || a.x.relay.availability.Status(processOf(a.upstream)).Leaving
}

// awaitVerdict waits for the decision whether the last attempt ended its upstream, if another attempt could end one more.
func (x *exchange) awaitVerdict(decided <-chan struct{}) {
	if decided == nil || !x.relay.cfg.Poison.Unproven(x.subjects()) {
		return
	}
	timer := time.NewTimer(verdictWait)
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
	case <-x.ctx.Done():
	}
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
		for _, v := range verdicts {
			if v.Refuses(a.subjects) && a.begun.prevent() {
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
