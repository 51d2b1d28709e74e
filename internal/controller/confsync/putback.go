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

// putBackIfLost writes the configuration in force to the store if the store has an older one or none: a store that was restored from an
// earlier copy has lost what it accepted since, and would refuse every submission that is based on it. It returns what the store holds
// then.
func (s *Syncer) putBackIfLost(ctx context.Context, stored storedVersion) (storedVersion, error) {
	active := s.Current()
	if active == nil || active.Envelope.Revision <= stored.revision {
		return stored, nil
	}
	e := active.Envelope
	next, written, err := s.putBack(ctx, e, stored)
	if err != nil || !written {
		return stored, err
	}
	s.cfg.Log.Info("configuration put back into the store", "revision", e.Revision, "digest", e.Digest, "stored_revision", stored.revision)
	s.putBackHistory(ctx, stored.revision, e.Revision)
	return next, nil
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
