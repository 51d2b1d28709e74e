package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-logr/logr"
)

// maxEvacuations bounds the data centres of which a record is kept. Links refuse longer lists, and close when they receive one.
const maxEvacuations = 1024

// SourceStore is the source of records that this node has read in the store itself.
const SourceStore = "store"

// EvacuationRecord records whether the operator asks that nothing more be sent to the upstreams of a data centre.
type EvacuationRecord struct {
	DataCentre string
	// Active is set while the evacuation is in force.
	Active bool
	// Era and Revision are the era of the store and the revision in it at which the operator's key was written or removed, or was missing in a
	// listing.
	Era, Revision int64
	// Observed is set if the write was read as a change. One that was only read in a listing may come from the copy of a restored store.
	Observed bool
	// Written is the revision of the last known write of the key in a record of an end, 0 if none is known.
	Written int64
	// EndedAt is when this node learned of the end of the last evacuation, zero if it knows of none.
	EndedAt time.Time
	// Source is SourceStore, "checkpoint" or the ID of the node that sent the record. It is not part of the record that is sent on.
	Source string
}

// compare orders two records of a data centre by the time at which they were made. A listing that repeats a write at the same revision does not
// replace the end that was recorded for that write; see mergeEvacuations.
func (r EvacuationRecord) compare(other EvacuationRecord) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Revision, other.Revision), cmp.Compare(r.certainty(), other.certainty()))
}

// certainty orders records of the same revision.
func (r EvacuationRecord) certainty() int {
	switch {
	case r.Active && r.Observed:
		return 2
	case !r.Active:
		return 1
	default:
		return 0
	}
}

const (
	// maxNumberedEra and maxNumberedRevision bound what Number can express. A store that changes 1,000 times a second takes 70 years to reach
	// the latter.
	maxNumberedEra, revisionBits = 1<<20 - 1, 41
	maxNumberedRevision          = 1<<revisionBits - 1
)

// Number returns a number that rises with the order of the records of a data centre, 0 if the era or the revision is out of range.
func (r EvacuationRecord) Number() int64 {
	if r.Era < 0 || r.Era > maxNumberedEra || r.Revision <= 0 || r.Revision > maxNumberedRevision {
		return 0
	}
	number := (r.Era<<revisionBits | r.Revision) << 1
	if !r.Active {
		number++
	}
	return number
}

// lastWrite returns the revision of the last known write of the key, 0 if none is known.
func (r EvacuationRecord) lastWrite() int64 {
	if r.Active {
		return r.Revision
	}
	return r.Written
}

// repeats reports whether the record is a write that a later era of the store still holds although end has recorded its removal: the store was
// restored from a copy that was made before the removal.
func (r EvacuationRecord) repeats(end EvacuationRecord) bool {
	return r.Active && !r.Observed && !end.Active && end.Era < r.Era && end.Written == r.Revision
}

// mergeEvacuations returns the record that holds if both are known, in whichever order they have arrived. It returns current if r says the same:
// the times at which nodes learn of an end differ, and nodes that took them over would send them to each other without end.
func mergeEvacuations(current, r EvacuationRecord) EvacuationRecord {
	earlier, later := current, r
	if current.compare(r) >= 0 {
		earlier, later = r, current
	}
	switch {
	case later.repeats(earlier):
		later.Active, later.Written = false, later.Revision
	case !later.Active && later.Written == 0:
		later.Written = earlier.lastWrite()
	}
	return later
}

// EvacuationEffect is what the merge of a record changes.
type EvacuationEffect uint8

// Effects of a merge.
const (
	EvacuationUnchanged EvacuationEffect = iota
	EvacuationBegan
	EvacuationEnded
	// EvacuationRepeated means that a restored store holds a write whose removal is known. It does not begin the evacuation again.
	EvacuationRepeated
	// EvacuationIgnored means that the node holds maxEvacuations records, all of evacuations in force.
	EvacuationIgnored
)

// EvacuationChange is the record of a data centre after a merge, and what the merge has changed.
type EvacuationChange struct {
	EvacuationRecord
	Effect EvacuationEffect
}

// Log writes a line if the merge has changed what the node believes.
func (c EvacuationChange) Log(log logr.Logger) {
	message := ""
	switch c.Effect {
	case EvacuationBegan:
		message = "evacuation of data centre began"
	case EvacuationEnded:
		message = "evacuation of data centre ended"
	case EvacuationRepeated:
		message = "evacuation of data centre not begun again, the restored store holds a write that was removed"
	case EvacuationIgnored:
		message = "evacuation of data centre ignored, too many are in force"
	default:
		return
	}
	log.Info(message, "data_centre", c.DataCentre, "era", c.Era, "revision", c.Revision, "written", c.lastWrite(), "from", c.Source)
}

// EvacuationListing is a complete list of the evacuations in force at a point in the history of the store.
type EvacuationListing struct {
	Records       []EvacuationRecord
	Era, Revision int64
	// HasUnreadable is set if the listing had items without a readable key or revision: a missing key may be one of these.
	HasUnreadable bool
}

