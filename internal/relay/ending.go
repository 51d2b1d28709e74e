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
	"github.com/pimentohead/pimentohead/internal/warmup"
)

const (
	// refusalTime is how long a refused connection is inconclusive while a report of the upstream's agent may still contradict it.
	refusalTime = 300 * time.Millisecond
	// reportTransferTime is the age difference from which a report was certainly made after a connection broke.
	reportTransferTime = 100 * time.Millisecond
	// endCheckTime bounds the search for signs that a process has ended, endCheckInterval is the time between checks.
	endCheckTime     = 1500 * time.Millisecond
	endCheckInterval = 20 * time.Millisecond
	// restartCheckInterval is the time between checks for the restart of an upstream that accepts connections.
	restartCheckInterval = 50 * time.Millisecond
	// endRetention is how long the result of such a search is kept, for attempts whose failure is noticed later.
	endRetention = 5 * time.Second
)

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

// search decides whether a process has ended and records its attempts as evidence if so. An upstream of which no reports are known, as at
// an entry that has just started, may accept connections because it has restarted. The search then goes on for its attempts, while
// attempts that fail later start a new one.
func (t *endingTable) search(r *Relay, u *catalog.Upstream, key endedProcess, s *endSearch) {
	ended, sign := r.hasEnded(context.Background(), u, s.brokenAt, endCheckTime)
	attempts := t.decide(s, ended)
	r.recordEnd(u, s.brokenAt, attempts, ended, sign)
	if sign == acceptsConnections && r.showsRestart(u, s.brokenAt) {
		t.decide(s, true)
		r.recordEnd(u, s.brokenAt, attempts, true, restarted)
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

// decide sets the result of a search and returns the attempts that have waited for it.
func (t *endingTable) decide(s *endSearch, ended bool) []message.CrashedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.decided, s.ended = true, ended
	attempts := s.attempts
	s.attempts = nil
	return attempts
}

// recordEnd logs a decision on attempts at a process to which connections broke, and records the attempts as evidence if it has ended.
func (r *Relay) recordEnd(u *catalog.Upstream, brokenAt time.Time, attempts []message.CrashedAttempt, ended bool, sign string) {
	age := time.Since(brokenAt).Milliseconds()
	r.cfg.Log.Info("connections to upstream broke", "upstream", u.ID, "started", u.StartedAtMillis, "ended", ended, "sign", sign,
		"attempts", len(attempts), "after_ms", age)
	if !ended {
		return
	}
	r.presumeCold(u, warmup.CauseDown)
	evidence := &message.CrashEvidence{}
	for _, attempt := range attempts {
		attempt.AgeMillis = age
		evidence.Crashes = append(evidence.Crashes, attempt)
	}
	r.cfg.Poison.Merge(evidence)
}

// Signs that more than one function names.
const (
	restarted          = "restarted"
	acceptsConnections = "accepts connections"
	refusesConnections = "refuses connections"
	noSign             = "no sign"
)

// hasEnded decides whether the process of an upstream ended when a connection to it broke at brokenAt, and names the sign that decided.
// A process that has ended refuses connections, unlike one behind a reset or a cut, and its agent reports it as down or restarted. A
// report made later that still shows the process contradicts a refused connection. After limit, what the connection shows decides alone. The
// sign is noSign if nothing shows whether the process has ended, or if ctx has ended.
func (r *Relay) hasEnded(ctx context.Context, u *catalog.Upstream, brokenAt time.Time, limit time.Duration) (ended bool, sign string) {
	connected, refused := probe(ctx, u.Address)
	for time.Since(brokenAt) < limit && ctx.Err() == nil {
		load, age, known := r.cfg.Loads.Get(u.Address)
		switch reportedAt := time.Now().Add(-age); {
		case known && u.StartedAtMillis != 0 && load.StartedAtMillis > u.StartedAtMillis:
			return true, restarted
		case known && load.Down && reportedAt.After(brokenAt):
			return true, "reported down"
		case known && !load.Down && reportedAt.After(brokenAt.Add(reportTransferTime)):
			return false, "reported alive"
		case refused && time.Since(brokenAt) >= refusalTime, refused && (!known || age > unresponsiveAfter):
			return true, refusesConnections
		case connected && (!known || age > unresponsiveAfter):
			return false, acceptsConnections
		}
		if r.listsRestart(u) {
			return true, restarted
		}
		pause.For(ctx, endCheckInterval)
	}
	switch {
	case ctx.Err() != nil:
		return false, noSign
	case refused:
		return true, refusesConnections
	case connected:
		return false, acceptsConnections
	default:
		return false, noSign
	}
}

// awaitEnd is hasEnded for an upstream to which a connection has just broken. It decides after verdictWait, and when the request ends.
func (x *exchange) awaitEnd(u *catalog.Upstream) (ended bool, sign string) {
	return x.relay.hasEnded(x.ctx, u, time.Now(), verdictWait)
}

// errCut means that a response without a length may be incomplete, see isCut.
var errCut = errors.Mark(errors.New("relay: a response without a length may be incomplete"), h1.ErrBroken)

// isCut reports whether a response without a length, which ends with its connection, may have ended because its upstream has, or has interrupted
// its requests, so that it may lack its last part: unless something shows that neither is so. An upstream that leaves may end while it serves a
// long response, or right after a complete one; where the request cannot be repeated, the response counts as complete.
func (a *upstreamAttempt) isCut() bool {
	r := a.x.relay
	switch {
	case !a.unframed, !a.x.route.MayRepeat() && a.isPlannedExit():
		return false
	case r.interrupts(a.upstream):
		return true
	}
	ended, sign := a.x.awaitEnd(a.upstream)
	return ended || sign == noSign || r.interrupts(a.upstream) // A report may have arrived meanwhile.
}

// interrupts reports whether an upstream interrupts its requests to load a version.
func (r *Relay) interrupts(u *catalog.Upstream) bool {
	load, age, known := r.cfg.Loads.Get(u.Address)
	return known && load.Swapping && age < maxSwapAge
}

// showsRestart waits until a report of the upstream's agent or the list shows a process that started later, and returns false if a
// report made after brokenAt shows the same process or endCheckTime has passed.
func (r *Relay) showsRestart(u *catalog.Upstream, brokenAt time.Time) bool {
	for time.Since(brokenAt) < endCheckTime {
		load, age, known := r.cfg.Loads.Get(u.Address)
		switch {
		case known && u.StartedAtMillis != 0 && load.StartedAtMillis > u.StartedAtMillis, r.listsRestart(u):
			return true
		case known && !load.Down && time.Now().Add(-age).After(brokenAt.Add(reportTransferTime)):
			return false
		}
		pause.For(context.Background(), restartCheckInterval)
	}
	return false
}

// listsRestart reports whether the list of upstreams shows a later process of the upstream.
func (r *Relay) listsRestart(u *catalog.Upstream) bool {
	current := r.cfg.State.Snapshot().ByID(u.ID)
	return current != nil && u.StartedAtMillis != 0 && current.StartedAtMillis > u.StartedAtMillis
}

// probe opens a connection to an address and closes it. It reports whether the connection was accepted or refused; both are false
// if there was no answer.
func probe(ctx context.Context, address string) (connected, refused bool) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return true, false
}
