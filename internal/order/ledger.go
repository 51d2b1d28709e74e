// Package order ensures that an order with an idempotency key runs at most once. An order is a request that is not idempotent. Orders
// whose caller sent no idempotency key do not use this package.
//
// An order runs only after the ledger has claimed its key, that is, has created a record with a unique claim ID in the store. The
// create fails when the store has a record of the key already. The response is recorded under the key and replayed to repeats.
// Claims, responses and releases are committed in groups to stay within the store's limits on calls and sizes.
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

// ErrUnavailable is returned when the key could not be claimed. The order has not run.
var ErrUnavailable = errors.New("order: ledger unavailable")

// Config holds the parameters of a Ledger. The zero value of a field selects its default.
type Config struct {
	Log logr.Logger
	// CommitInterval is the minimum time between two commits to the store. Default 20 ms.
	CommitInterval time.Duration
	// CallTimeout is the timeout of one commit, including the grant of a lease. Default 1 s.
	CallTimeout time.Duration
	// ClaimTimeout limits the time to claim a key, retries included. Default 2 s.
	ClaimTimeout time.Duration
	// MaxActive limits the active claims in memory. At the limit, Begin refuses further keys. Default 4096.
	MaxActive int
}

// Defaults of Config and limits of a group.
const (
	DefaultCommitInterval = 20 * time.Millisecond
	DefaultCallTimeout    = time.Second
	DefaultClaimTimeout   = 2 * time.Second
	// DefaultMaxActive limits memory to 64 MiB of response bodies: 4096 of 16 KiB.
	DefaultMaxActive = 4096
	// maxClaims limits the claims in a group. With maxWrites, a group stays within the 128 operations that etcd allows by default.
	maxClaims = 64
	// maxWrites limits the responses and releases in a group: 16 responses of 16 KiB fit in one call to the store.
	maxWrites = 16
)

// Verdict is the ledger's decision on an order.
type Verdict uint8

// Verdicts of Begin.
const (
	// Run means that the key was claimed for this order. The caller must end the claim with one call of Finish or Release. A
	// second call would be unsafe, because a released claim may be reused for the next order with the key.
	Run Verdict = iota + 1
	// Replay means that the order ran before and its recorded response is to be sent again.
	Replay
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Unknown means that the order is running or may have run, and that there is no response to replay.
	Unknown
)

// Result is the result of Begin. Claim is set with Run, Response with Replay.
type Result struct {
	Verdict  Verdict
	Claim    *Claim
	Response *Response
	// Final is set with Unknown when no later repeat can get the response either.
	Final bool
}

// Claim is the claim of a key by one ledger, from Begin until the ledger drops it from memory. Its state is guarded by Ledger.mu.
type Claim struct {
	key           string
	id            string
	requestDigest [sha256.Size]byte
	created       time.Time
	lease         store.LeaseID
	// revision is the mod revision of the claim's record in the store, 0 while unknown.
	revision int64
	state    claimState
	// ambiguous is set when a write of the claim had an unknown outcome and may have taken effect.
	ambiguous bool
	// releaseSent is set when a release got no answer, so that the store may have carried it out or may still do so.
	releaseSent bool
	response    *Response
	// resolved is closed when the claim was granted or will not be. granted and existing are written once, before that. existing
	// is the record of another claim that holds the key. When neither is set, the claim was refused and Begin returns
	// ErrUnavailable.
	granted  bool
	existing *record
	resolved chan struct{}
	// completed is closed when repeats of the key need not wait any longer: the response is known or the claim has ended.
	completed    chan struct{}
	completeOnce sync.Once
	// committing is set while the claim is part of the group that is being written.
	committing bool
}

// claimState is the state of a claim.
type claimState uint8

const (
	// stateClaiming claims are not known to be in the store yet.
	stateClaiming claimState = iota + 1
	// stateHeld claims are in the store; their order may run.
	stateHeld
	// stateRecording claims have a response that is not in the store yet.
	stateRecording
	// stateReleasing claims are being deleted from the store; their order was not started.
	stateReleasing
	// stateEnded claims are no longer in the ledger's memory. The store may still have their record.
	stateEnded
)

// complete lets repeats of the key proceed. Further calls have no effect.
func (c *Claim) complete() { c.completeOnce.Do(func() { close(c.completed) }) }

