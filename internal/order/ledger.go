// Package order is the at-most-once ledger of orders that carry a key.
//
// An order runs only after its key was claimed in the store, create only, under an ID that no other claim has. Claims,
// answers and releases are committed in groups to stay within the store's limits.
package order

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// ErrUnavailable means that the key could not be claimed. The order was not run.
var ErrUnavailable = errors.New("order: ledger unavailable")

// Config holds the parameters of a Ledger. The zero value of a field selects its default.
type Config struct {
	Log logr.Logger
	// CommitInterval is the least time between two calls to the store. Default 20 ms.
	CommitInterval time.Duration
	// CallTimeout bounds one call to the store. Default 1 s.
	CallTimeout time.Duration
	// ClaimTimeout bounds the time to claim a key. Default 2 s.
	ClaimTimeout time.Duration
	// MaxPending bounds orders held in memory. Default 4096.
	MaxPending int
}

// Defaults of Config and bounds of a group.
const (
	DefaultCommitInterval = 20 * time.Millisecond
	DefaultCallTimeout    = time.Second
	DefaultClaimTimeout   = 2 * time.Second
	// DefaultMaxPending bounds memory to 64 MiB of recorded answers.
	DefaultMaxPending = 4096
	maxClaims         = 64
	// maxWrites bounds answers and releases in a group: 16 answers of 16 KiB fit the size of one call.
	maxWrites = 16
)

// Verdict is the ledger's decision on an order.
type Verdict uint8

// Verdicts.
const (
	// Run means that the key was claimed for this order. It must be ended with Finish or Release.
	Run Verdict = iota + 1
	// Replay means that the order ran before; its answer is given again.
	Replay
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Unknown means that the order may have run or is running, and no answer can be given.
	Unknown
)

// Result is the result of Begin. Claim is set with Run, Answer with Replay.
type Result struct {
	Verdict Verdict
	Claim   *Claim
	Answer  *Answer
	// Final tells that a later repeat will not know more.
	Final bool
}

// Claim is a key that this ledger holds. Its state is guarded by Ledger.mu.
type Claim struct {
	key     string
	id      string
	request [sha256.Size]byte
	created time.Time
	lease   store.LeaseID
	// revision is the mod revision of the claim in the store, 0 while it is not known.
	revision int64
	state    claimState
	// ambiguous tells that a write of the claim may have taken effect unseen.
	ambiguous bool
	answer    *Answer
	// granted and found are written once, before resolved is closed. found is the record of another claim that holds the key.
	granted  bool
	found    *record
	resolved chan struct{}
	// settled is closed when a repeat of the key need not wait any longer.
	settled     chan struct{}
	settledOnce sync.Once
	// committing tells that the claim is part of the group that is being written.
	committing bool
}

type claimState uint8

const (
	stateClaiming claimState = iota + 1
	stateHeld
	stateRecording
	stateReleasing
	stateEnded
)

func (c *Claim) settle() { c.settledOnce.Do(func() { close(c.settled) }) }

// Ledger claims keys and records answers. It is safe for concurrent use.
type Ledger struct {
	cfg   Config
	store store.Store

	// lease is shared by the claims of one hour. It is used by Run only.
	lease      store.LeaseID
	leaseSince time.Time

	wake chan struct{}

	// mu guards the fields below and the state of claims.
	mu     sync.Mutex
	active map[string]*Claim
	claims []*Claim
	writes []*Claim
	// progress is closed and replaced after each group.
	progress chan struct{}
}

