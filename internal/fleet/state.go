// Package fleet holds a node's replica of the catalog and merges records from the store and from other nodes.
//
// Every record carries a number that orders it, so that records may arrive in any order and more than once. Configurations and model
// versions are ordered by the operator's numbers, upstream records by the era of the store and the revision in it.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// copyRetention is how long after a restore of the store its copy may still list an upstream that had been removed before. Announcements in
// the store end after three missed heartbeats of the upstream, which are 1.2 s apart; the rest is a margin.
const copyRetention = 5 * time.Second

// removedRetention is how long the revision of a removed upstream is kept, so that an older record does not restore it.
const removedRetention = 2 * time.Minute

// UpstreamRecord is the versioned state of one upstream. Announcement is nil if the upstream was removed.
type UpstreamRecord struct {
	ID string
	// Era and Revision are the era of the store and the revision in it at which the record was written. A restore of the store from an
	// earlier copy begins a new era, in which revisions are given out again.
	Era, Revision int64
	Announcement  *catalog.Upstream
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

// VersionRecord records that the operator named a version of a model.
type VersionRecord struct {
	catalog.NamedVersion
	Revision int64
	// NamedAt is the earliest time reported for the naming. AgeAssumed is set if no node is known to have seen the naming: NamedAt is
	// then an assumption.
	NamedAt    time.Time
	AgeAssumed bool
}

// Change describes the effect of one merge: a new configuration with its revision, an upstream record or a version record.
// Exactly one of the pointers is set.
type Change struct {
	Config   *catalog.Config
	Revision int64
	Upstream *UpstreamRecord
	Version  *VersionRecord
}

// State holds the merged records of one node. It is safe for concurrent use.
type State struct {
	now  func() time.Time
	snap atomic.Pointer[Snapshot]

	// mu guards the fields below and serialises the publication of snapshots.
	mu                sync.Mutex
	index             *catalog.Index
	configRevision    int64
	upstreams         map[string]*upstreamState
	versions          map[string][]VersionRecord
	upToDateAt        time.Time
	upstreamsComplete bool
	// era is the highest era of the store that is known, if eraKnown is set. restoredAt is when a node that knew an earlier one heard of it,
	// or the end of an outage soon after that, zero if this has not happened.
	era         int64
	eraKnown    bool
	restoredAt  time.Time
	hasDeferred bool // An upstream has a deferred record.
	observers   []func(Change)
	subscribers []chan struct{}
}

// upstreamState is the current record of an upstream and what is needed to reject older ones.
type upstreamState struct {
	UpstreamRecord
	// lastAnnouncement is the newest accepted announcement. It is kept after the upstream was removed.
	lastAnnouncement *catalog.Upstream
	removedAt        time.Time
	// deferred is a record that was not accepted because only the copy of a restored store may list the upstream.
	deferred UpstreamRecord
}

// NewState returns an empty state. now is the clock; nil selects time.Now.
func NewState(now func() time.Time) *State {
	if now == nil {
		now = time.Now
	}
	s := &State{now: now, upstreams: map[string]*upstreamState{}, versions: map[string][]VersionRecord{}}
	s.snap.Store(&Snapshot{})
	return s
}

// Snapshot returns the current snapshot. It is never nil.
func (s *State) Snapshot() *Snapshot { return s.snap.Load() }

// Observe registers a function that is called after each change, in order, with the state locked. It must not block or call the
// state.
func (s *State) Observe(observer func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, observer)
}

// Changed returns a new channel that receives a value after changes. Changes that follow each other quickly may send a single
// value.
func (s *State) Changed() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, ch)
	return ch
}

// ApplyConfig merges a configuration, which must not change afterwards, and reports whether it replaced the one in force. It does so only
// if its version is higher. The operator's versions order configurations also when the store has been restored from an earlier copy, which
// gives out revisions again. revision is that of the store at which it was written.
func (s *State) ApplyConfig(c *catalog.Config, revision int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index != nil && c.Version <= s.index.Config.Version {
		return false
	}
	s.index, s.configRevision = catalog.NewIndex(c), revision
	s.publish(Change{Config: c, Revision: revision})
	return true
}

// ObserveEra records an era of the store and reports whether it is the first one after an earlier era that was known, so that the store has
// been restored from a copy.
func (s *State) ObserveEra(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.eraKnown && era > s.era
	if restored {
		s.restoredAt = s.now()
	}
	s.era, s.eraKnown = max(s.era, era), true
	return restored
}

// ObserveOutage records that the store answers again after an outage. Leases may have been paused in it: if it began while the copy of a restored
// store may still have listed removed upstreams, it may do so for copyRetention from now.
func (s *State) ObserveOutage(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
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

// RestoredAt returns the time at which this node heard of the last restore of the store, or the end of an outage soon after that. It is zero if
// the node has heard of none.
func (s *State) RestoredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restoredAt
}

// ApplyUpstream merges an upstream record and reports whether it was accepted. It is rejected if it was not written after the recorded one,
// or if its announcement was made before the newest accepted one. An announcement is also accepted if it was made later, but stored in an
// era that is over, or before an older one that was stored late.
func (s *State) ApplyUpstream(u UpstreamRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyUpstream(u)
}

