package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

const (
	// watchersPerDataCentre is the number of entries of a data centre that watch the store: one and a spare.
	watchersPerDataCentre = 2
	// roleInterval is the time between looks at the membership for the role of watcher.
	roleInterval = time.Second
	// initialBackoff and maxBackoff pace attempts during an outage. The randomisation of 0.5 makes the longest delay 3 s, so
	// that a data centre catches up within 5 s after a partition heals.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// errWatchStale means that a read found a revision that the watch had not delivered.
var errWatchStale = errors.New("confsync: watch missed a revision")

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = initialBackoff, maxBackoff, 0.5
	b.Reset()
	return b
}

// isWatcher tells whether this entry is one of the highest ranked live entries of its data centre.
func (s *Syncer) isWatcher() bool {
	own, higher := rank(s.cfg.NodeID), 0
	for _, id := range s.cfg.LiveEntries() {
		if other := rank(id); id != s.cfg.NodeID && (other > own || other == own && id > s.cfg.NodeID) {
			higher++
		}
	}
	return higher < watchersPerDataCentre
}

// rank is the rendezvous hash of an entry for the duty of watching the configuration.
func rank(id string) uint64 { return xxhash.Sum64String("config-watch\x00" + id) }

// followStore reads or watches the store as the role demands until ctx ends.
func (s *Syncer) followStore(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		var err error
		if s.isWatcher() {
			err = s.watchSession(ctx, pause.Reset)
		} else if err = s.refresh(ctx); err == nil {
			pause.Reset()
			s.waitForRole(ctx)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		telemetry.Debug(s.cfg.Log).Info("store not followed", "cause", err.Error())
		sleep(ctx, pause.NextBackOff())
	}
}

// waitForRole returns when this entry has to watch or when the slow poll is due.
func (s *Syncer) waitForRole(ctx context.Context) {
	// The period is spread over 0.5 to 1.5 times its mean, so that entries started together do not read together.
	due := time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(s.cfg.SlowPollInterval)))
	for ctx.Err() == nil && time.Now().Before(due) && !s.isWatcher() {
		sleep(ctx, min(roleInterval, time.Until(due)))
	}
}

// watchSession watches the store until it fails, misses a revision or the role ends. It returns nil when the role ends.
// It calls healthy when the watch has lasted for one poll, so that a watch that fails at once is retried ever more slowly.
func (s *Syncer) watchSession(ctx context.Context, healthy func()) error {
	from, err := s.read(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		failed <- s.cfg.Store.Watch(ctx, configKey, from+1, func(event store.Event) { s.deliver(event) })
	}()
	defer cancel()
	role, poll := time.NewTicker(roleInterval), time.NewTicker(s.cfg.WatcherPollInterval)
	defer role.Stop()
	defer poll.Stop()
	for {
		select {
		case err := <-failed:
			return errors.Wrap(err, "confsync: watch")
		case <-role.C:
			if !s.isWatcher() {
				return nil
			}
		case <-poll.C:
			before := s.cfg.Holder.Revision()
			if err := s.refresh(ctx); err != nil {
				return err
			}
			healthy()
			if s.cfg.Holder.Revision() > before {
				return errWatchStale
			}
		}
	}
}

func (s *Syncer) deliver(event store.Event) {
	if event.Deleted {
		s.cfg.Log.Info("configuration key deleted in the store, the configuration in force stays")
		return
	}
	if err := s.applyStored(event.KV.Value); err != nil {
		s.cfg.Log.Error(err, "configuration from the store not used")
	}
	s.seen.Store(event.KV.ModRevision)
}

// refresh reads the store and applies what is newer.
func (s *Syncer) refresh(ctx context.Context) error {
	_, err := s.read(ctx)
	return err
}

// read applies the stored configuration and returns the mod revision of its key, 0 when there is none.
func (s *Syncer) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := s.getChanged(ctx, s.seen.Load())
	switch {
	case errors.Is(err, store.ErrNotFound):
		return 0, nil
	case errors.Is(err, errUnchanged):
		return s.seen.Load(), nil
	case err != nil:
		return 0, errors.Wrap(err, "confsync: read")
	}
	if err := s.applyStored(kv.Value); err != nil {
		s.cfg.Log.Error(err, "configuration from the store not used")
	}
	s.seen.Store(kv.ModRevision)
	return kv.ModRevision, nil
}

// errUnchanged means that the store still holds the value that was read last.
var errUnchanged = errors.New("confsync: value unchanged")

// getChanged reads the configuration unless its mod revision is seen, so that a poll does not carry the document again.
func (s *Syncer) getChanged(ctx context.Context, seen int64) (store.KV, error) {
	if seen == 0 {
		return s.cfg.Store.Get(ctx, configKey)
	}
	result, err := s.cfg.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: configKey, Target: store.CompareMod, Revision: seen}},
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

func (s *Syncer) applyStored(value []byte) error {
	e, err := config.DecodeEnvelope(value)
	if err != nil {
		return err
	}
	return s.apply(e, fromStore)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
