// Package catalogsync keeps a fleet.State up to date from the store.
//
// Only some nodes watch the store. The others receive its changes over links from those nodes, and start to watch the store
// themselves when these updates stop.
package catalogsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// pollTimeout is the longest time that one poll waits for changes, and thus the longest time between two answers of the store.
	// The age at which another node takes over the watch has to be larger.
	pollTimeout = 600 * time.Millisecond
	// upstreamPollTimeout replaces pollTimeout for the list of upstreams. It is longer because calls are billed, and because the
	// polls of the other prefixes detect that the store is unreachable. It bounds how long a connection that has gone silent for
	// this prefix only remains undetected.
	upstreamPollTimeout = 3 * time.Second
	// changeBatchDelay is the delay before the next poll after changes in the list of upstreams, so that one call returns
	// several changes: calls are billed, and the list changes often while upstreams are replaced.
	changeBatchDelay = 120 * time.Millisecond
	// activeCheckInterval is the interval at which an inactive node checks whether it has to watch the store.
	activeCheckInterval = 50 * time.Millisecond
	// The backoff is twice minBackoff after the first failed call, and doubles with each further one up to maxBackoff. A retry is
	// delayed by 0.5 to 1.5 times the backoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// outageThreshold is the minimum length of an outage, from the first failed call to the next successful one, during which
	// announcements of upstreams may have expired because they could not be renewed.
	outageThreshold = 1500 * time.Millisecond
	// reannouncePeriod is the time after the store has recovered in which missing upstreams are kept, because they may still
	// announce themselves again.
	reannouncePeriod = 2200 * time.Millisecond
	// maxRemovalDelay is the longest time for which a removal that is read in the reannounce period is put off while the store answers. An
	// upstream that leaves serves requests for 2 s after its removal.
	maxRemovalDelay = 1800 * time.Millisecond
	// settledListingInterval is the time between listings while the store lists upstreams that may be left of its copy only.
	settledListingInterval = 1500 * time.Millisecond
)

// Document is a decoded document of the store. At most one of Config, Version and UpstreamID is set; none is set for a key that
// this node does not use.
type Document struct {
	Config *catalog.Config
	// Version is a version of a model's weights that the operator has named for use.
	Version *catalog.NamedVersion
	// UpstreamID is the ID of the upstream that the document describes. Upstream is nil if the document was deleted or cannot be
	// decoded.
	UpstreamID string
	Upstream   *catalog.Upstream
}

// Prefix is a key prefix of the store that is synchronised as a unit.
type Prefix struct {
	Name string
	// HoldsUpstreams reports whether the documents under the prefix are the list of upstreams.
	HoldsUpstreams bool
}

// pollTimeout returns the longest time that a poll of the prefix waits for changes.
func (p Prefix) pollTimeout() time.Duration {
	if p.HoldsUpstreams {
		return upstreamPollTimeout
	}
	return pollTimeout
}

// Decoder decodes the documents of the store.
type Decoder interface {
	// Prefixes returns the key prefixes to synchronise.
	Prefixes() []Prefix
	// Decode returns the decoded document. value is empty if the document was deleted. When Decode returns an error, the
	// document cannot be decoded; UpstreamID is still set if it is the document of an upstream.
	Decode(key string, value []byte, deleted bool) (Document, error)
}

// Syncer applies the documents of the store and their changes to a fleet.State, with one goroutine per prefix.
type Syncer struct {
	lister  store.Lister
	decoder Decoder
	state   *fleet.State
	log     logr.Logger
	// isActive reports whether this node has to watch the store.
	isActive func() bool
	// assumedVersionAge is the age that is assumed for model versions at startedAt; see watcher.assumedNaming.
	assumedVersionAge time.Duration
	startedAt         time.Time
	// waitForPeers is the time after startedAt in which only a node that isActive selects lists the prefixes.
	waitForPeers time.Duration
	// readCheckpoints reads the checkpoints of the operator's documents; see WithCheckpoints. It may be nil.
	readCheckpoints CheckpointReader

	// mu guards freshness, the freshness of each prefix.
	mu        sync.Mutex
	freshness map[string]freshness
}

