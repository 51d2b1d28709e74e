package catalogsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// hasPassed reports whether t is set and has passed.
func hasPassed(t time.Time) bool { return !t.IsZero() && time.Now().After(t) }

// list reads all documents under the prefix, and their checkpoints, and applies them. It removes upstreams that are not listed, except in the
// reannounce period.
func (w *watcher) list(ctx context.Context) error {
	listing, err := w.lister.List(ctx, w.prefix.Name)
	if err != nil {
		return err
	}
	if known := w.state.Era(); listing.Cursor.Era < known {
		return errors.Wrapf(store.ErrUnavailable, "listing of era %d of the store, %d is known", listing.Cursor.Era, known)
	}
	documents := w.decodeListing(listing)
	w.applyEvacuations(listing, documents)
	mergeCheckpoints, err := w.checkpoints(ctx)
	if err != nil {
		return err
	}
	w.recordSuccess()
	w.observeRevision(listing.Cursor)
	w.observeEra(listing.Cursor)
	awaitingReannounce := time.Now().Before(w.reannounceUntil)
	settled := !awaitingReannounce && (hasPassed(w.reannounceUntil) || hasPassed(w.unsettledUntil))
	w.unsettledUntil = time.Time{} // The listing at the end of a reannounce period that began meanwhile replaces the one due then.
	if !awaitingReannounce {
		w.reannounceUntil = time.Time{}
	}
	var upstreams []fleet.UpstreamRecord
	assumed := w.assumedNaming()
	for i, kv := range listing.KVs {
		if upstream, ok := w.merge(documents[i], kv, assumed); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	mergeCheckpoints(assumed.at)
	if w.prefix.HoldsUpstreams && (!awaitingReannounce || !w.listedOnce) {
		w.applyListing(fleet.Listing{Upstreams: upstreams, Era: listing.Cursor.Era, Revision: listing.Cursor.Revision, Settled: settled})
	} else {
		w.state.ApplyUpstreams(upstreams)
	}
	w.listedOnce = true
	w.cursor = store.Cursor{Era: listing.Cursor.Era, Revision: max(listing.Cursor.Revision, 1)}
	w.markFresh(w.prefix)
	return nil
}

// checkpoints reads the checkpoints of the documents under the prefix and returns a function that merges them. It has no effect if the prefix has
// no checkpoints.
func (w *watcher) checkpoints(ctx context.Context) (merge func(namedAt time.Time), err error) {
	if w.prefix.HoldsUpstreams || w.readCheckpoints == nil {
		return func(time.Time) {}, nil
	}
	return w.readCheckpoints(ctx)
}

// observeEra records the era of a listing. If the store has been restored since the last answer, the reannounce period runs from the time at
// which this node learned of it, also if that was from another node: the copy lacks the upstreams that have announced themselves after it was made.
func (w *watcher) observeEra(cursor store.Cursor) {
	w.state.ObserveEra(cursor.Era)
	if !w.listedOnce || cursor.Era == w.cursor.Era {
		return
	}
	w.log.Info("store was restored from an earlier copy", "prefix", w.prefix.Name, "era", cursor.Era, "revision", cursor.Revision,
		"era_before", w.cursor.Era)
	w.removals = nil // Upstreams have the whole period to announce themselves in the new era.
	if until := w.state.RestoredAt().Add(reannouncePeriod); until.After(w.reannounceUntil) {
		w.reannounceUntil = until
	}
}

// applyListing merges a listing of the upstreams. If it leaves some of them undecided, they are listed again: as settled after the
// reannounce period, and after a settled listing once the store holds no more of what only the copy had listed.
func (w *watcher) applyListing(listing fleet.Listing) {
	switch needsAnother := w.state.ApplyListing(listing); {
	case needsAnother && !listing.Settled:
		w.reannounceUntil = time.Now().Add(reannouncePeriod)
	case needsAnother:
		w.unsettledUntil = time.Now().Add(settledListingInterval)
	}
}

// delayedRemoval is the removal of an upstream that was read in the reannounce period. It is applied when it is due unless the upstream has
// announced itself again; the listing at the end of the period may remove the upstream before.
type delayedRemoval struct {
	document store.KV
	due      time.Time
}

// applyRemovals applies the removals that are due.
func (w *watcher) applyRemovals() {
	for len(w.removals) > 0 && hasPassed(w.removals[0].due) {
		if upstream, ok := w.applyChange(store.Event{KV: w.removals[0].document, Deleted: true}); ok {
			w.state.ApplyUpstream(upstream)
		}
		w.removals = w.removals[1:]
	}
}

// nextRemoval returns when the next removal is due, zero if none is put off.
func (w *watcher) nextRemoval() time.Time {
	if len(w.removals) == 0 {
		return time.Time{}
	}
	return w.removals[0].due
}

// settleEarlierEras requests a settled listing if the state holds upstreams that are recorded in an earlier era of the store only. Other nodes
// may have reported them after the last listing. They have the reannounce period to announce themselves again.
func (w *watcher) settleEarlierEras() {
	if w.prefix.HoldsUpstreams && w.reannounceUntil.IsZero() && w.unsettledUntil.IsZero() && w.state.HasUpstreamsBefore(w.cursor.Era) {
		w.unsettledUntil = time.Now().Add(reannouncePeriod)
	}
}
