package fleet

import (
	"cmp"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// copyRetention is how long after a restore of the store its copy may still list an upstream that had been removed before. Announcements in
// the store end after three missed heartbeats of the upstream, which are 1.2 s apart; the rest is a margin.
const copyRetention = 5 * time.Second

// UpstreamRecord is the versioned state of one upstream. Announcement is nil if the upstream was removed.
type UpstreamRecord struct {
	ID string
	// Era and Revision are the era of the store and the revision in it at which the record was written. A restore of the store from an
	// earlier copy begins a new era, in which revisions are given out again.
	Era, Revision int64
	Announcement  *catalog.Upstream
	// Source is the ID of the node that sent the record, empty if it comes from the store. It is not part of the record that is sent on.
	Source string
}

// isAfter reports whether the record was written after other.
func (u UpstreamRecord) isAfter(other UpstreamRecord) bool {
	return cmp.Or(cmp.Compare(u.Era, other.Era), cmp.Compare(u.Revision, other.Revision)) > 0
}

// Listing is a complete list of the upstreams at a point in the history of the store.
type Listing struct {
	Upstreams     []UpstreamRecord
	Era, Revision int64
	// Settled is set when upstreams have had the time to announce themselves again since the era of the store began.
	Settled bool
}

// upstreamState is the current record of an upstream and what is needed to reject older ones.
type upstreamState struct {
	UpstreamRecord
	// lastAnnouncement is the newest accepted announcement. It is kept after the upstream was removed.
	lastAnnouncement *catalog.Upstream
	removedAt        time.Time
	// rival is the process with an earlier start time whose announcement the store lists after the accepted one.
	rival rival
	// replacedStart is the start time of the process that was replaced by its rival, 0 if none was.
	replacedStart int64
	// deferred is a record that was not accepted because only the copy of a restored store may list the upstream.
	deferred UpstreamRecord
}

// ObserveEra records an era of the store and reports whether it is the first one after an earlier era that was known, so that the store has
// been restored from a copy.
func (s *State) ObserveEra(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.eraKnown && era > s.era
	s.era, s.eraKnown = max(s.era, era), true
	if restored {
		s.restoredAt = s.now()
		s.wakeSubscribers() // What is recorded as stored may be lost.
	}
	return restored
}

// ObserveOutage records that the store answers again after an outage. Leases may have been paused in it: if it began while the copy of a restored
// store may still have listed removed upstreams, it may do so for copyRetention from now.
func (s *State) ObserveOutage(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, current := range s.upstreams {
		current.rival.since = now // The accepted process could not announce itself.
	}
	if !s.restoredAt.IsZero() && now.Add(-duration).Sub(s.restoredAt) < copyRetention {
		s.restoredAt = now
	}
}

// Era returns the highest era of the store that is known, 0 if none is.
func (s *State) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// RestoredAt returns the time at which this node learned of the last restore of the store, or the end of an outage soon after that. It is zero
// if the node knows of none.
func (s *State) RestoredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restoredAt
}

// ApplyUpstream merges an upstream record and reports whether it was accepted. It is rejected if it was not written after the recorded one,
// or if its announcement was made before the newest accepted one, see also rival. An announcement is also accepted if it was made later, but stored in an
// era that is over, or before an older one that was stored late.
func (s *State) ApplyUpstream(u UpstreamRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := s.applyUpstream(u)
	s.publishUpstreams()
	return accepted
}

// ApplyUpstreams merges upstream records as ApplyUpstream does, with one new snapshot for all.
func (s *State) ApplyUpstreams(records []UpstreamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range records {
		s.applyUpstream(u)
	}
	s.publishUpstreams()
}

// publishUpstreams publishes the upstream records that were accepted since the last call. The caller holds mu.
func (s *State) publishUpstreams() {
	if len(s.acceptedUpstreams) > 0 {
		s.publish(s.acceptedUpstreams...)
		s.acceptedUpstreams = nil
	}
}

// applyUpstream merges an upstream record and adds it to acceptedUpstreams if it was accepted, see ApplyUpstream. The caller holds mu.
func (s *State) applyUpstream(u UpstreamRecord) bool {
	current := s.upstreams[u.ID]
	if current == nil {
		current = &upstreamState{}
		s.upstreams[u.ID] = current
	}
	isAfter := u.isAfter(current.UpstreamRecord)
	if u.Announcement != nil && current.lastAnnouncement == nil && s.isRevivedByCopy(u, current) {
		s.deferRecord(u, current)
		return false
	}
	if u.Announcement != nil && current.lastAnnouncement != nil {
		order := current.compare(u.Announcement)
		switch {
		case order < 0 && isAfter && s.replacesByRival(u, current): // Accepted below.
		case order < 0 && isAfter:
			// The announcement is outdated: it was stored late, or the store was restored from a copy that holds it. The store holds it until
			// the next one. Its place in the history is recorded, but the newer announcement stays. A removal keeps its own place, so that it is
			// recorded again when the store has removed the upstream too.
			if current.Announcement != nil {
				current.Era, current.Revision = u.Era, u.Revision
			}
			return false
		case order == 0 && s.isRevivedByCopy(u, current):
			s.deferRecord(u, current)
			return false
		case order > 0 && !isAfter && current.Announcement != nil:
			u.Era, u.Revision, isAfter = current.Era, current.Revision, true
		}
	}
	if !isAfter {
		return false
	}
	s.accept(u, current)
	return true
}

