package catalogsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

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
	// isBehindStore is set if the last poll was given up with errBehind.
	isBehindStore bool
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
	if w.isBehindStore {
		wait = time.Millisecond
	}
	events, next, err := w.poll(ctx, wait)
	if w.isBehindStore = errors.Is(err, errBehind); w.isBehindStore {
		w.log.Info("poll given up, its connection may be silent", "prefix", w.prefix.Name, "revision", w.cursor.Revision)
		return nil
	}
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
	w.cursor = next
	for _, event := range events {
		if event.Deleted && w.prefix.HoldsUpstreams && !w.reannounceUntil.IsZero() {
			w.removals = append(w.removals, delayedRemoval{document: event.KV, due: time.Now().Add(maxRemovalDelay)})
			continue
		}
		if upstream, ok := w.applyChange(event); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	w.state.ApplyUpstreams(upstreams)
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

// observedNaming returns the time at which a version that a change names was named. If the change may have lain unread while this node stood still,
// that is the earliest possible time, and is assumed.
func (w *watcher) observedNaming() naming {
	delay := w.readDelay()
	return naming{at: time.Now().Add(-delay), assumed: delay > 0}
}

// decode decodes a document. It logs one that cannot be read.
func (w *watcher) decode(kv store.KV, deleted bool) Document {
	document, err := w.decoder.Decode(kv.Key, kv.Value, deleted)
	if err != nil {
		w.log.Info("document in the store cannot be read", "key", kv.Key, "revision", kv.ModRevision, "cause", err.Error())
	}
	if len(document.Unreadable) > 0 {
		w.log.Info("parts of a document in the store cannot be read", "key", kv.Key, "revision", kv.ModRevision, "parts", document.Unreadable)
	}
	return document
}

// applyChange decodes the document of a change and merges it, see merge.
func (w *watcher) applyChange(event store.Event) (fleet.UpstreamRecord, bool) {
	document := w.decode(event.KV, event.Deleted)
	if document.Evacuation != nil {
		w.applyEvacuation(*document.Evacuation, event)
	}
	return w.merge(document, event.KV, w.observedNaming())
}

// merge merges a document into the state, unless it describes an upstream: then it returns the record of the upstream, to be merged together
// with others, and true. Evacuations are merged separately. named is the time at which a model version was named.
func (w *watcher) merge(document Document, kv store.KV, named naming) (fleet.UpstreamRecord, bool) {
	switch {
	case document.Config != nil:
		if w.state.ApplyConfig(document.Config, kv.ModRevision) {
			fleet.LogConfig(w.log, document.Config, kv.ModRevision, "store")
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
	w.recordFailedCall(now)
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