// New returns a ledger. Run must be running for Begin to return.
func New(s store.Store, cfg Config) *Ledger {
	setDefault(&cfg.CommitInterval, DefaultCommitInterval)
	setDefault(&cfg.CallTimeout, DefaultCallTimeout)
	setDefault(&cfg.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&cfg.MaxPending, DefaultMaxPending)
	return &Ledger{
		cfg: cfg, store: s, wake: make(chan struct{}, 1),
		active: make(map[string]*Claim), progress: make(chan struct{}),
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Begin decides on an order. request is the digest of everything that makes two requests equal. A repeat of a key that is in
// progress here waits for its answer until ctx ends. An error is ErrUnavailable; the order was not run.
func (l *Ledger) Begin(ctx context.Context, caller, key string, request [sha256.Size]byte) (Result, error) {
	id := storeKey(caller, key)
	for {
		claim, how, err := l.acquire(id, request)
		if err != nil {
			return Result{}, err
		}
		switch how {
		case acquiredReused:
			return Result{Verdict: Run, Claim: claim}, nil
		case acquiredNew:
			<-claim.resolved
			return claim.decide(request)
		}
		if claim.request != request {
			return Result{Verdict: Mismatch}, nil
		}
		if !l.awaitSettled(ctx, claim) {
			if l.unstarted(claim) {
				return Result{}, errors.Wrap(ErrUnavailable, "earlier claim of the key not released yet")
			}
			return Result{Verdict: Unknown}, nil
		}
		if result, ok := l.repeated(claim); ok {
			return result, nil
		}
	}
}

// awaitSettled waits for the order that holds a claim here. A claim whose order was not started is waited for as long as claiming
// takes: with the store down it may stay for longer than any caller waits.
func (l *Ledger) awaitSettled(ctx context.Context, c *Claim) bool {
	timer := time.NewTimer(l.cfg.ClaimTimeout)
	defer timer.Stop()
	for {
		select {
		case <-c.settled:
			return true
		case <-ctx.Done():
			return false
		case <-timer.C:
			if l.unstarted(c) {
				return false
			}
		}
	}
}

// unstarted tells that the order of a claim was not started and will not be.
func (l *Ledger) unstarted(c *Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == stateReleasing
}

// acquired tells how acquire found a claim.
type acquired uint8

const (
	acquiredNew acquired = iota + 1
	// acquiredReused claims are held already.
	acquiredReused
	// acquiredOther claims belong to an order in progress.
	acquiredOther
)

// acquire returns a new claim, or a claim of the key that exists here.
func (l *Ledger) acquire(key string, request [sha256.Size]byte) (*Claim, acquired, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.active[key]; c != nil {
		if c.state == stateReleasing && !c.committing && c.revision != 0 && c.request == request {
			l.reuse(c)
			return c, acquiredReused, nil
		}
		return c, acquiredOther, nil
	}
	if len(l.active) >= l.cfg.MaxPending {
		return nil, 0, errors.Wrap(ErrUnavailable, "too many orders wait for the store")
	}
	c := &Claim{
		key: key, id: uuid.NewString(), request: request, created: time.Now(), state: stateClaiming,
		resolved: make(chan struct{}), settled: make(chan struct{}),
	}
	l.active[key] = c
	l.claims = append(l.claims, c)
	l.signal()
	return c, acquiredNew, nil
}

// reuse gives a claim whose release has not been sent to the next order with the same key.
func (l *Ledger) reuse(c *Claim) {
	c.state = stateHeld
	for i, w := range l.writes {
		if w == c {
			l.writes = append(l.writes[:i], l.writes[i+1:]...)
			return
		}
	}
}

// decide turns the resolution of a new claim into a result. It must be called after resolved is closed.
func (c *Claim) decide(request [sha256.Size]byte) (Result, error) {
	switch {
	case c.granted:
		return Result{Verdict: Run, Claim: c}, nil
	case c.found == nil:
		return Result{}, errors.Wrap(ErrUnavailable, "key not claimed")
	case c.found.Request != request:
		return Result{Verdict: Mismatch}, nil
	default:
		return replay(c.found.Answer), nil
	}
}

func replay(answer *Answer) Result {
	switch {
	case answer == nil:
		return Result{Verdict: Unknown}
	case answer.TooLarge:
		return Result{Verdict: Unknown, Final: true}
	default:
		return Result{Verdict: Replay, Answer: answer}
	}
}

// repeated returns the result for a repeat of a settled claim, or false when the key is free again or held elsewhere.
func (l *Ledger) repeated(c *Claim) (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.answer != nil {
		return replay(c.answer), true
	}
	return Result{}, false
}

// Finish ends an order that ran. A nil answer leaves the claim without one, so that the order never runs again; repeats are
// Unknown. The answer is kept in memory until the store has it.
func (l *Ledger) Finish(c *Claim, answer *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateHeld {
		return
	}
	if answer == nil {
		l.end(c)
		return
	}
	shrunk := answer.Shrink()
	c.answer = &shrunk
	c.state = stateRecording
	c.settle()
	l.writes = append(l.writes, c)
	l.signal()
}

// Release gives up a claim whose order was not started, so that the key can be used again.
func (l *Ledger) Release(c *Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateHeld {
		return
	}
	c.state = stateReleasing
	l.writes = append(l.writes, c)
	l.signal()
}

// Flush waits until the store has all answers and releases, or ctx ends.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		l.mu.Lock()
		pending, progress := len(l.writes), l.progress
		for _, c := range l.active {
			if c.committing {
				pending++
			}
		}
		l.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "order: %d answers not recorded", pending)
		}
	}
}

// end forgets a claim. The caller holds mu.
func (l *Ledger) end(c *Claim) {
	c.state = stateEnded
	if l.active[c.key] == c {
		delete(l.active, c.key)
	}
	c.settle()
}

func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Waiting returns the number of claims that wait for the store.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.claims)
}