// freshness is the freshness of one prefix.
type freshness struct {
	// answeredAt is the time of the store's last answer, as of which all documents under the prefix are known.
	answeredAt time.Time
	// extension is the time after answeredAt for which the prefix still counts as fresh: the time by which the poll that is under
	// way may wait longer than pollTimeout.
	extension time.Duration
}

// New returns a Syncer. isActive reports whether this node has to watch the store; it must be safe for concurrent use.
// assumedVersionAge is the age that model versions which were named before this call are assumed to have now, because the store does
// not say when they were named.
func New(
	lister store.Lister, decoder Decoder, state *fleet.State, log logr.Logger, isActive func() bool,
	assumedVersionAge time.Duration,
) *Syncer {
	return &Syncer{lister: lister, decoder: decoder, state: state, log: log, isActive: isActive, assumedVersionAge: assumedVersionAge,
		startedAt: time.Now(), freshness: map[string]freshness{}}
}

// WaitForPeers sets the time after the start in which the Syncer lists the prefixes only while isActive returns true, and returns the Syncer.
// After it, a node lists them only if it has not got all records from its peers. It has to be called before Run.
func (s *Syncer) WaitForPeers(wait time.Duration) *Syncer {
	s.waitForPeers = wait
	return s
}

// CheckpointReader reads the checkpoints of the operator's documents from the store. It returns a function that merges them into the state and
// assumes that versions were named at namedAt.
type CheckpointReader func(ctx context.Context) (merge func(namedAt time.Time), err error)

// WithCheckpoints sets the function that reads the checkpoints, and returns the Syncer. It is called with each listing of a prefix that does
// not hold upstreams: the store may hold a document that is older than one that was in force, and a node that lists it may have missed
// the newer one. A listing fails if the checkpoints cannot be read. It has to be called before Run.
func (s *Syncer) WithCheckpoints(read CheckpointReader) *Syncer {
	s.readCheckpoints = read
	return s
}

// Run keeps the state up to date until ctx ends. On every node it lists each prefix until one listing has succeeded, unless WaitForPeers
// was called. After that it calls the store only while isActive returns true.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, prefix := range s.decoder.Prefixes() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w := &watcher{Syncer: s, prefix: prefix}
			w.run(ctx)
		}()
	}
	wg.Wait()
}

// markFresh records an answer of the store for a prefix. The state is as fresh as its least fresh prefix, and counts as never fresh
// until every prefix has been read.
func (s *Syncer) markFresh(prefix Prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.freshness[prefix.Name] = freshness{answeredAt: now, extension: prefix.pollTimeout() - pollTimeout}
	oldest := now
	for _, p := range s.decoder.Prefixes() {
		f, answered := s.freshness[p.Name]
		if !answered {
			return
		}
		if freshUntil := f.answeredAt.Add(f.extension); freshUntil.Before(oldest) {
			oldest = freshUntil
		}
	}
	s.state.MarkUpToDate(oldest)
}

// endExtension records that no poll of the prefix is under way, so that it is only as fresh as the store's last answer.
func (s *Syncer) endExtension(prefix Prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, answered := s.freshness[prefix.Name]; answered {
		f.extension = 0
		s.freshness[prefix.Name] = f
	}
}

