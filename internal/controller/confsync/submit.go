package confsync

import (
	"context"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Keys and key prefixes in the store.
const (
	configKey        = "/pimentohead/config"
	historyPrefix    = "/pimentohead/history/"
	submissionPrefix = "/pimentohead/submission/"
)

// errStoreBehind means that the store returned a revision older than the one in force on this node or, after a write that may have
// taken effect, older than the base of the submission.
var errStoreBehind = errors.New("confsync: store returned an older revision than the one in force or the base of the submission")

// historyKey returns the key of a revision in the history.
func historyKey(revision uint64) string { return historyPrefix + strconv.FormatUint(revision, 10) }

// submitCall is the state of one call of Submit, which may make several attempts.
type submitCall struct {
	syncer     *Syncer
	submission config.Submission
	// mayHaveWritten is set when a write of this submission took effect, or may have taken effect because its reply was lost.
	mayHaveWritten bool
}

// storedState holds the documents of the store on which the result of a submission depends.
type storedState struct {
	// record is the envelope, without its text, that was accepted under the submission ID, or nil if the ID is new.
	record *config.Envelope
	// current is the stored configuration, or nil if there is none; modRevision is the mod revision of its key.
	current     *config.Envelope
	modRevision int64
}

// Submit validates a submission and puts it in force. A submission ID that is submitted again within 24 h returns the result of
// the first submission.
//
// It returns a *config.FaultsError, a *config.ConflictError, or an error that matches config.ErrUnavailable (nothing was
// changed) or config.ErrOutcomeUnknown (submit again with the same ID).
func (s *Syncer) Submit(ctx context.Context, sub config.Submission) (config.Envelope, error) {
	if s.cfg.Store == nil {
		return config.Envelope{}, errors.Wrap(config.ErrUnavailable, "this node has no store")
	}
	if _, err := sub.Validate(); err != nil {
		return config.Envelope{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SubmitTimeout)
	defer cancel()
	call := &submitCall{syncer: s, submission: sub}
	accepted, err := backoff.Retry(ctx, func() (config.Envelope, error) { return call.tryOnce(ctx) },
		backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(s.cfg.SubmitTimeout))
	if err == nil {
		// A later revision may already be in force on this node. The submission is accepted even if this node cannot use it.
		if err := s.apply(accepted, sourceStore); err != nil {
			s.cfg.Log.Error(err, "accepted configuration not used", "revision", accepted.Revision)
		}
		return accepted, nil
	}
	var faults *config.FaultsError
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &faults), errors.As(err, &conflict):
		return config.Envelope{}, err
	case call.mayHaveWritten:
		return config.Envelope{}, errors.Mark(errors.Wrapf(err, "%v", config.ErrOutcomeUnknown), config.ErrOutcomeUnknown)
	default:
		return config.Envelope{}, errors.Mark(errors.Wrapf(err, "%v", config.ErrUnavailable), config.ErrUnavailable)
	}
}

