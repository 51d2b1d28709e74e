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

// Keys of the store.
const (
	configKey        = "/pimentohead/config"
	historyPrefix    = "/pimentohead/history/"
	submissionPrefix = "/pimentohead/submission/"
)

// errStoreBehind means that the store answered with an older revision than the one in force here.
var errStoreBehind = errors.New("confsync: store answered with an older revision than the one in force")

func historyKey(revision uint64) string { return historyPrefix + strconv.FormatUint(revision, 10) }

// submission is one Submit in progress.
type submission struct {
	s   *Syncer
	sub config.Submission
	// sent tells that a write may have taken effect without an answer.
	sent bool
}

// stored is what the store holds for a submission.
type stored struct {
	// record is the envelope without text that the submission ID led to, nil when the ID is new.
	record *config.Envelope
	// current is the configuration, nil when there is none, and its mod revision.
	current     *config.Envelope
	modRevision int64
}

// Submit validates a submission and puts it in force. The same submission ID gets the first result for 24 h.
//
// It returns a *config.FaultsError, a *config.ConflictError, or errors that match config.ErrUnavailable (nothing was
// changed) or config.ErrOutcomeUnknown (submit again with the same ID).
func (s *Syncer) Submit(ctx context.Context, sub config.Submission) (config.Envelope, error) {
	if s.cfg.Store == nil {
		return config.Envelope{}, errors.Wrap(config.ErrUnavailable, "this node has no store")
	}
	if _, err := sub.Check(); err != nil {
		return config.Envelope{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SubmitTimeout)
	defer cancel()
	attempt := &submission{s: s, sub: sub}
	accepted, err := backoff.Retry(ctx, func() (config.Envelope, error) { return attempt.try(ctx) },
		backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(s.cfg.SubmitTimeout))
	if err == nil {
		// A later revision may already be in force here. The submission stays accepted even if this node cannot use it.
		if err := s.apply(accepted, fromStore); err != nil {
			s.cfg.Log.Error(err, "accepted configuration not used", "revision", accepted.Revision)
		}
		return accepted, nil
	}
	var faults *config.FaultsError
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &faults), errors.As(err, &conflict):
		return config.Envelope{}, err
	case attempt.sent:
		return config.Envelope{}, errors.Mark(errors.Wrapf(err, "%v", config.ErrOutcomeUnknown), config.ErrOutcomeUnknown)
	default:
		return config.Envelope{}, errors.Mark(errors.Wrapf(err, "%v", config.ErrUnavailable), config.ErrUnavailable)
	}
}