// ApplyEvacuation merges a record and returns the effect.
func (s *State) ApplyEvacuation(r EvacuationRecord) EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyEvacuation(r)
}

// applyEvacuation is ApplyEvacuation. The caller holds mu.
func (s *State) applyEvacuation(r EvacuationRecord) EvacuationChange {
	current, known := s.evacuations[r.DataCentre]
	if !known && len(s.evacuations) >= maxEvacuations && !s.dropEndedEvacuation() {
		return EvacuationChange{EvacuationRecord: r, Effect: EvacuationIgnored}
	}
	if s.wasUnlisted(r, current) {
		r = EvacuationRecord{DataCentre: r.DataCentre, Era: s.evacuationsListed.era, Revision: s.evacuationsListed.revision, Written: r.Revision,
			EndedAt: s.now(), Source: r.Source}
	}
	next := r
	if known {
		next = mergeEvacuations(current, r)
		if next == current {
			return EvacuationChange{EvacuationRecord: current}
		}
		next.EndedAt, next.Source = s.endOf(current, r, next), r.Source
	}
	s.evacuations[r.DataCentre] = next
	s.publish(Change{Evacuation: &next})
	return EvacuationChange{EvacuationRecord: next, Effect: effectOf(current, r, next)}
}

// dropEndedEvacuation drops the record of the evacuation that ended first in the history of the store. It returns false if all are in force. The
// caller holds mu.
func (s *State) dropEndedEvacuation() bool {
	oldest, found := EvacuationRecord{}, false
	for _, r := range s.evacuations {
		order := cmp.Or(cmp.Compare(r.Era, oldest.Era), cmp.Compare(r.Revision, oldest.Revision))
		if !r.Active && (!found || order < 0) {
			oldest, found = r, true
		}
	}
	delete(s.evacuations, oldest.DataCentre)
	return found
}

// endOf returns when this node learned of the end of the last evacuation, once next has replaced current because of r. An evacuation that this
// node has missed ended when the other node says.
func (s *State) endOf(current, r, next EvacuationRecord) time.Time {
	switch {
	case current.Active && !next.Active:
		return s.now()
	case !r.Active && r.EndedAt.After(current.EndedAt):
		return r.EndedAt
	default:
		return current.EndedAt
	}
}

// effectOf returns the effect of a merge of r that has replaced current by next.
func effectOf(current, r, next EvacuationRecord) EvacuationEffect {
	switch {
	case !current.Active && next.Active:
		return EvacuationBegan
	case current.Active && !next.Active:
		return EvacuationEnded
	case r.Active && !next.Active:
		return EvacuationRepeated
	default:
		return EvacuationUnchanged
	}
}

// evacuationsListed is the point in the history of the store of the last listing of the evacuations.
type evacuationsListed struct{ era, revision int64 }

// wasUnlisted reports whether a write, which is new to this node, was made before a listing that lacked its key, so that it was removed
// before. The caller holds mu.
func (s *State) wasUnlisted(r, current EvacuationRecord) bool {
	listed := s.evacuationsListed
	return r.Active && r.Era == listed.era && r.Revision <= listed.revision && current.compare(r) < 0 &&
		(!current.Active || current.Era != r.Era)
}

// ApplyEvacuationListing merges a listing of the evacuations. Those that the listing lacks end, unless their record is of an earlier era: the
// store may have lost their keys in a restore. It returns the effects, and the records of the evacuations that stay in force although their key is
// missing.
func (s *State) ApplyEvacuationListing(listing EvacuationListing) (changes []EvacuationChange, kept []EvacuationRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := map[string]bool{}
	for _, r := range listing.Records {
		present[r.DataCentre] = true
		changes = append(changes, s.applyEvacuation(r))
	}
	for dataCentre, current := range s.evacuations {
		switch {
		case !current.Active || present[dataCentre] || current.Era == listing.Era && current.Revision > listing.Revision:
		case current.Era == listing.Era && !listing.HasUnreadable:
			changes = append(changes, s.applyEvacuation(EvacuationRecord{DataCentre: dataCentre, Era: listing.Era, Revision: listing.Revision,
				Source: SourceStore}))
		case current.Era <= listing.Era:
			kept = append(kept, current)
		}
	}
	if !listing.HasUnreadable {
		s.evacuationsListed = evacuationsListed{listing.Era, listing.Revision}
	}
	return changes, kept
}

// Evacuated reports whether nothing more may be sent to the upstreams of a data centre.
func (s *Snapshot) Evacuated(dataCentre string) bool { return s.evacuations[dataCentre].Active }

// EvacuationEndedAt returns when this node learned of the end of the last evacuation of a data centre, zero if it knows of none.
func (s *Snapshot) EvacuationEndedAt(dataCentre string) time.Time {
	return s.evacuations[dataCentre].EndedAt
}

// Evacuations returns the records of all data centres that are or were evacuated, ordered by name.
func (s *Snapshot) Evacuations() []EvacuationRecord {
	var out []EvacuationRecord
	for _, r := range s.evacuations {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b EvacuationRecord) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}