// tryOnce reads the state of the store and makes at most one write. The caller retries its errors unless they are permanent.
func (c *submitCall) tryOnce(ctx context.Context) (config.Envelope, error) {
	state, err := c.syncer.readState(ctx, c.submission.SubmissionID)
	if err != nil {
		return config.Envelope{}, err
	}
	if result, done, err := c.resultFromState(ctx, state); done || err != nil {
		if errors.Is(err, errStoreBehind) {
			err = c.putBack(ctx, err)
		}
		return result, err
	}
	lease, err := c.syncer.submissionLease.acquire(ctx, c.syncer.cfg.Store)
	if err != nil {
		return config.Envelope{}, err
	}
	next := c.nextEnvelope(state.current)
	txn, err := c.writeTransaction(next, state.modRevision, lease)
	if err != nil {
		return config.Envelope{}, backoff.Permanent(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := c.syncer.cfg.Store.Txn(callCtx, txn)
	switch {
	case errors.Is(err, store.ErrTooLarge):
		return config.Envelope{}, backoff.Permanent(config.NewFaultsError("", "the document does not fit into the store"))
	case errors.Is(err, store.ErrLeaseNotFound):
		c.syncer.submissionLease.invalidate(lease)
		return config.Envelope{}, err
	case errors.Is(err, store.ErrUnavailable):
		return config.Envelope{}, err
	case err != nil:
		c.mayHaveWritten = true
		return config.Envelope{}, err
	case result.Succeeded:
		return next, nil
	}
	if state, err = parseState(result); err != nil {
		return config.Envelope{}, err
	}
	accepted, done, err := c.resultFromState(ctx, state)
	if err == nil && !done {
		err = errors.New("confsync: store refused the write, but the state that it returned shows no conflict")
	}
	return accepted, err
}

// putBack writes the configuration in force to a store that is behind, so that the next attempt can succeed. A submission that is based on
// an older configuration than the one in force is not attempted again. behind is the error to return.
func (c *submitCall) putBack(ctx context.Context, behind error) error {
	behind = errors.CombineErrors(behind, c.syncer.refresh(ctx))
	if !c.mayHaveWritten && c.submission.Base < c.syncer.cfg.Holder.Revision() {
		return backoff.Permanent(behind)
	}
	return behind
}

// resultFromState returns the result of the submission if the stored state determines it, and reports whether it does. The result
// is the envelope that was accepted under the submission ID, or a permanent error if the submission is refused. If the stored state
// is outdated, resultFromState returns errStoreBehind.
func (c *submitCall) resultFromState(ctx context.Context, state storedState) (config.Envelope, bool, error) {
	if state.record != nil {
		if state.record.Digest != c.submission.Digest {
			return config.Envelope{}, true, backoff.Permanent(config.NewFaultsError("submission_id", "was used for another text"))
		}
		c.mayHaveWritten = true // An earlier attempt took effect, so a later failure must not be reported as no change.
		accepted, err := c.syncer.readHistory(ctx, state.record.Revision)
		return accepted, true, err
	}
	current := config.Envelope{}
	if state.current != nil {
		current = *state.current
	}
	// After a write without a reply, an outdated state must not be taken for a conflict with another submission.
	storeBehind := c.mayHaveWritten && current.Revision < c.submission.Base
	if storeBehind || current.Revision < c.syncer.cfg.Holder.Revision() {
		return config.Envelope{}, false, errStoreBehind
	}
	if current.Revision != c.submission.Base {
		return config.Envelope{}, true, backoff.Permanent(&config.ConflictError{Current: current})
	}
	return config.Envelope{}, false, nil
}

// nextEnvelope returns the envelope of the submission with the revision that follows the current one, or 1.
func (c *submitCall) nextEnvelope(current *config.Envelope) config.Envelope {
	e := config.Envelope{
		Revision: 1, Base: c.submission.Base, Digest: c.submission.Digest, SubmissionID: c.submission.SubmissionID,
		Author: c.submission.Author, Time: time.Now().UTC(), Text: c.submission.Text,
	}
	if current != nil {
		e.Revision = current.Revision + 1
	}
	return e
}

// writeTransaction returns a transaction that writes the configuration, its history entry and the submission's record. If the
// configuration has changed or the submission ID exists, it reads the state instead.
func (c *submitCall) writeTransaction(next config.Envelope, modRevision int64, lease store.LeaseID) (store.Txn, error) {
	encoded, err := config.EncodeEnvelope(next)
	if err != nil {
		return store.Txn{}, err
	}
	record := next
	record.Text = ""
	encodedRecord, err := config.EncodeEnvelope(record)
	if err != nil {
		return store.Txn{}, err
	}
	key := submissionPrefix + c.submission.SubmissionID
	return store.Txn{
		If: []store.Compare{
			{Key: configKey, Target: store.CompareMod, Revision: modRevision},
			{Key: key, Target: store.CompareCreate, Revision: 0},
		},
		Then: append([]store.Op{
			{Put: &store.Put{Key: configKey, Value: encoded}},
			{Put: &store.Put{Key: historyKey(next.Revision), Value: encoded}},
			{Put: &store.Put{Key: key, Value: encodedRecord, Lease: lease}},
		}, historyDeleteOps(next.Revision)...),
		Else: stateReadOps(c.submission.SubmissionID),
	}, nil
}

// stateReadOps returns the operations that read a submission's record and the configuration, in the order of parseState.
func stateReadOps(submissionID string) []store.Op {
	return []store.Op{
		{Get: &store.Get{Key: submissionPrefix + submissionID}},
		{Get: &store.Get{Key: configKey}},
	}
}

// readState reads a submission's record and the configuration at one revision of the store.
func (s *Syncer) readState(ctx context.Context, submissionID string) (storedState, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := s.cfg.Store.Txn(ctx, store.Txn{Then: stateReadOps(submissionID)})
	if err != nil {
		return storedState{}, err
	}
	return parseState(result)
}

// parseState decodes the results of stateReadOps.
func parseState(result store.TxnResult) (storedState, error) {
	var state storedState
	if len(result.Results) != 2 {
		return state, errors.Newf("confsync: store answered with %d results, want 2", len(result.Results))
	}
	for i, target := range []**config.Envelope{&state.record, &state.current} {
		for _, kv := range result.Results[i].KVs {
			e, err := config.DecodeEnvelope(kv.Value)
			if err != nil {
				return state, errors.Wrapf(err, "confsync: decode key %s", kv.Key)
			}
			*target = &e
			if target == &state.current {
				state.modRevision = kv.ModRevision
			}
		}
	}
	return state, nil
}

// History returns the accepted configuration with the given revision, from memory if it is recent, else from the store. Its errors
// match config.ErrNoRevision or config.ErrUnavailable.
func (s *Syncer) History(ctx context.Context, revision uint64) (config.Envelope, error) {
	if e, ok := s.findRecent(func(e config.Envelope) bool { return e.Revision == revision }); ok {
		return e, nil
	}
	if s.cfg.Store == nil {
		return config.Envelope{}, config.ErrUnavailable
	}
	e, err := s.readHistory(ctx, revision)
	if errors.Is(err, store.ErrNotFound) {
		return config.Envelope{}, errors.Wrapf(config.ErrNoRevision, "revision %d", revision)
	}
	if err != nil {
		return config.Envelope{}, errors.Mark(err, config.ErrUnavailable)
	}
	return e, nil
}

// readHistory reads one revision from the history.
func (s *Syncer) readHistory(ctx context.Context, revision uint64) (config.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := s.cfg.Store.Get(ctx, historyKey(revision))
	if err != nil {
		return config.Envelope{}, errors.Wrapf(err, "confsync: read revision %d from the history", revision)
	}
	return config.DecodeEnvelope(kv.Value)
}
