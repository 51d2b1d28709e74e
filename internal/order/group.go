package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// takeGroup removes the next group from the queues. A group contains each key at most once, because a ledger has at most one
// active claim per key.
func (l *Ledger) takeGroup() (claims, writes []*Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.pendingClaims), maxClaims)
	claims, l.pendingClaims = l.pendingClaims[:n:n], l.pendingClaims[n:]
	n = min(len(l.pendingWrites), maxWrites)
	writes, l.pendingWrites = l.pendingWrites[:n:n], l.pendingWrites[n:]
	for _, c := range claims {
		c.committing = true
	}
	for _, c := range writes {
		c.committing = true
	}
	return claims, writes
}

// commitGroup writes one group to the store. Every operation is idempotent, so a group whose outcome is unknown is written again:
// the result then shows whether the first attempt took effect.
func (l *Ledger) commitGroup(ctx context.Context, claims, writes []*Claim) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	group := append(append([]*Claim{}, claims...), writes...)
	err := l.ensureLease(ctx)
	if err != nil {
		// No claim was sent in this attempt, whether or not the lease was granted.
		l.handleFailure(group, errors.Mark(err, store.ErrUnavailable))
		return err
	}
	txn := store.Txn{}
	for _, c := range group {
		op, err := l.operation(c)
		if err != nil {
			l.handleFailure(group, err)
			return err
		}
		txn.Then = append(txn.Then, store.Op{Txn: &op})
	}
	result, err := l.store.Txn(ctx, txn)
	if err == nil && len(result.Results) != len(group) {
		err = errors.Wrapf(store.ErrAmbiguous, "order: %d results for %d operations", len(result.Results), len(group))
	}
	if err != nil {
		l.handleFailure(group, err)
		return err
	}
	l.applyResults(group, result, l.storeWasRestored())
	return nil
}

// ensureLease obtains a new lease from the store when there is none or the current one is older than leasePeriod.
func (l *Ledger) ensureLease(ctx context.Context) error {
	if l.lease != 0 && time.Since(l.leaseGrantedAt) < leasePeriod {
		return nil
	}
	lease, err := l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	l.lease, l.leaseGrantedAt = lease, time.Now()
	return nil
}

// operation returns the nested transaction that moves a claim to its next state: create, write the response, or delete.
func (l *Ledger) operation(c *Claim) (store.Txn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := []store.Op{{Get: &store.Get{Key: c.key}}}
	absent := []store.Compare{{Key: c.key, Target: store.CompareCreate}}
	unchanged := []store.Compare{{Key: c.key, Target: store.CompareMod, Revision: c.revision}}
	if c.state == stateReleasing {
		if c.revision == 0 { // The next write needs the revision, which this transaction reads.
			return store.Txn{If: absent, Else: read}, nil
		}
		return store.Txn{If: unchanged, Then: []store.Op{{Delete: &store.Delete{Key: c.key}}}, Else: read}, nil
	}
	if c.lease == 0 {
		c.lease = l.lease
	}
	value, err := record{ClaimID: c.id, RequestDigest: c.requestDigest, Response: c.response}.encode()
	if err != nil {
		return store.Txn{}, errors.Wrap(err, "order: encode record")
	}
	write := []store.Op{{Put: &store.Put{Key: c.key, Value: value, Lease: c.lease}}}
	if c.state == stateClaiming {
		return store.Txn{If: absent, Then: write, Else: read}, nil
	}
	return store.Txn{If: unchanged, Then: write, Else: read}, nil
}

// handleFailure puts a group that was not written, or may not have been, back into the queues. A new claim is refused instead when
// ClaimTimeout has passed, or when the store is unavailable for another reason than the call budget.
func (l *Ledger) handleFailure(group []*Claim, err error) {
	noEffect := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrLeaseNotFound)
	retry := !noEffect || errors.Is(err, store.ErrBudgetExhausted) || errors.Is(err, store.ErrLeaseNotFound)
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.lease = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Log.V(1).Info("order ledger transaction failed", "orders", len(group), "error", err.Error())
	for _, c := range group {
		c.committing = false
		if l.lease == 0 {
			c.lease = 0
		}
		if c.state != stateClaiming {
			c.releaseSent = c.releaseSent || c.state == stateReleasing && !noEffect
			l.pendingWrites = append(l.pendingWrites, c)
			continue
		}
		c.ambiguous = c.ambiguous || !noEffect
		if retry && time.Since(c.created) < l.cfg.ClaimTimeout {
			l.pendingClaims = append(l.pendingClaims, c)
			continue
		}
		l.refuseClaim(c)
	}
}

// refuseClaim resolves a claim that could not be made. A claim that may exist in the store is released there. The caller holds mu.
func (l *Ledger) refuseClaim(c *Claim) {
	if c.ambiguous {
		c.state = stateReleasing
		l.pendingWrites = append(l.pendingWrites, c)
	} else {
		l.removeClaim(c)
	}
	close(c.resolved)
}

// applyResults updates the claims of a group from the results of its nested transactions. After a restoration of the
// store, it grants no claims: their orders may have run under a claim that the store has lost and this ledger has not put back yet.
func (l *Ledger) applyResults(group []*Claim, result store.TxnResult, restored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range group {
		c.committing = false
		nested := result.Results[i].Txn
		succeeded := nested != nil && nested.Succeeded
		var stored *record
		var revision int64
		if nested != nil && !succeeded && len(nested.Results) > 0 && len(nested.Results[0].KVs) > 0 {
			kv := nested.Results[0].KVs[0]
			r, err := decodeRecord(kv.Value)
			if err != nil {
				// A record that cannot be decoded still holds the key: its order may have run.
				l.cfg.Log.Error(err, "unreadable order record", "key", c.key)
				r = record{RequestDigest: c.requestDigest}
			}
			stored, revision = &r, kv.ModRevision
		}
		if restored && c.state == stateClaiming && (succeeded || stored != nil && stored.ClaimID == c.id) {
			l.refuseAfterRestoration(c)
			continue
		}
		l.applyResult(c, succeeded, result.Revision, stored, revision)
	}
}

// applyResult updates one claim. txnRevision is the revision of the transaction. stored is the record that the store has under the
// key, nil when none was returned, and storedRevision its mod revision. The caller holds mu.
func (l *Ledger) applyResult(c *Claim, succeeded bool, txnRevision int64, stored *record, storedRevision int64) {
	isOwn := stored != nil && stored.ClaimID == c.id
	switch {
	case c.state == stateClaiming && (succeeded || isOwn):
		c.state, c.granted, c.revision = stateHeld, true, storedRevision
		if succeeded {
			c.revision = txnRevision
		}
		close(c.resolved)
	case c.state == stateClaiming && stored != nil:
		c.existing = stored
		l.removeClaim(c)
		close(c.resolved)
	case c.state == stateClaiming:
		// The store reported a conflict but returned no record: the other claim has expired or was released in the meantime.
		l.refuseClaim(c)
	case c.state == stateRecording && !succeeded && stored == nil && c.revision != 0:
		// The store was restored from a copy that is older than the claim: create the record again, with the response.
		c.revision = 0
		l.pendingWrites = append(l.pendingWrites, c)
	case succeeded || !isOwn || c.state == stateRecording && stored.Response != nil:
		// The response or release is in the store, or the key belongs to another claim.
		if c.state == stateRecording {
			l.addEnded(c)
		} else {
			l.keepIfAmbiguous(c)
		}
		l.removeClaim(c)
	default:
		// The store has the claim at a revision other than expected, or its revision was not known yet: write again.
		c.revision = storedRevision
		l.pendingWrites = append(l.pendingWrites, c)
	}
}
