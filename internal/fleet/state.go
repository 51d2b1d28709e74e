// Package fleet holds a node's replica of the catalog and merges records from the store and from other nodes.
//
// Every record carries a number that orders it, so that records may arrive in any order and more than once. Configurations and model
// versions are ordered by the operator's numbers, records of upstreams and of evacuations by the era of the store and the revision in it.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// removedRetention is how long the revision of a removed upstream is kept, so that an older record does not restore it.
const removedRetention = 2 * time.Minute

// VersionRecord records that the operator named a version of a model.
type VersionRecord struct {
	catalog.NamedVersion
	Revision int64
	// NamedAt is the earliest time reported for the naming. AgeAssumed is set if no node is known to have seen the naming: NamedAt is
	// then an assumption.
	NamedAt    time.Time
	AgeAssumed bool
}

// Change describes the effect of one merge: a new configuration with its revision, an upstream record, a version record, the record of a
// checkpoint or that of an evacuation. Exactly one of the pointers is set.
type Change struct {
	Config     *catalog.Config
	Revision   int64
	Upstream   *UpstreamRecord
	Version    *VersionRecord
	Checkpoint *CheckpointRecord
	Evacuation *EvacuationRecord
}

// State holds the merged records of one node. It is safe for concurrent use.
type State struct {
	now  func() time.Time
	snap atomic.Pointer[Snapshot]

	// mu guards the fields below and serialises the publication of snapshots.
	mu                sync.Mutex
	index             *catalog.Index
	configRevision    int64
	configAppliedAt   time.Time
	upstreams         map[string]*upstreamState
	versions          map[string][]VersionRecord
	checkpoints       map[string]CheckpointRecord
	evacuations       map[string]EvacuationRecord
	evacuationsListed evacuationsListed
	upToDateAt        time.Time
	upstreamsComplete bool
	// era is the highest era of the store that is known, if eraKnown is set. restoredAt is when a node that knew an earlier one learned of it,
	// or the end of an outage soon after that, zero if this has not happened.
	era         int64
	eraKnown    bool
	restoredAt  time.Time
	hasDeferred bool // An upstream has a deferred record.
	hasRivals   bool // An upstream has a rival.
	// acceptedUpstreams holds the changes of upstreams that are not published yet. It is empty while mu is not held.
	acceptedUpstreams []Change
	observers         []func(Change)
	subscribers       []chan struct{}
}

// NewState returns an empty state. now is the clock; nil selects time.Now.
func NewState(now func() time.Time) *State {
	if now == nil {
		now = time.Now
	}
	s := &State{now: now, upstreams: map[string]*upstreamState{}, versions: map[string][]VersionRecord{},
		checkpoints: map[string]CheckpointRecord{}, evacuations: map[string]EvacuationRecord{}}
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
	s.index, s.configRevision, s.configAppliedAt = catalog.NewIndex(c), revision, s.now()
	s.publish(Change{Config: c, Revision: revision})
	return true
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
	s.applyRivals()
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

// publish rebuilds the snapshot and notifies observers and subscribers of changes. The caller holds mu.
func (s *State) publish(changes ...Change) {
	s.rebuild()
	s.notify(changes...)
}

// notify notifies observers of each change, and subscribers. The caller holds mu.
func (s *State) notify(changes ...Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		for _, observer := range s.observers {
			observer(c)
		}
	}
	s.wakeSubscribers()
}

// wakeSubscribers sends a value to each subscriber that has received the last one. The caller holds mu.
func (s *State) wakeSubscribers() {
	for _, ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