// applyUpstream implements ApplyUpstream. The caller holds mu.
func (s *State) applyUpstream(u UpstreamRecord) bool {
	current := s.upstreams[u.ID]
	if current == nil {
		current = &upstreamState{}
		s.upstreams[u.ID] = current
	}
	isAfter := u.isAfter(current.UpstreamRecord)
	if u.Announcement != nil && current.lastAnnouncement != nil {
		order := compareAnnouncements(u.Announcement, current.lastAnnouncement)
		switch {
		case order < 0 && isAfter:
			// The announcement is outdated: it was stored late, or the store was restored from a copy that holds it. The store holds it until
			// the next one. Its place in the history is recorded, but the newer announcement stays. A removal keeps its own place, so that it is
			// recorded again when the store has removed the upstream too.
			if current.Announcement != nil {
				current.Era, current.Revision = u.Era, u.Revision
			}
			return false
		case order == 0 && s.isRevivedByCopy(u, current):
			current.deferred, s.hasDeferred = u, true
			return false
		case order > 0 && !isAfter && current.Announcement != nil:
			u.Era, u.Revision, isAfter = current.Era, current.Revision, true
		}
	}
	if !isAfter {
		return false
	}
	current.UpstreamRecord = u
	if u.Announcement != nil {
		current.lastAnnouncement = u.Announcement
	} else {
		current.removedAt = s.now()
	}
	s.publish(Change{Upstream: &u})
	return true
}

// isRevivedByCopy reports whether a record repeats an announcement of an upstream that was removed in an earlier era, while the store
// may list it only because the copy was made before the removal. The caller holds mu.
func (s *State) isRevivedByCopy(u UpstreamRecord, current *upstreamState) bool {
	return current.Announcement == nil && u.Era > current.Era && !s.restoredAt.IsZero() && s.now().Sub(s.restoredAt) < copyRetention
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

// ApplyVersion merges a named version and reports whether it was added. For a version that is known already, the time of its naming
// is merged; see mergeNaming. A version older than the newest one is added too: after a restart, a node finds only the newest one in
// the store, but the time in which still older ones may be used depends on when it was named.
func (s *State) ApplyVersion(v VersionRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.versions[v.Model]
	position, found := slices.BinarySearchFunc(history, v.Version,
		func(recorded VersionRecord, version int64) int { return cmp.Compare(recorded.Version, version) })
	if found {
		s.mergeNaming(&history[position], v)
		return false
	}
	s.versions[v.Model] = slices.Insert(history, position, v)
	s.publish(Change{Version: &v})
	return true
}

// namingTolerance is the difference between two times of a naming up to which other nodes are not notified. It covers the time that a
// record takes from node to node.
const namingTolerance = 100 * time.Millisecond

// mergeNaming replaces the time at which a recorded version was named by the one in v if that is more reliable: a reported time
// replaces an assumed one, and of two times of the same kind the earlier one counts. Observers are called, so that other nodes learn
// it, unless the times differ by less than namingTolerance. The caller holds mu.
func (s *State) mergeNaming(recorded *VersionRecord, v VersionRecord) {
	replacesAssumed := recorded.AgeAssumed && !v.AgeAssumed
	isEarlier := recorded.AgeAssumed == v.AgeAssumed && v.NamedAt.Before(recorded.NamedAt)
	if !replacesAssumed && !isEarlier {
		return
	}
	difference := recorded.NamedAt.Sub(v.NamedAt)
	recorded.NamedAt, recorded.AgeAssumed = v.NamedAt, v.AgeAssumed
	if replacesAssumed || difference >= namingTolerance {
		merged := *recorded
		s.publish(Change{Version: &merged})
		return
	}
	s.rebuild()
}

// MarkUpToDate records that the state was up to date at the given time. A time earlier than the recorded one is ignored. Records that were
// deferred after a restore of the store are merged when it is time.
func (s *State) MarkUpToDate(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDeferred()
	if at.After(s.upToDateAt) {
		s.upToDateAt = at
	}
}

// Staleness returns the time since the state was last up to date, and false if it never was.
func (s *State) Staleness() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.upToDateAt), !s.upToDateAt.IsZero()
}

// Records returns all records, to be sent to another node. It also drops records of upstreams that were removed more than
// removedRetention ago.
func (s *State) Records() (config *catalog.Config, revision int64, upstreams []UpstreamRecord, versions []VersionRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index != nil {
		config, revision = s.index.Config, s.configRevision
	}
	for id, current := range s.upstreams {
		if current.Announcement == nil && s.now().Sub(current.removedAt) > removedRetention {
			delete(s.upstreams, id)
			continue
		}
		upstreams = append(upstreams, current.UpstreamRecord)
	}
	for _, history := range s.versions {
		versions = append(versions, history...)
	}
	return config, revision, upstreams, versions
}

// MarkUpstreamsComplete records that another node, whose records were merged, has the complete list of upstreams.
func (s *State) MarkUpstreamsComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.upstreamsComplete {
		s.upstreamsComplete = true
		s.rebuild()
	}
}

// publish rebuilds the snapshot and notifies observers and subscribers. The caller holds mu.
func (s *State) publish(c Change) {
	s.rebuild()
	for _, observer := range s.observers {
		observer(c)
	}
	for _, ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