// watcher keeps one prefix up to date.
type watcher struct {
	*Syncer
	prefix Prefix
	// cursor is the point of the store's history up to which all changes are known. Its revision is 0 if a listing is needed; its era is
	// that of the last answer also then.
	cursor store.Cursor
	// listedOnce is set once a listing has succeeded.
	listedOnce bool
	// failingSince is the time of the first of the consecutive failures, or zero after a success.
	failingSince time.Time
	backoff      time.Duration
	// reannounceUntil is the end of the period in which a missing upstream is assumed to have lost its announcement in an outage or a
	// restore of the store, and is kept. It is zero outside such a period.
	reannounceUntil time.Time
	// removals are the removals that were read in the reannounce period, oldest first.
	removals []delayedRemoval
	// unsettledUntil is the time at which the upstreams are listed again because the last listing left some of them undecided, zero if it
	// left none.
	unsettledUntil time.Time
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.applyRemovals()
		if (w.listedOnce || w.mayLeaveListingToPeers()) && !w.isActive() {
			w.cursor.Revision, w.failingSince = 0, time.Time{}
			w.endExtension(w.prefix)
			pause.For(ctx, activeCheckInterval)
			continue
		}
		if err := w.syncOnce(ctx); err != nil && ctx.Err() == nil {
			w.recordFailure(err)
			pause.For(ctx, w.backoff/2+rand.N(w.backoff))
		}
	}
}

// mayLeaveListingToPeers reports whether this node, which has not listed the prefix yet, need not do so: it still waits for its peers, or has all
// that is needed from them.
func (w *watcher) mayLeaveListingToPeers() bool {
	return w.waitForPeers > 0 && (time.Since(w.startedAt) < w.waitForPeers || w.state.Snapshot().Ready())
}

