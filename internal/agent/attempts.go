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
	// minRetention is the minimum time for which the outcome of an ended attempt is kept.
	minRetention = time.Minute
	// retentionMargin is how long after its deadline the outcome of an attempt is kept. An entry queries an outcome until its
	// request's deadline, and a lost link may be detected 3 s after that.
	retentionMargin = 10 * time.Second
	// maxAttempts limits the sum of the attempts in progress and those that ended in the current generation. Beyond it new
	// attempts are rejected. Evicting ended ones instead is not safe, because an attempt whose revocation was evicted could run.
	// An ended attempt takes about 40 bytes.
	maxAttempts = 1_000_000
)

// attemptState is the state of an attempt. Pending attempts become running, done or revoked, and running ones done or revoked.
type attemptState uint8

const (
	// attemptPending attempts wait for the claim of their idempotency key, for the response of an earlier order with the key, or
	// in the queue.
	attemptPending attemptState = iota
	attemptRunning
	// attemptDone attempts ended with an outcome.
	attemptDone
	// attemptRevoked attempts were not sent to the upstream and never will be.
	attemptRevoked
)

// attempt is one attempt of a request, from its Submit until only its outcome is kept.
type attempt struct {
	id message.Attempt

	// mu guards the fields below up to the next blank line.
	mu      sync.Mutex
	state   attemptState
	outcome message.Outcome
	// claim is the claim of the idempotency key, nil without one and after takeClaim.
	claim *order.Claim
	// item is nil until the attempt is in the queue.
	item *sched.Item

	submit   *message.Submit
	conn     *link.Conn
	received time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// detached is closed when the entry no longer receives the response.
	detached   chan struct{}
	detachOnce sync.Once
	credit     *credit
	// incarnation identifies the upstream process that runs the request. It and started are set under mu when the attempt starts
	// to run.
	incarnation uint64
	started     time.Time
}

// detach stops the sending of the response. Further calls have no effect.
func (att *attempt) detach() { att.detachOnce.Do(func() { close(att.detached) }) }

// takeClaim removes and returns the claim, so that it is finished or released only once. The ledger may reuse a released claim for
// the next order with the key, and a second release would free the key while that order runs. The caller holds mu.
func (att *attempt) takeClaim() *order.Claim {
	claim := att.claim
	att.claim = nil
	return claim
}

func (att *attempt) isDetached() bool {
	select {
	case <-att.detached:
		return true
	default:
		return false
	}
}

// attemptTable holds the attempts in progress and the outcomes of ended ones.
type attemptTable struct {
	// mu guards all fields below. Lock order: mu before the mu of an attempt.
	mu     sync.Mutex
	active map[message.Attempt]*attempt
	// current and previous are two generations of ended attempts, so that evicting old ones takes no scan.
	current, previous map[endedKey]endedCode
	rotated           time.Time
	// retention is the length of a generation. An attempt that is evicted before its deadline would be reported as revoked
	// although it ran, so retention exceeds the longest deadline of all attempts so far.
	retention time.Duration
}

func newAttemptTable() *attemptTable {
	return &attemptTable{
		active: make(map[message.Attempt]*attempt), current: make(map[endedKey]endedCode), rotated: time.Now(),
		retention: minRetention,
	}
}

// add records a new attempt, a revoked one as ended. If an attempt with this ID was recorded before, add returns that one as
// existing instead. full reports whether the attempt was not recorded because maxAttempts is reached.
func (t *attemptTable) add(att *attempt) (existing *attempt, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	if existing := t.find(att.id); existing != nil {
		return existing, false
	}
	if len(t.active)+len(t.current) >= maxAttempts {
		return nil, true
	}
	if att.state == attemptRevoked {
		t.current[newEndedKey(att.id)] = endedRevoked
	} else {
		t.active[att.id] = att
		t.retention = max(t.retention, time.Duration(att.submit.DeadlineMillis)*time.Millisecond+retentionMargin)
	}
	return nil, false
}

// get returns an attempt in progress, or nil.
func (t *attemptTable) get(id message.Attempt) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active[id]
}

// find returns the attempt with this ID, or nil. For an ended attempt it returns a new value with only the ID, state and outcome.
// The caller holds mu.
func (t *attemptTable) find(id message.Attempt) *attempt {
	if att := t.active[id]; att != nil {
		return att
	}
	key := newEndedKey(id)
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

// markEnded replaces a done or revoked attempt by its outcome. Further calls have no effect.
func (t *attemptTable) markEnded(att *attempt) {
	att.mu.Lock()
	code := newEndedCode(att.state, att.outcome)
	att.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active[att.id] == att {
		delete(t.active, att.id)
		t.current[newEndedKey(att.id)] = code
	}
}

// rotate starts a new generation when the current one is older than retention, and evicts the previous one. The caller holds mu.
func (t *attemptTable) rotate() {
	if time.Since(t.rotated) < t.retention {
		return
	}
	t.previous, t.current, t.rotated = t.current, make(map[endedKey]endedCode), time.Now()
}

// byLink returns the attempts in progress that arrived on a link.
func (t *attemptTable) byLink(conn *link.Conn) []*attempt {
	return t.filter(func(att *attempt) bool { return att.conn == conn })
}

// filter returns the attempts in progress that match. It holds the mu of an attempt while it calls match.
func (t *attemptTable) filter(match func(*attempt) bool) []*attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*attempt
	for _, att := range t.active {
		att.mu.Lock()
		if (att.state == attemptPending || att.state == attemptRunning) && match(att) {
			out = append(out, att)
		}
		att.mu.Unlock()
	}
	return out
}

// credit is the flow-control window of one response, in bytes.
type credit struct {
	// mu guards available.
	mu        sync.Mutex
	available int64
	// increased holds at most one notification that available has grown.
	increased chan struct{}
}

func newCredit() *credit {
	return &credit{available: message.InitialCreditBytes, increased: make(chan struct{}, 1)}
}

// add extends the window by n bytes; a negative n has no effect.
func (c *credit) add(n int64) {
	c.mu.Lock()
	c.available += max(n, 0)
	c.mu.Unlock()
	select {
	case c.increased <- struct{}{}:
	default:
	}
}

// take waits until n bytes may be sent and subtracts them. It returns false when done or stop is closed first.
func (c *credit) take(n int64, done, stop <-chan struct{}) bool {
	for {
		c.mu.Lock()
		if c.available >= n {
			c.available -= n
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		select {
		case <-c.increased:
		case <-done:
			return false
		case <-stop:
			return false
		}
	}
}
