package catalogsync

import (
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Evacuation is the operator's request that nothing more be sent to the upstreams of a data centre, or the end of it.
type Evacuation struct {
	DataCentre string
	// Active is set if the request is in force, which it is while its key exists.
	Active bool
}

// WithDataCentres sets the names of all data centres, and returns the Syncer. The evacuation of another one, which has no upstreams that this
// node could know, is logged. Without names, none is. It has to be called before Run.
func (s *Syncer) WithDataCentres(names []string) *Syncer {
	s.dataCentres = names
	return s
}

// decodeListing decodes all documents of a listing, in its order.
func (w *watcher) decodeListing(listing store.Listing) []Document {
	documents := make([]Document, 0, len(listing.KVs))
	for _, kv := range listing.KVs {
		documents = append(documents, w.decode(kv, false))
	}
	return documents
}

// applyEvacuations merges the evacuations of a listing, before the other documents: with these the node may become ready.
func (w *watcher) applyEvacuations(listing store.Listing, documents []Document) {
	if w.prefix.HoldsUpstreams {
		return
	}
	at := fleet.EvacuationListing{Era: listing.Cursor.Era, Revision: listing.Cursor.Revision, HasUnreadable: listing.HasUnreadable}
	for i, kv := range listing.KVs {
		if evacuation := documents[i].Evacuation; evacuation != nil {
			at.Records = append(at.Records, fleet.EvacuationRecord{DataCentre: evacuation.DataCentre, Active: true, Era: kv.Era,
				Revision: kv.ModRevision, Source: fleet.SourceStore})
		}
	}
	changes, kept := w.state.ApplyEvacuationListing(at)
	for _, change := range changes {
		w.logEvacuation(change)
	}
	for _, r := range kept {
		w.log.Info("evacuation of data centre stays in force, its key may have been lost", "data_centre", r.DataCentre, "era", at.Era,
			"revision", at.Revision, "era_written", r.Era, "revision_written", r.Revision, "unreadable_items", at.HasUnreadable)
	}
}

// applyEvacuation merges the write or the removal of the key of an evacuation. A key that was not removed has a value: an item without one could not
// be read and may also be a removal, so that the next call lists the prefix.
func (w *watcher) applyEvacuation(evacuation Evacuation, event store.Event) {
	kv := event.KV
	record := fleet.EvacuationRecord{DataCentre: evacuation.DataCentre, Active: evacuation.Active, Era: kv.Era, Revision: kv.ModRevision,
		Observed: evacuation.Active, Source: fleet.SourceStore}
	if !evacuation.Active {
		record.EndedAt = time.Now()
	}
	if evacuation.Active && len(kv.Value) == 0 {
		record.Observed, w.cursor.Revision = false, 0
	}
	w.logEvacuation(w.state.ApplyEvacuation(record))
}

// logEvacuation logs the effect of an evacuation that was read in the store.
func (w *watcher) logEvacuation(change fleet.EvacuationChange) {
	change.Log(w.log)
	if change.Effect == fleet.EvacuationBegan && len(w.dataCentres) > 0 && !slices.Contains(w.dataCentres, change.DataCentre) {
		w.log.Info("evacuation of a data centre that is not in the settings", "data_centre", change.DataCentre, "era", change.Era,
			"revision", change.Revision)
	}
}
