package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/sched"
)

const (
	// minKeepAttempts is the least time for which the end of an attempt is remembered.
	minKeepAttempts = time.Minute
	// keepMargin is how much longer than its deadline an attempt is remembered. An entry asks for an outcome until its
	// request's deadline, and a lost link may be noticed 3 s after that.
	keepMargin = 10 * time.Second
	// maxAttempts bounds remembered attempts per period. Beyond it new attempts are refused, because forgetting one could
	// run a revoked request. An ended attempt takes about 40 bytes.
	maxAttempts = 1_000_000
)

type attemptState uint8

const (
	// attemptPending attempts wait for the ledger or in the queue.
	attemptPending attemptState = iota
	attemptRunning
	attemptDone
	attemptRevoked
)

// attempt is one attempt of a request from its Submit until it is forgotten.
type attempt struct {
	id message.Attempt

	// mu guards the fields below up to the next blank line.
	mu      sync.Mutex
	state   attemptState
	outcome message.Outcome
	claim   *order.Claim
	item    *sched.Item

	submit   *message.Submit
	conn     *link.Conn
	received time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// detached is closed when nobody receives the answer any more.
	detached   chan struct{}
	detachOnce sync.Once
	credit     *credit
	// incarnation is the upstream process that runs the request.
	incarnation uint64
	started     time.Time
}

func (a *attempt) detach() { a.detachOnce.Do(func() { close(a.detached) }) }

// takeClaim returns the claim once. The ledger may give a released claim to the next order with the key, so that a second
// release would free the key of an order that runs. The caller holds mu.
func (a *attempt) takeClaim() *order.Claim {
	claim := a.claim
	a.claim = nil
	return claim
}

func (a *attempt) isDetached() bool {
	select {
	case <-a.detached:
		return true
	default:
		return false
	}
}

// attempts holds the attempts in progress and remembers how others ended.
type attempts struct {
	// mu guards all fields below. It is never taken while an attempt's mu is held.
	mu     sync.Mutex
	active map[message.Attempt]*attempt
	// current and previous are two generations, so that forgetting old ends takes no scan.
	current, previous map[endedKey]endedCode
	rotated           time.Time
	// keep is the length of a generation. An attempt that is forgotten before its deadline would be reported as revoked
	// although it ran, so keep exceeds every deadline seen.
	keep time.Duration
}

func newAttempts() *attempts {
	return &attempts{
		active: make(map[message.Attempt]*attempt), current: make(map[endedKey]endedCode), rotated: time.Now(),
		keep: minKeepAttempts,
	}
}

// add records a new attempt, or returns the one that is known. full tells that none could be recorded.
func (t *attempts) add(a *attempt) (known *attempt, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	if known := t.find(a.id); known != nil {
		return known, false
	}
	if len(t.active)+len(t.current) >= maxAttempts {
		return nil, true
	}
	if a.state == attemptRevoked {
		t.current[keyOf(a.id)] = endedRevoked
	} else {
		t.active[a.id] = a
		t.keep = max(t.keep, time.Duration(a.submit.DeadlineMillis)*time.Millisecond+keepMargin)
	}
	return nil, false
}

// get returns an attempt in progress, or nil.
func (t *attempts) get(id message.Attempt) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active[id]
}

// find returns an attempt in progress, or one with the state and the outcome of an attempt that ended. The caller holds mu.
func (t *attempts) find(id message.Attempt) *attempt {
	if a := t.active[id]; a != nil {
		return a
	}
	key := keyOf(id)
	code, ok := t.current[key]
	if !ok {
		code, ok = t.previous[key]
	}
	if !ok {
		return nil
	}
	state, outcome := code.decode()
	return &attempt{id: id, state: state, outcome: outcome}
}

// ended replaces an attempt that was done or revoked by its outcome. Further calls have no effect.
func (t *attempts) ended(a *attempt) {
	a.mu.Lock()
	code := codeOf(a.state, a.outcome)
	a.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active[a.id] == a {
		delete(t.active, a.id)
		t.current[keyOf(a.id)] = code
	}
}

// rotate forgets attempts that ended one full period ago.
func (t *attempts) rotate() {
	if time.Since(t.rotated) < t.keep {
		return
	}
	t.previous, t.current, t.rotated = t.current, make(map[endedKey]endedCode), time.Now()
}

// of returns the attempts in progress that arrived on a link.
func (t *attempts) of(conn *link.Conn) []*attempt {
	return t.filter(func(a *attempt) bool { return a.conn == conn })
}

// filter returns matching attempts in progress.
func (t *attempts) filter(match func(*attempt) bool) []*attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*attempt
	for _, a := range t.active {
		a.mu.Lock()
		if (a.state == attemptPending || a.state == attemptRunning) && match(a) {
			out = append(out, a)
		}
		a.mu.Unlock()
	}
	return out
}

// credit is the flow-control window of one answer.
type credit struct {
	// mu guards left and grown.
	mu    sync.Mutex
	left  int64
	grown chan struct{}
}

func newCredit() *credit {
	return &credit{left: message.InitialCreditBytes, grown: make(chan struct{}, 1)}
}

func (c *credit) add(n int64) {
	c.mu.Lock()
	c.left += max(n, 0)
	c.mu.Unlock()
	select {
	case c.grown <- struct{}{}:
	default:
	}
}

// take waits until n bytes may be sent. It returns false when done or stop ends first.
func (c *credit) take(n int64, done, stop <-chan struct{}) bool {
	for {
		c.mu.Lock()
		if c.left >= n {
			c.left -= n
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		select {
		case <-c.grown:
		case <-done:
			return false
		case <-stop:
			return false
		}
	}
}