// try reads the state and writes once. Its errors are retried unless they are permanent.
func (a *submission) try(ctx context.Context) (config.Envelope, error) {
	state, err := a.s.readState(ctx, a.sub.SubmissionID)
	if err != nil {
		return config.Envelope{}, err
	}
	if result, done, err := a.decide(ctx, state); done || err != nil {
		return result, err
	}
	lease, err := a.s.submissions.get(ctx, a.s.cfg.Store)
	if err != nil {
		return config.Envelope{}, err
	}
	next := a.envelope(state.current)
	txn, err := a.transaction(next, state.modRevision, lease)
	if err != nil {
		return config.Envelope{}, backoff.Permanent(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := a.s.cfg.Store.Txn(callCtx, txn)
	switch {
	case errors.Is(err, store.ErrTooLarge):
		return config.Envelope{}, backoff.Permanent(config.Refuse("", "the document does not fit into the store"))
	case errors.Is(err, store.ErrLeaseNotFound):
		a.s.submissions.drop(lease)
		return config.Envelope{}, err
	case errors.Is(err, store.ErrUnavailable):
		return config.Envelope{}, err
	case err != nil:
		a.sent = true
		return config.Envelope{}, err
	case result.Succeeded:
		return next, nil
	}
	if state, err = parseState(result); err != nil {
		return config.Envelope{}, err
	}
	accepted, done, err := a.decide(ctx, state)
	if err == nil && !done {
		err = errors.New("confsync: transaction refused without a visible cause")
	}
	return accepted, err
}

// decide returns done when the submission already has a result, and a permanent error when it is refused.
func (a *submission) decide(ctx context.Context, state stored) (config.Envelope, bool, error) {
	if state.record != nil {
		if state.record.Digest != a.sub.Digest {
			return config.Envelope{}, true, backoff.Permanent(config.Refuse("submission_id", "was used for another text"))
		}
		a.sent = true // An earlier attempt took effect, so a failure from here on must not be reported as without effect.
		first, err := a.s.stored(ctx, state.record.Revision)
		return first, true, err
	}
	current := config.Envelope{}
	if state.current != nil {
		current = *state.current
	}
	// After an unanswered write, an older state must not be taken for a lost race.
	behind := a.sent && current.Revision < a.sub.Base
	if behind || current.Revision < a.s.cfg.Holder.Revision() {
		return config.Envelope{}, false, errStoreBehind
	}
	if current.Revision != a.sub.Base {
		return config.Envelope{}, true, backoff.Permanent(&config.ConflictError{Current: current})
	}
	return config.Envelope{}, false, nil
}

func (a *submission) envelope(current *config.Envelope) config.Envelope {
	e := config.Envelope{
		Revision: 1, Base: a.sub.Base, Digest: a.sub.Digest, SubmissionID: a.sub.SubmissionID, Author: a.sub.Author,
		Time: time.Now().UTC(), Text: a.sub.Text,
	}
	if current != nil {
		e.Revision = current.Revision + 1
	}
	return e
}

// transaction writes the configuration, its history and the submission's record, or reads why that is refused.
func (a *submission) transaction(next config.Envelope, modRevision int64, lease store.LeaseID) (store.Txn, error) {
	full, err := config.EncodeEnvelope(next)
	if err != nil {
		return store.Txn{}, err
	}
	record := next
	record.Text = ""
	short, err := config.EncodeEnvelope(record)
	if err != nil {
		return store.Txn{}, err
	}
	key := submissionPrefix + a.sub.SubmissionID
	return store.Txn{
		If: []store.Compare{
			{Key: configKey, Target: store.CompareMod, Revision: modRevision},
			{Key: key, Target: store.CompareCreate, Revision: 0},
		},
		Then: append([]store.Op{
			{Put: &store.Put{Key: configKey, Value: full}},
			{Put: &store.Put{Key: historyKey(next.Revision), Value: full}},
			{Put: &store.Put{Key: key, Value: short, Lease: lease}},
		}, expireHistory(next.Revision)...),
		Else: stateReads(a.sub.SubmissionID),
	}, nil
}

func stateReads(submissionID string) []store.Op {
	return []store.Op{
		{Get: &store.Get{Key: submissionPrefix + submissionID}},
		{Get: &store.Get{Key: configKey}},
	}
}

// readState reads a submission's record and the configuration at one revision of the store.
func (s *Syncer) readState(ctx context.Context, submissionID string) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := s.cfg.Store.Txn(ctx, store.Txn{Then: stateReads(submissionID)})
	if err != nil {
		return stored{}, err
	}
	return parseState(result)
}

func parseState(result store.TxnResult) (stored, error) {
	var state stored
	if len(result.Results) != 2 {
		return state, errors.Newf("confsync: store answered with %d results, want 2", len(result.Results))
	}
	for i, target := range []**config.Envelope{&state.record, &state.current} {
		for _, kv := range result.Results[i].KVs {
			e, err := config.DecodeEnvelope(kv.Value)
			if err != nil {
				return state, errors.Wrapf(err, "key %s", kv.Key)
			}
			*target = &e
			if target == &state.current {
				state.modRevision = kv.ModRevision
			}
		}
	}
	return state, nil
}

// History returns an accepted configuration. It returns config.ErrNoRevision or config.ErrUnavailable.
func (s *Syncer) History(ctx context.Context, revision uint64) (config.Envelope, error) {
	if e, ok := s.recalled(func(e config.Envelope) bool { return e.Revision == revision }); ok {
		return e, nil
	}
	if s.cfg.Store == nil {
		return config.Envelope{}, config.ErrUnavailable
	}
	e, err := s.stored(ctx, revision)
	if errors.Is(err, store.ErrNotFound) {
		return config.Envelope{}, errors.Wrapf(config.ErrNoRevision, "revision %d", revision)
	}
	if err != nil {
		return config.Envelope{}, errors.Mark(err, config.ErrUnavailable)
	}
	return e, nil
}

// stored reads one revision from the history.
func (s *Syncer) stored(ctx context.Context, revision uint64) (config.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := s.cfg.Store.Get(ctx, historyKey(revision))
	if err != nil {
		return config.Envelope{}, errors.Wrapf(err, "confsync: history %d", revision)
	}
	return config.DecodeEnvelope(kv.Value)
}