// Ledger claims keys and records responses. It is safe for concurrent use.
type Ledger struct {
	cfg   Config
	store store.Store

	// lease is the store lease of new claims, granted again every leasePeriod. Only the goroutine of Run uses it.
	lease          store.LeaseID
	leaseGrantedAt time.Time

	// restorations is the number of restorations of the store after which claims were put back. Only the goroutine of Run uses it.
	restorations uint64
	// calledStore is set by each commit and cleared by each check of the store. Only the goroutine of Run uses it.
	calledStore bool

	// wake holds at most one notification for Run that there is something to commit.
	wake chan struct{}

	// mu guards the fields below and the state of claims.
	mu sync.Mutex
	// active holds the claims that have not ended, by store key.
	active map[string]*Claim
	// ended holds the latest claims that ended after their order may have run, oldest first.
	ended []endedClaim
	// released holds claims that were released but that the store may still create, oldest first.
	released []releasedClaim
	// pendingClaims holds the claims to be created in the store, pendingWrites those with a response or release to be written.
	pendingClaims []*Claim
	pendingWrites []*Claim
	// progress is closed and replaced after each commit attempt.
	progress chan struct{}
}

// New returns a ledger that commits to s. Run must be running for Begin to return.
func New(s store.Store, cfg Config) *Ledger {
	setDefault(&cfg.CommitInterval, DefaultCommitInterval)
	setDefault(&cfg.CallTimeout, DefaultCallTimeout)
	setDefault(&cfg.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&cfg.MaxActive, DefaultMaxActive)
	return &Ledger{
		cfg: cfg, store: s, restorations: store.Restorations(s), wake: make(chan struct{}, 1),
		active: make(map[string]*Claim), progress: make(chan struct{}),
	}
}

// setDefault sets a field that is not positive to its default.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Begin claims the key of an order, or returns what is known of the order that claimed it before. requestDigest covers everything
// that makes two requests equal. When this ledger holds a claim of the key, Begin waits for that order's response until ctx ends. It
// waits for the commit of a new claim even when ctx ends. The only error is ErrUnavailable: the order has not run.
func (l *Ledger) Begin(ctx context.Context, caller, key string, requestDigest [sha256.Size]byte) (Result, error) {
	recordKey := storeKey(caller, key)
	for {
		claim, origin, err := l.findOrCreateClaim(recordKey, requestDigest)
		if err != nil {
			return Result{}, err
		}
		switch origin {
		case claimReused:
			return Result{Verdict: Run, Claim: claim}, nil
		case claimNew:
			<-claim.resolved
			return claim.claimResult(requestDigest)
		}
		if claim.requestDigest != requestDigest {
			return Result{Verdict: Mismatch}, nil
		}
		if !l.awaitCompletion(ctx, claim) {
			if l.isReleasing(claim) {
				return Result{}, errors.Wrap(ErrUnavailable, "an earlier claim of the key is not released yet")
			}
			return Result{Verdict: Unknown}, nil
		}
		if result, ok := l.recordedResult(claim); ok {
			return result, nil
		}
	}
}

// awaitCompletion waits until a claim is completed or ctx ends, and reports whether it is completed. It checks once, ClaimTimeout
// after the start of the wait, whether the claim is being released, and then returns false: while the store is down, the release may
// take longer than any caller waits.
func (l *Ledger) awaitCompletion(ctx context.Context, c *Claim) bool {
	timer := time.NewTimer(l.cfg.ClaimTimeout)
	defer timer.Stop()
	for {
		select {
		case <-c.completed:
			return true
		case <-ctx.Done():
			return false
		case <-timer.C:
			if l.isReleasing(c) {
				return false
			}
		}
	}
}

// isReleasing reports whether a claim is being released, so that its order was not started and never will be.
func (l *Ledger) isReleasing(c *Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == stateReleasing
}

// claimOrigin is how findOrCreateClaim obtained a claim.
type claimOrigin uint8

const (
	claimNew claimOrigin = iota + 1
	// claimReused claims are already in the store; their release was withdrawn.
	claimReused
	// claimInProgress claims belong to another order with the same key.
	claimInProgress
)

