package order

import (
	"context"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// endedPeriod is how long an ended claim is kept to be put back. A copy from which the store is restored is some seconds old.
	endedPeriod = 60 * time.Second
	// checkInterval is how often a ledger that has ended claims but nothing to commit checks whether the store was restored.
	checkInterval = 2 * time.Second
	// maxEnded limits the ended claims in memory, which are kept without their responses.
	maxEnded = 8192
)

// endedClaim is what is needed to put an ended claim back.
type endedClaim struct {
	key, id       string
	requestDigest [sha256.Size]byte
	endedAt       time.Time
}

// addEnded keeps a claim that ends. The caller holds mu.
func (l *Ledger) addEnded(c *Claim) {
	now := time.Now()
	expired := 0
	for expired < len(l.ended) && (now.Sub(l.ended[expired].endedAt) > endedPeriod || len(l.ended)-expired >= maxEnded) {
		expired++
	}
	l.ended = append(l.ended[expired:], endedClaim{key: c.key, id: c.id, requestDigest: c.requestDigest, endedAt: now})
}

// refuseAfterRestoration resolves a claim that was made after a restoration of the store. If an order with the key has run, the record stays
// in the store in place of the lost one. The caller holds mu.
func (l *Ledger) refuseAfterRestoration(c *Claim) {
	i := slices.IndexFunc(l.ended, func(e endedClaim) bool { return e.key == c.key })
	if i < 0 {
		c.ambiguous = true
		l.refuseClaim(c)
		return
	}
	c.existing = &record{ClaimID: l.ended[i].id, RequestDigest: l.ended[i].requestDigest}
	l.removeClaim(c)
	close(c.resolved)
}

// checkStore reads from the store, so that it notices a restoration, if this ledger has ended claims to put back and has not called the
// store since the last check.
func (l *Ledger) checkStore(ctx context.Context) {
	called := l.calledStore
	l.calledStore = false
	if _, noticesRestorations := l.store.(store.RestorationCounter); called || !noticesRestorations {
		return
	}
	l.mu.Lock()
	key := ""
	if n := len(l.ended); n > 0 && time.Since(l.ended[n-1].endedAt) <= endedPeriod {
		key = l.ended[n-1].key
	}
	l.mu.Unlock()
	if key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	if _, err := l.store.Get(ctx, key); err != nil && !errors.Is(err, store.ErrNotFound) {
		l.cfg.Log.V(1).Info("store not checked for a restoration", "error", err.Error())
	}
}

// storeWasRestored reports whether the store was restored from an earlier copy and the claims of this ledger were not put back yet. Only
// the goroutine of Run calls it.
func (l *Ledger) storeWasRestored() bool { return store.Restorations(l.store) != l.restorations }

// putBackClaims creates the records of held and recently ended claims again that the store lost when it was restored from an earlier copy.
// Ended claims get no response, so that a repeat gets Unknown instead of a second run. It does nothing if the store was not restored.
func (l *Ledger) putBackClaims(ctx context.Context) error {
	restorations := store.Restorations(l.store)
	if restorations == l.restorations {
		return nil
	}
	claims := l.claimsToPutBack()
	l.cfg.Log.Info("store was restored from an earlier copy, putting claims back", "claims", len(claims))
	for group := range slices.Chunk(claims, maxClaims) {
		if err := l.putBackGroup(ctx, group); err != nil {
			return err
		}
	}
	l.restorations = restorations
	return nil
}

// claimsToPutBack returns the held claims and those that ended within endedPeriod.
func (l *Ledger) claimsToPutBack() []endedClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	var claims []endedClaim
	for _, c := range l.active {
		if c.state == stateHeld || c.state == stateRecording {
			claims = append(claims, endedClaim{key: c.key, id: c.id, requestDigest: c.requestDigest})
		}
	}
	for _, c := range l.ended {
		if time.Since(c.endedAt) <= endedPeriod && l.active[c.key] == nil {
			claims = append(claims, c)
		}
	}
	slices.SortFunc(claims, func(a, b endedClaim) int { return strings.Compare(a.key, b.key) })
	return slices.CompactFunc(claims, func(a, b endedClaim) bool { return a.key == b.key })
}

// putBackGroup creates the records of a group of claims if their keys are free.
func (l *Ledger) putBackGroup(ctx context.Context, group []endedClaim) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	if err := l.ensureLease(ctx); err != nil {
		return err
	}
	txn := store.Txn{}
	for _, c := range group {
		value, err := record{ClaimID: c.id, RequestDigest: c.requestDigest}.encode()
		if err != nil {
			return errors.Wrap(err, "order: encode record")
		}
		txn.Then = append(txn.Then, store.Op{Txn: &store.Txn{
			If:   []store.Compare{{Key: c.key, Target: store.CompareCreate}},
			Then: []store.Op{{Put: &store.Put{Key: c.key, Value: value, Lease: l.lease}}},
		}})
	}
	_, err := l.store.Txn(ctx, txn)
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.lease = 0
	}
	return err
}
