package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// take removes the next group from the queues. A key is at most once in a group, because it has at most one claim here.
func (l *Ledger) take() (claims, writes []*Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.claims), maxClaims)
	claims, l.claims = l.claims[:n:n], l.claims[n:]
	n = min(len(l.writes), maxWrites)
	writes, l.writes = l.writes[:n:n], l.writes[n:]
	for _, c := range claims {
		c.committing = true
	}
	for _, c := range writes {
		c.committing = true
	}
	return claims, writes
}

// commit writes one group. Every operation can be repeated without a second effect, so a group whose outcome is unknown is
// simply written again: the answer then tells what the first attempt did.
func (l *Ledger) commit(ctx context.Context, claims, writes []*Claim) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	group := append(append([]*Claim{}, claims...), writes...)
	err := l.ensureLease(ctx)
	if err != nil {
		// No claim was sent in this attempt, whatever became of the lease.
		l.failed(group, errors.Mark(err, store.ErrUnavailable))
		return err
	}
	txn := store.Txn{}
	for _, c := range group {
		op, err := l.operation(c)
		if err != nil {
			l.failed(group, err)
			return err
		}
		txn.Then = append(txn.Then, store.Op{Txn: &op})
	}
	result, err := l.store.Txn(ctx, txn)
	if err == nil && len(result.Results) != len(group) {
		err = errors.Wrapf(store.ErrAmbiguous, "order: %d results for %d operations", len(result.Results), len(group))
	}
	if err != nil {
		l.failed(group, err)
		return err
	}
	l.apply(group, result)
	return nil
}

func (l *Ledger) ensureLease(ctx context.Context) error {
	if l.lease != 0 && time.Since(l.leaseSince) < leasePeriod {
		return nil
	}
	lease, err := l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	l.lease, l.leaseSince = lease, time.Now()
	return nil
}

// operation returns the nested transaction that a claim needs next.
func (l *Ledger) operation(c *Claim) (store.Txn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := []store.Op{{Get: &store.Get{Key: c.key}}}
	absent := []store.Compare{{Key: c.key, Target: store.CompareCreate}}
	unchanged := []store.Compare{{Key: c.key, Target: store.CompareMod, Revision: c.revision}}
	if c.state == stateReleasing {
		if c.revision == 0 {
			return store.Txn{If: absent, Else: read}, nil
		}
		return store.Txn{If: unchanged, Then: []store.Op{{Delete: &store.Delete{Key: c.key}}}, Else: read}, nil
	}
	if c.lease == 0 {
		c.lease = l.lease
	}
	value, err := record{ClaimID: c.id, Request: c.request, Answer: c.answer}.encode()
	if err != nil {
		return store.Txn{}, errors.Wrap(err, "order: encode record")
	}
	write := []store.Op{{Put: &store.Put{Key: c.key, Value: value, Lease: c.lease}}}
	if c.state == stateClaiming {
		return store.Txn{If: absent, Then: write, Else: read}, nil
	}
	return store.Txn{If: unchanged, Then: write, Else: read}, nil
}

// failed handles a group that was not written, or may not have been.
func (l *Ledger) failed(group []*Claim, err error) {
	noEffect := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrLeaseNotFound)
	retry := !noEffect || errors.Is(err, store.ErrBudgetExhausted) || errors.Is(err, store.ErrLeaseNotFound)
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.lease = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Log.V(1).Info("group of orders not committed", "orders", len(group), "error", err.Error())
	for _, c := range group {
		c.committing = false
		if l.lease == 0 {
			c.lease = 0
		}
		if c.state != stateClaiming {
			l.writes = append(l.writes, c)
			continue
		}
		c.ambiguous = c.ambiguous || !noEffect
		if retry && time.Since(c.created) < l.cfg.ClaimTimeout {
			l.claims = append(l.claims, c)
			continue
		}
		l.refuse(c)
	}
}

// refuse resolves a claim that could not be made. One that may exist in the store is released there.
func (l *Ledger) refuse(c *Claim) {
	if c.ambiguous {
		c.state = stateReleasing
		l.writes = append(l.writes, c)
	} else {
		l.end(c)
	}
	close(c.resolved)
}

// apply handles the results of a group.
func (l *Ledger) apply(group []*Claim, result store.TxnResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range group {
		c.committing = false
		nested := result.Results[i].Txn
		succeeded := nested != nil && nested.Succeeded
		var held *record
		var revision int64
		if nested != nil && !succeeded && len(nested.Results) > 0 && len(nested.Results[0].KVs) > 0 {
			kv := nested.Results[0].KVs[0]
			r, err := decodeRecord(kv.Value)
			if err != nil {
				// An unreadable record still holds the key. Its order may have run.
				l.cfg.Log.Error(err, "unreadable order record", "key", c.key)
				r = record{Request: c.request}
			}
			held, revision = &r, kv.ModRevision
		}
		l.applyOne(c, succeeded, result.Revision, held, revision)
	}
}

func (l *Ledger) applyOne(c *Claim, succeeded bool, written int64, held *record, revision int64) {
	own := held != nil && held.ClaimID == c.id
	switch {
	case c.state == stateClaiming && (succeeded || own):
		c.state, c.granted, c.revision = stateHeld, true, revision
		if succeeded {
			c.revision = written
		}
		close(c.resolved)
	case c.state == stateClaiming && held != nil:
		c.found = held
		l.end(c)
		close(c.resolved)
	case c.state == stateClaiming:
		// The store reported a conflict and showed no record: the other claim expired or was released meanwhile.
		l.refuse(c)
	case succeeded || !own || c.state == stateRecording && held.Answer != nil:
		l.end(c)
	default:
		// The claim is in the store with another revision than expected, or its revision was not known yet.
		c.revision = revision
		l.writes = append(l.writes, c)
	}
}