// findOrCreateClaim returns the active claim of the key in this ledger, or a new one that Run will commit.
func (l *Ledger) findOrCreateClaim(key string, requestDigest [sha256.Size]byte) (*Claim, claimOrigin, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.active[key]; c != nil {
		if c.isReusable(requestDigest) {
			l.reuse(c)
			return c, claimReused, nil
		}
		return c, claimInProgress, nil
	}
	if len(l.active) >= l.cfg.MaxActive {
		return nil, 0, errors.Wrap(ErrUnavailable, "too many active claims")
	}
	c := &Claim{
		key: key, id: uuid.NewString(), requestDigest: requestDigest, created: time.Now(), state: stateClaiming,
		resolved: make(chan struct{}), completed: make(chan struct{}),
	}
	l.active[key] = c
	l.pendingClaims = append(l.pendingClaims, c)
	l.wakeCommitter()
	return c, claimNew, nil
}

// isReusable reports whether the next order with the key may take over the claim: it is in the store, and no release of it
// was sent. The caller holds the ledger's mu.
func (c *Claim) isReusable(requestDigest [sha256.Size]byte) bool {
	return c.state == stateReleasing && !c.committing && !c.releaseSent && c.revision != 0 && c.requestDigest == requestDigest
}

// reuse withdraws a release that has not been sent to the store yet, so that the next order with the same key takes over the
// claim. The caller holds mu.
func (l *Ledger) reuse(c *Claim) {
	c.state = stateHeld
	for i, w := range l.pendingWrites {
		if w == c {
			l.pendingWrites = append(l.pendingWrites[:i], l.pendingWrites[i+1:]...)
			return
		}
	}
}

// claimResult returns the result of Begin for a new claim. It must be called after resolved is closed.
func (c *Claim) claimResult(requestDigest [sha256.Size]byte) (Result, error) {
	switch {
	case c.granted:
		return Result{Verdict: Run, Claim: c}, nil
	case c.existing == nil:
		return Result{}, errors.Wrap(ErrUnavailable, "key not claimed")
	case c.existing.RequestDigest != requestDigest:
		return Result{Verdict: Mismatch}, nil
	default:
		return replayResult(c.existing.Response), nil
	}
}

// replayResult returns the result of Begin for a key whose order ran, or may have run when response is nil.
func replayResult(response *Response) Result {
	switch {
	case response == nil:
		return Result{Verdict: Unknown}
	case response.TooLarge:
		return Result{Verdict: Unknown, Final: true}
	default:
		return Result{Verdict: Replay, Response: response}
	}
}

// recordedResult returns the result for a repeat of a completed claim, or false when this ledger has no response: the key is free
// again, or the store has a record of it without a response or from another ledger.
func (l *Ledger) recordedResult(c *Claim) (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.response != nil {
		return replayResult(c.response), true
	}
	return Result{}, false
}

// Finish ends the claim of an order that ran. When response is nil, the claim stays in the store without a response: the order never
// runs again, and repeats get Unknown. Otherwise the response is kept in memory until it is recorded in the store.
func (l *Ledger) Finish(c *Claim, response *Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateHeld {
		return
	}
	if response == nil {
		l.addEnded(c)
		l.removeClaim(c)
		return
	}
	recorded := response.Shrink()
	c.response = &recorded
	c.state = stateRecording
	c.complete()
	l.pendingWrites = append(l.pendingWrites, c)
	l.wakeCommitter()
}

// Release deletes the claim of an order that was not started, so that the key can be used again.
func (l *Ledger) Release(c *Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateHeld {
		return
	}
	c.state = stateReleasing
	l.pendingWrites = append(l.pendingWrites, c)
	l.wakeCommitter()
}

// Flush waits until all responses and releases are in the store. It returns an error when ctx ends first.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		l.mu.Lock()
		pending, progress := len(l.pendingWrites), l.progress
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
			return errors.Wrapf(ctx.Err(), "order: %d operations not committed", pending)
		}
	}
}

// removeClaim ends a claim and removes it from memory. The caller holds mu.
func (l *Ledger) removeClaim(c *Claim) {
	c.state = stateEnded
	if l.active[c.key] == c {
		delete(l.active, c.key)
	}
	c.complete()
}

// wakeCommitter notifies Run that there is something to commit.
func (l *Ledger) wakeCommitter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// PendingClaims returns the number of claims that wait for the next group.
func (l *Ledger) PendingClaims() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pendingClaims)
}
