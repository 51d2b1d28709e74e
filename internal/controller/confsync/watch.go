package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

const (
	// watchersPerDataCentre is the number of entries per data centre that watch the store: one and a spare.
	watchersPerDataCentre = 2
	// roleCheckInterval is the interval at which an entry checks whether it has to watch the store.
	roleCheckInterval = time.Second
	// initialBackoff and maxBackoff bound the delay before retries during an outage. With the randomisation factor of 0.5 the
	// longest delay is 3 s, so that a data centre is up to date within 5 s after a partition heals.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// errWatchMissedRevision means that a read returned a revision that the watch had not delivered.
var errWatchMissedRevision = errors.New("confsync: watch missed a revision")

// newBackoff returns the backoff for retries of store calls.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = initialBackoff, maxBackoff, 0.5
	b.Reset()
	return b
}

// isWatcher reports whether this entry has to watch the store: it is one of the watchersPerDataCentre live entries with the
// highest rank in its data centre.
func (s *Syncer) isWatcher() bool {
	ownRank, higher := rank(s.cfg.NodeID), 0
	for _, id := range s.cfg.LiveEntries() {
		if otherRank := rank(id); id != s.cfg.NodeID && (otherRank > ownRank || otherRank == ownRank && id > s.cfg.NodeID) {
			higher++
		}
	}
	return higher < watchersPerDataCentre
}

// rank returns the rendezvous hash of an entry, by which the watchers of the configuration are selected.
func rank(id string) uint64 { return xxhash.Sum64String("config-watch\x00" + id) }

// followStore watches the store while this entry is a watcher, and otherwise polls it at long intervals, until ctx ends.
func (s *Syncer) followStore(ctx context.Context) {
	retryBackoff := newBackoff()
	for ctx.Err() == nil {
		var err error
		if s.isWatcher() {
			err = s.watchSession(ctx, retryBackoff.Reset)
		} else if err = s.refresh(ctx); err == nil {
			retryBackoff.Reset()
			s.waitForRoleOrPoll(ctx)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		telemetry.Debug(s.cfg.Log).Info("cannot read or watch the store", "cause", err.Error())
		pause.For(ctx, retryBackoff.NextBackOff())
	}
}

// waitForRoleOrPoll waits until this entry becomes a watcher, its next slow poll is due, or ctx ends.
func (s *Syncer) waitForRoleOrPoll(ctx context.Context) {
	// The interval is spread over 0.5 to 1.5 times its mean, so that entries that were started together do not read together.
	pollDue := time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(s.cfg.SlowPollInterval)))
	for ctx.Err() == nil && time.Now().Before(pollDue) && !s.isWatcher() {
		pause.For(ctx, min(roleCheckInterval, time.Until(pollDue)))
	}
}

// watchSession watches the store until the watch fails or misses a revision, or this entry is no longer a watcher. It returns
// nil only in the last case. It calls markHealthy, which resets the backoff, after each successful poll. The first poll takes
// place one poll interval after the start of the watch, so the backoff keeps growing while watches fail at once.
func (s *Syncer) watchSession(ctx context.Context, markHealthy func()) error {
	restorations := store.Restorations(s.cfg.Store)
	revision, err := s.readStore(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	watchFailed := make(chan error, 1)
	go func() {
		deliver := func(event store.Event) { s.handleEvent(event, restorations) }
		watchFailed <- s.cfg.Store.Watch(ctx, configKey, revision+1, deliver)
	}()
	defer cancel()
	roleTicker, pollTicker := time.NewTicker(roleCheckInterval), time.NewTicker(s.cfg.WatcherPollInterval)
	defer roleTicker.Stop()
	defer pollTicker.Stop()
	for {
		select {
		case err := <-watchFailed:
			return errors.Wrap(err, "confsync: watch the configuration key")
		case <-roleTicker.C:
			if !s.isWatcher() {
				return nil
			}
		case <-pollTicker.C:
			revisionBefore := s.cfg.Holder.Revision()
			if err := s.refresh(ctx); err != nil {
				return err
			}
			markHealthy()
			if s.cfg.Holder.Revision() > revisionBefore {
				return errWatchMissedRevision
			}
		}
	}
}

// handleEvent applies a change that the watch delivers. restorations is the number of restorations of the store at the start of the watch.
// Deletion of the key does not change the configuration in force.
func (s *Syncer) handleEvent(event store.Event, restorations uint64) {
	if event.Deleted {
		s.cfg.Log.Info("configuration key deleted in the store, the configuration in force stays")
		return
	}
	s.applyStored(event.KV, restorations)
}

// refresh reads the store and applies the stored configuration if it is newer. If it is older than the one in force, the latter is
// written to the store.
func (s *Syncer) refresh(ctx context.Context) error {
	_, err := s.readStore(ctx)
	return err
}

// readStore does what refresh does, and returns the mod revision of the configuration key, or 0 if the key does not exist.
func (s *Syncer) readStore(ctx context.Context) (int64, error) {
	stored, err := s.readAndApply(ctx)
	if err == nil {
		stored, err = s.correctStore(ctx, stored)
	}
	return stored.modRevision, err
}

// readAndApply reads the stored configuration and applies it if it is newer.
func (s *Syncer) readAndApply(ctx context.Context) (storedVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var last storedVersion
	// After a restoration of the store, the last mod revision may have been given out again for another value.
	restorations := store.Restorations(s.cfg.Store)
	if read := s.lastRead.Load(); read != nil && read.restorations == restorations {
		last = read.storedVersion
	}
	kv, err := s.getIfChanged(ctx, last.modRevision)
	switch {
	case errors.Is(err, store.ErrNotFound):
		s.lastRead.Store(nil)
		return storedVersion{}, nil
	case errors.Is(err, errUnchanged):
		return last, nil
	case err != nil:
		return last, errors.Wrap(err, "confsync: read the configuration key")
	default:
		return s.applyStored(kv, restorations), nil
	}
}

// errUnchanged means that the store still holds the value that was read last.
var errUnchanged = errors.New("confsync: value unchanged")

// getIfChanged reads the configuration key. It returns errUnchanged if the key still has the mod revision lastRevision, so that
// a poll does not transfer the unchanged document again, and store.ErrNotFound if the key does not exist.
func (s *Syncer) getIfChanged(ctx context.Context, lastRevision int64) (store.KV, error) {
	if lastRevision == 0 {
		return s.cfg.Store.Get(ctx, configKey)
	}
	result, err := s.cfg.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: configKey, Target: store.CompareMod, Revision: lastRevision}},
		Else: []store.Op{{Get: &store.Get{Key: configKey}}},
	})
	switch {
	case err != nil:
		return store.KV{}, err
	case result.Succeeded:
		return store.KV{}, errUnchanged
	case len(result.Results) != 1 || len(result.Results[0].KVs) != 1:
		return store.KV{}, store.ErrNotFound
	default:
		return result.Results[0].KVs[0], nil
	}
}

// applyStored applies a value of the configuration key if it is newer, and records it as the last one read.
// restorations is the number of restorations of the store before it was read.
func (s *Syncer) applyStored(kv store.KV, restorations uint64) storedVersion {
	stored := storedVersion{modRevision: kv.ModRevision, revision: unknownRevision}
	e, err := config.DecodeEnvelope(kv.Value)
	if err == nil {
		stored.revision = e.Revision
		err = s.apply(e, sourceStore)
	}
	if err != nil {
		s.cfg.Log.Error(err, "configuration from the store not used")
	}
	s.lastRead.Store(&lastRead{storedVersion: stored, restorations: restorations})
	return stored
}
