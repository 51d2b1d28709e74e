package confsync

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// unknownRevision stands for the revision of a stored configuration that this node cannot decode, and so never replaces.
const unknownRevision = math.MaxUint64

// putBackAttempts is the number of attempts to write a configuration: the second one uses a new lease if the store has lost the first.
const putBackAttempts = 2

// storedVersion describes the value of the configuration key in the store.
type storedVersion struct {
	// modRevision is the mod revision of the key, 0 if it does not exist.
	modRevision int64
	// revision is the revision of the configuration, 0 if there is none.
	revision uint64
}

// correctStore writes to the store what a restoration from an earlier copy has lost or left ambiguous, and returns what the store holds then.
func (s *Syncer) correctStore(ctx context.Context, stored storedVersion) (storedVersion, error) {
	active := s.Current()
	switch {
	case active == nil:
		return stored, nil
	case active.Envelope.Revision > stored.revision:
		return s.putBackLost(ctx, active.Envelope, stored)
	case active.Envelope.Revision == stored.revision && s.replacedRevision.Load() == stored.revision:
		return s.renumber(ctx, active.Envelope, stored)
	default:
		return stored, nil
	}
}

// putBackLost writes e, the configuration in force, to the store, which has an older one or none: it would refuse every submission that is
// based on e.
func (s *Syncer) putBackLost(ctx context.Context, e config.Envelope, stored storedVersion) (storedVersion, error) {
	next, written, err := s.putBack(ctx, e, stored)
	if err != nil || !written {
		return stored, err
	}
	s.cfg.Log.Info("configuration put back into the store", "revision", e.Revision, "digest", e.Digest, "stored_revision", stored.revision)
	s.putBackHistory(ctx, stored.revision, e.Revision)
	return next, nil
}

// renumber gives e, which has replaced another document with the same revision, the next revision, so that nodes that read no store and
// have the other document in force follow.
func (s *Syncer) renumber(ctx context.Context, e config.Envelope, stored storedVersion) (storedVersion, error) {
	e.Base, e.SubmissionID = e.Revision, "" // The submission's record keeps the revision that its author was told.
	e.Revision++
	next, written, err := s.putBack(ctx, e, stored)
	if err != nil || !written {
		return stored, err
	}
	s.cfg.Log.Info("configuration renumbered, its revision was used for two documents", "revision", e.Revision, "digest", e.Digest)
	return next, s.apply(e, sourceStore)
}

// putBack writes e with its history entry and submission record if the configuration key is still as stored describes. It reports whether
// it did; otherwise another node has written the key.
func (s *Syncer) putBack(ctx context.Context, e config.Envelope, stored storedVersion) (storedVersion, bool, error) {
	encoded, err := config.EncodeEnvelope(e)
	if err != nil {
		return stored, false, err
	}
	result, err := s.writeWithRecord(ctx, e, store.Txn{
		If: []store.Compare{{Key: configKey, Target: store.CompareMod, Revision: stored.modRevision}},
		Then: append([]store.Op{
			{Put: &store.Put{Key: configKey, Value: encoded}},
			{Put: &store.Put{Key: historyKey(e.Revision), Value: encoded}},
		}, historyDeleteOps(e.Revision)...),
	})
	if err != nil || !result.Succeeded {
		return stored, false, errors.Wrapf(err, "confsync: put back revision %d", e.Revision)
	}
	return storedVersion{modRevision: result.Revision, revision: e.Revision}, true, nil
}

// putBackHistory writes the history entries and submission records of recent configurations between two revisions that the store has lost.
func (s *Syncer) putBackHistory(ctx context.Context, after, before uint64) {
	for revision := max(after+1, before-min(before, recentRevisions)); revision < before; revision++ {
		e, ok := s.findRecent(func(e config.Envelope) bool { return e.Revision == revision })
		if !ok {
			continue
		}
		encoded, err := config.EncodeEnvelope(e)
		if err == nil {
			_, err = s.writeWithRecord(ctx, e, store.Txn{
				If:   []store.Compare{{Key: historyKey(revision), Target: store.CompareCreate}},
				Then: []store.Op{{Put: &store.Put{Key: historyKey(revision), Value: encoded}}},
			})
		}
		if err != nil {
			s.cfg.Log.Error(err, "revision not put back into the history", "revision", revision)
		}
	}
}

// writeWithRecord runs txn and writes the submission record of e with it.
func (s *Syncer) writeWithRecord(ctx context.Context, e config.Envelope, txn store.Txn) (store.TxnResult, error) {
	record := e
	record.Text = ""
	encoded, err := config.EncodeEnvelope(record)
	if err != nil {
		return store.TxnResult{}, err
	}
	for attempt := 1; ; attempt++ {
		next := txn
		lease, err := s.submissionLease.acquire(ctx, s.cfg.Store)
		if err != nil {
			return store.TxnResult{}, err
		}
		if e.SubmissionID != "" {
			put := store.Put{Key: submissionPrefix + e.SubmissionID, Value: encoded, Lease: lease}
			next.Then = append(append([]store.Op(nil), txn.Then...), store.Op{Put: &put})
		}
		result, err := s.writeOnce(ctx, next)
		if !errors.Is(err, store.ErrLeaseNotFound) || attempt == putBackAttempts {
			return result, err
		}
		s.submissionLease.invalidate(lease)
	}
}

// writeOnce runs one transaction with a timeout.
func (s *Syncer) writeOnce(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return s.cfg.Store.Txn(ctx, txn)
}