// syncOnce makes one call to the store and applies the result. The call is a listing if the revision is unknown or the reannounce
// period has ended, and a poll otherwise.
func (w *watcher) syncOnce(ctx context.Context) error {
	if w.cursor.Revision == 0 || hasPassed(w.reannounceUntil) || hasPassed(w.unsettledUntil) {
		return w.list(ctx)
	}
	wait := w.prefix.pollTimeout()
	if !w.failingSince.IsZero() {
		wait = pollTimeout // An answer is needed soon, because the prefix is not fresh until then.
	}
	for _, due := range []time.Time{w.reannounceUntil, w.unsettledUntil, w.nextRemoval()} {
		if !due.IsZero() {
			wait = min(wait, max(time.Until(due), 0)+time.Millisecond)
		}
	}
	events, next, err := w.lister.Poll(ctx, w.prefix.Name, w.cursor, wait)
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
		w.log.Info("history of the store is gone, listing again", "prefix", w.prefix.Name, "era", w.cursor.Era,
			"revision", w.cursor.Revision, "restored", errors.Is(err, store.ErrRestored))
		w.cursor.Revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.recordSuccess()
	var upstreams []fleet.UpstreamRecord
	for _, event := range events {
		if event.Deleted && w.prefix.HoldsUpstreams && !w.reannounceUntil.IsZero() {
			w.removals = append(w.removals, delayedRemoval{document: event.KV, due: time.Now().Add(maxRemovalDelay)})
			continue
		}
		if upstream, ok := w.apply(event.KV, event.Deleted, naming{at: time.Now()}); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	w.state.ApplyUpstreams(upstreams)
	w.cursor = next
	w.markFresh(w.prefix)
	w.settleEarlierEras()
	if len(events) > 0 && w.prefix.HoldsUpstreams {
		pause.For(ctx, changeBatchDelay)
	}
	return nil
}

// naming is the time at which a model version was named. assumed is set if the time is not known.
type naming struct {
	at      time.Time
	assumed bool
}

// assumedNaming returns the time at which a version that a listing returns, and that is new to this node, is assumed to have been
// named. The version was named after the state was last up to date. If it never was, the version is assumed to have been named
// assumedVersionAge before the start: the later the listing comes, the older the version.
func (w *watcher) assumedNaming() naming {
	if age, known := w.state.Staleness(); known {
		return naming{at: time.Now().Add(-min(age, w.assumedVersionAge)), assumed: true}
	}
	return naming{at: w.startedAt.Add(-w.assumedVersionAge), assumed: true}
}

// apply decodes a document and merges it into the state, unless it describes an upstream: then it returns the record of the upstream, to be
// merged together with others, and true. named is the time at which a model version was named.
func (w *watcher) apply(kv store.KV, deleted bool, named naming) (fleet.UpstreamRecord, bool) {
	document, err := w.decoder.Decode(kv.Key, kv.Value, deleted)
	if err != nil {
		w.log.Info("document in the store cannot be read", "key", kv.Key, "revision", kv.ModRevision, "cause", err.Error())
	}
	switch {
	case document.Config != nil:
		if w.state.ApplyConfig(document.Config, kv.ModRevision) {
			w.log.Info("configuration in force", "version", document.Config.Version, "revision", kv.ModRevision,
				"routes", len(document.Config.Routes), "from", "store")
		} else if index := w.state.Snapshot().Index; index != nil && index.Config.Version != document.Config.Version {
			w.log.Info("configuration not put in force", "version", document.Config.Version, "era", kv.Era, "revision", kv.ModRevision,
				"version_in_force", index.Config.Version, "revision_in_force", w.state.Snapshot().ConfigRevision)
		}
	case document.Version != nil:
		w.applyVersion(*document.Version, kv, named)
	case document.UpstreamID != "":
		return fleet.UpstreamRecord{ID: document.UpstreamID, Era: kv.Era, Revision: kv.ModRevision, Announcement: document.Upstream}, true
	}
	return fleet.UpstreamRecord{}, false
}

// applyVersion merges the named version that a document of the store holds. The newest known version is not merged again: its recorded time is
// at least as reliable. An older one is logged, because a node that starts without a checkpoint would use it: the operator's versions only rise,
// so that the store has gone back to it.
func (w *watcher) applyVersion(v catalog.NamedVersion, kv store.KV, named naming) {
	newest, known := w.state.Snapshot().NewestVersion(v.Model)
	switch {
	case known && newest.Version == v.Version:
		return
	case known && newest.Version > v.Version:
		w.log.Info("store holds an older model version than the newest one", "model", v.Model, "version", v.Version,
			"newest_version", newest.Version, "era", kv.Era, "revision", kv.ModRevision, "newest_revision", newest.Revision)
	}
	if w.state.ApplyVersion(fleet.VersionRecord{NamedVersion: v, Revision: kv.ModRevision, NamedAt: named.at, AgeAssumed: named.assumed}) {
		w.log.Info("model version named", "model", v.Model, "version", v.Version, "age_ms", time.Since(named.at).Milliseconds(),
			"age_assumed", named.assumed, "from", "store", "era", kv.Era, "revision", kv.ModRevision)
	}
}

// recordFailure ends the extension of the prefix's freshness and increases the backoff. It logs only the first of consecutive failures. Removals
// that are put off wait for a listing, since upstreams cannot announce themselves while the store is away.
func (w *watcher) recordFailure(err error) {
	w.endExtension(w.prefix)
	w.removals = nil
	now := time.Now()
	if w.failingSince.IsZero() {
		w.failingSince = now
		w.backoff = minBackoff
		w.log.Info("store is lost", "prefix", w.prefix.Name, "cause", err.Error())
	}
	w.backoff = min(w.backoff*2, maxBackoff)
}

// recordSuccess ends a series of failures. After an outage in which announcements may have expired, it requests a new listing
// and starts the reannounce period, in which missing upstreams are kept.
func (w *watcher) recordSuccess() {
	if w.failingSince.IsZero() {
		return
	}
	duration := time.Since(w.failingSince)
	w.state.ObserveOutage(duration)
	w.failingSince = time.Time{}
	if duration >= outageThreshold && w.listedOnce {
		w.reannounceUntil = time.Now().Add(reannouncePeriod)
		w.cursor.Revision = 0
	}
	w.log.Info("store is back", "prefix", w.prefix.Name, "away_ms", duration.Milliseconds())
}