// accept makes a record the current one of its upstream and adds it to acceptedUpstreams. The caller holds mu.
func (s *State) accept(u UpstreamRecord, current *upstreamState) {
	current.UpstreamRecord, current.rival = u, rival{}
	if u.Announcement != nil {
		current.lastAnnouncement = u.Announcement
	} else {
		current.removedAt = s.now()
	}
	s.acceptedUpstreams = append(s.acceptedUpstreams, Change{Upstream: &u})
}

// isRevivedByCopy reports whether a record repeats an announcement of an upstream that was removed in an earlier era, while the store
// may list it only because the copy was made before the removal. Of an upstream that is known by its removal only, any announcement may be
// such a one, until a newer one follows. The caller holds mu.
func (s *State) isRevivedByCopy(u UpstreamRecord, current *upstreamState) bool {
	if current.Announcement != nil || u.Era <= current.Era || s.restoredAt.IsZero() || s.now().Sub(s.restoredAt) >= copyRetention {
		return false
	}
	if current.lastAnnouncement != nil {
		return true
	}
	deferred := current.deferred.Announcement
	return !current.removedAt.IsZero() && (deferred == nil || compareAnnouncements(u.Announcement, deferred) <= 0)
}

// deferRecord keeps a record that may come from the copy of a restored store only, until applyDeferred. The caller holds mu.
func (s *State) deferRecord(u UpstreamRecord, current *upstreamState) {
	if u.isAfter(current.deferred) {
		current.deferred, s.hasDeferred = u, true
	}
}

// applyDeferred merges the deferred records once the copy of a restored store lists no removed upstreams any more. Those that have been removed
// in the new era meanwhile are rejected as outdated. The caller holds mu.
func (s *State) applyDeferred() {
	if !s.hasDeferred || s.now().Sub(s.restoredAt) < copyRetention {
		return
	}
	s.hasDeferred = false
	for _, current := range s.upstreams {
		if deferred := current.deferred; deferred.Announcement != nil {
			current.deferred = UpstreamRecord{}
			s.applyUpstream(deferred)
		}
	}
	s.publishUpstreams()
}

// compareAnnouncements compares two announcements of one upstream by the time at which they were made.
func compareAnnouncements(a, b *catalog.Upstream) int {
	return cmp.Or(cmp.Compare(a.StartedAtMillis, b.StartedAtMillis), cmp.Compare(a.Sequence, b.Sequence))
}

// ApplyListing merges a complete list of the upstreams. Upstreams that the list lacks are removed unless their record was written later, or
// was written in an earlier era and the listing is not settled: the store may have lost their announcements in a restore. A removal of
// an earlier era is recorded again by a settled listing, for nodes that have read the upstream from the copy. It reports whether another listing
// is needed because of upstreams that were not removed, or because of listed ones that were not accepted yet.
func (s *State) ApplyListing(listing Listing) (needsAnother bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(listing.Upstreams))
	for _, u := range listing.Upstreams {
		present[u.ID] = true
		s.applyUpstream(u)
		needsAnother = needsAnother || s.isRevivedByCopy(u, s.upstreams[u.ID])
	}
	for id, current := range s.upstreams {
		removal := UpstreamRecord{ID: id, Era: listing.Era, Revision: listing.Revision}
		switch {
		case present[id] || !removal.isAfter(current.UpstreamRecord):
		case current.Announcement == nil && (current.Era == listing.Era || !listing.Settled):
		case current.Era < listing.Era && !listing.Settled:
			needsAnother = true
		default:
			s.applyUpstream(removal)
		}
	}
	s.upstreamsComplete = true
	s.rebuild()
	s.notify(s.acceptedUpstreams...)
	s.acceptedUpstreams = nil
	return needsAnother
}

// HasUpstreamsBefore reports whether the last record of an upstream that is not removed was written before an era of the store.
func (s *State) HasUpstreamsBefore(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, current := range s.upstreams {
		if current.Announcement != nil && current.Era < era {
			return true
		}
	}
	return false
}
