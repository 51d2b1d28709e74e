package checkpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// checkInterval is the time between checks for checkpoints that a restored store may have lost. Changes of the state are noticed at once.
	checkInterval = time.Second
	// takeoverDelay is how long each entry waits for the entry that ranks before it to store a checkpoint. It covers a call that times out.
	takeoverDelay = 1500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause before the next attempt to store a checkpoint. It doubles with each failed one.
	minRetryPause = 300 * time.Millisecond
	maxRetryPause = 2400 * time.Millisecond
	// maxConflicts bounds how often an attempt reads the key again because another writer has changed it.
	maxConflicts = 3
)

// Store is the part of the key-value store that a Writer uses.
type Store interface {
	store.Store
	// Era returns the highest era that the store has stated, see store.Cursor.
	Era() int64
}

// WriterConfig holds the dependencies and settings of a Writer.
type WriterConfig struct {
	Store Store
	// Prefix is the key prefix of the checkpoints.
	Prefix string
	// State holds the documents, and records which checkpoints are stored.
	State *fleet.State
	// Position returns how many linked hubs rank higher for a key, and false if this entry leaves the key to others, see mesh.Mesh.Position.
	Position func(key string) (int, bool)
	Log      logr.Logger
	// StartWait is the time after the start in which nothing is written: entries that are not linked yet all rank first. Default 0.
	StartWait time.Duration
	// AssumedAge is the assumed age of a version that this node learns of from its checkpoint only. Default 0.
	AssumedAge time.Duration
}

// Writer stores checkpoints of the newest documents in a state, as soon as they are known. Of all entries, the one that ranks first for a
// key writes it. The others do so in the order of their ranks, takeoverDelay apart, until they know that it is stored.
type Writer struct {
	WriterConfig
	// missing holds the state of the keys of which the newest document is not known to be stored.
	missing map[string]missingDocument
	// revisions holds the revision of the store at which a key was last found to be written, 0 if it did not exist, all in revisionsEra.
	revisions    map[string]int64
	revisionsEra int64
}

// missingDocument is a key of which the newest document is not known to be stored.
type missingDocument struct {
	// since is when a document of the key was first found missing, or when the record of its checkpoint last changed.
	since time.Time
	// stored is the record of the checkpoint that was known at since.
	stored fleet.CheckpointRecord
	// retryAt is the time before which no other attempt to store the document is made.
	retryAt time.Time
	// pause is the pause before the last retry, 0 before the first one.
	pause time.Duration
}

// NewWriter returns a Writer. Run starts it.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{WriterConfig: cfg, missing: map[string]missingDocument{}, revisions: map[string]int64{}}
}

// Run stores checkpoints until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	changed := w.State.Changed()
	pause.For(ctx, w.StartWait)
	for ctx.Err() == nil {
		timer := time.NewTimer(w.storeMissing(ctx))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// storeMissing stores the documents whose turn it is and returns how long to wait for the next one.
func (w *Writer) storeMissing(ctx context.Context) time.Duration {
	wait := checkInterval
	for _, d := range newestDocuments(w.Prefix, w.State) {
		if w.State.HasCheckpoint(d.key, d.number()) {
			delete(w.missing, d.key)
			continue
		}
		due, mine := w.turn(d)
		if !mine {
			continue
		}
		if time.Now().Before(due) {
			wait = min(wait, time.Until(due))
			continue
		}
		if err := w.write(ctx, d); err != nil && ctx.Err() == nil {
			wait = min(wait, w.recordFailure(d, err))
		}
	}
	return wait
}

// recordFailure schedules the next attempt to store a document and returns the pause until then. It logs only the first of consecutive failures.
func (w *Writer) recordFailure(d document, err error) time.Duration {
	m := w.missing[d.key]
	if m.pause == 0 {
		w.Log.Info("checkpoint could not be stored, will retry", "key", d.key, "number", d.number(), "cause", err.Error())
	}
	m.pause = min(max(2*m.pause, minRetryPause), maxRetryPause)
	m.retryAt = time.Now().Add(m.pause)
	w.missing[d.key] = m
	return m.pause
}

// turn returns when this entry has to store a missing document, and false if it leaves the key to others.
func (w *Writer) turn(d document) (due time.Time, mine bool) {
	position, mine := w.Position(d.key)
	if !mine {
		return time.Time{}, false
	}
	m := w.missing[d.key]
	// A newer document does not reset the times: with documents that follow each other quickly, no other entry would ever take over.
	if stored := w.State.Checkpoint(d.key); m.since.IsZero() || m.stored != stored {
		m.since, m.stored = time.Now(), stored
		w.missing[d.key] = m
	}
	due = m.since.Add(time.Duration(position) * takeoverDelay)
	if m.retryAt.After(due) {
		due = m.retryAt
	}
	return due, true
}

// write stores a checkpoint unless the key holds the document or a newer one already; that is then merged into the state. The record of it
// names the highest era of the store that was known before: an earlier one is over.
func (w *Writer) write(ctx context.Context, d document) error {
	value, err := d.encode()
	if err != nil {
		return err
	}
	for range maxConflicts {
		era, knownEra := w.Store.Era(), w.State.Era()
		w.dropRevisionsBefore(max(era, knownEra))
		result, err := w.Store.Txn(ctx, store.Txn{
			If:   []store.Compare{{Key: d.key, Target: store.CompareMod, Revision: w.revisions[d.key]}},
			Then: []store.Op{{Put: &store.Put{Key: d.key, Value: value}}}})
		if err != nil {
			return errors.Wrap(err, "checkpoint: write")
		}
		if w.Store.Era() != era {
			return errors.Wrap(store.ErrRestored, "checkpoint: write")
		}
		if result.Succeeded {
			w.revisions[d.key] = result.Revision
			w.State.ApplyCheckpoint(fleet.CheckpointRecord{Key: d.key, Number: d.number(), Era: max(era, knownEra)})
			w.Log.Info("checkpoint stored", "key", d.key, "number", d.number(), "era", era, "revision", result.Revision)
			return nil
		}
		storedNumber, err := w.readBack(ctx, d.key)
		if err != nil || storedNumber >= d.number() {
			return err
		}
	}
	return errors.Newf("checkpoint: %s was changed %d times meanwhile", d.key, maxConflicts)
}

// dropRevisionsBefore drops the revisions of an earlier era: a restored store gives them out again.
func (w *Writer) dropRevisionsBefore(era int64) {
	if era != w.revisionsEra {
		clear(w.revisions)
		w.revisionsEra = era
	}
}

// readBack reads what another writer has stored under a key and merges it into the state. It returns the number of the stored document, 0 if there
// is none or if it cannot be decoded, and records the revision.
func (w *Writer) readBack(ctx context.Context, key string) (number int64, err error) {
	kv, err := w.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		w.revisions[key] = 0
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "checkpoint: read back")
	}
	w.revisions[key] = kv.ModRevision
	stored, err := decode(w.Prefix, kv)
	if err != nil {
		w.Log.Info("checkpoint cannot be read, writing it again", "key", key, "revision", kv.ModRevision, "cause", err.Error())
		return 0, nil
	}
	stored.record(w.State, kv.Era)
	stored.merge(w.State, w.Log, kv, time.Now().Add(-w.AssumedAge))
	return stored.number(), nil
}
