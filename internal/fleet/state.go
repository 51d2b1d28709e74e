// Package fleet holds what a node knows of the catalog and merges what it learns from the store and from other nodes.
//
// Every fact carries the revision of the store at which it was written. A fact replaces another one only if its revision is
// higher, so that facts may arrive in any order and more than once.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// goneRetention is how long the revision of an upstream that left is kept, so that an older fact does not bring it back.
const goneRetention = 2 * time.Minute

// UpstreamRecord is a fact about one upstream. Entry is nil if the upstream is gone.
type UpstreamRecord struct {
	ID           string
	Revision     int64
	Announcement *catalog.Upstream
}

// VersionRecord is a fact about the named version of a model.
type VersionRecord struct {
	catalog.NamedVersion
	Revision int64
	// NamedAt is when the version was named, as far as this node knows.
	NamedAt time.Time
}

// Change is what one merge has changed. At most one field is set.
type Change struct {
	Config   *catalog.Config
	Revision int64
	Upstream *UpstreamRecord
	Version  *VersionRecord
}

// State merges facts. It is safe for concurrent use.
type State struct {
	now  func() time.Time
	snap atomic.Pointer[Snapshot]

	// mu guards the fields below and the order of snapshots.
	mu             sync.Mutex
	index          *catalog.Index
	configRevision int64
	upstreams      map[string]*upstreamRecord
	versions       map[string][]VersionRecord
	freshAt        time.Time
	listed         bool
	observers      []func(Change)
	changed        []chan struct{}
}

type upstreamRecord struct {
	UpstreamRecord
	// last is the newest entry that was accepted, kept after the upstream has gone.
	last   *catalog.Upstream
	goneAt time.Time
}

// NewState returns an empty state. now is the clock; nil selects time.Now.
func NewState(now func() time.Time) *State {
	if now == nil {
		now = time.Now
	}
	s := &State{now: now, upstreams: map[string]*upstreamRecord{}, versions: map[string][]VersionRecord{}}
	s.snap.Store(&Snapshot{})
	return s
}

// Snapshot returns the current view. It is never nil.
func (s *State) Snapshot() *Snapshot { return s.snap.Load() }

// Observe registers a function that is called after each change, in order. It must not block and must not call the state.
func (s *State) Observe(f func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, f)
}

// Changed returns a channel that receives a value after changes. Several changes may share one value.
func (s *State) Changed() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = append(s.changed, ch)
	return ch
}

// ApplyConfig merges a configuration and tells whether it is now in force.
func (s *State) ApplyConfig(c *catalog.Config, revision int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.configRevision || (s.index != nil && c.Version < s.index.Config.Version) {
		return false
	}
	s.index, s.configRevision = catalog.NewIndex(c), revision
	s.publish(Change{Config: c, Revision: revision})
	return true
}

// ApplyUpstream merges a fact about an upstream and tells whether it changed anything.
func (s *State) ApplyUpstream(u UpstreamRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyUpstream(u)
}

func (s *State) applyUpstream(u UpstreamRecord) bool {
	known := s.upstreams[u.ID]
	if known == nil {
		known = &upstreamRecord{}
		s.upstreams[u.ID] = known
	}
	if u.Revision <= known.Revision {
		return false
	}
	if u.Announcement != nil && known.last != nil && older(u.Announcement, known.last) {
		// A late announcement of the past: the store holds it until the next one, but it says nothing new.
		known.Revision = u.Revision
		return false
	}
	known.UpstreamRecord = u
	if u.Announcement != nil {
		known.last = u.Announcement
	} else {
		known.goneAt = s.now()
	}
	s.publish(Change{Upstream: &u})
	return true
}

// older tells whether the announcement a was made before b.
func older(a, b *catalog.Upstream) bool {
	if a.Born != b.Born {
		return a.Born < b.Born
	}
	return a.Sequence < b.Sequence
}

// ApplyListing merges a complete list of upstreams as of a revision: what it lacks is gone, unless it is newer.
func (s *State) ApplyListing(listed []UpstreamRecord, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, u := range listed {
		present[u.ID] = true
		s.applyUpstream(u)
	}
	for id, known := range s.upstreams {
		if !present[id] && known.Announcement != nil && known.Revision < revision {
			s.applyUpstream(UpstreamRecord{ID: id, Revision: revision})
		}
	}
	s.listed = true
	s.rebuild()
}

// ApplyVersion merges a named version and tells whether it changed anything. Since may only move back in time.
func (s *State) ApplyVersion(v VersionRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.versions[v.Model]
	for i := range history {
		if history[i].Version != v.Version {
			continue
		}
		if !v.NamedAt.Before(history[i].NamedAt) {
			return false
		}
		history[i].NamedAt = v.NamedAt
		s.rebuild()
		return false
	}
	if n := len(history); n > 0 && v.Version < history[n-1].Version {
		return false
	}
	s.versions[v.Model] = append(history, v)
	s.publish(Change{Version: &v})
	return true
}

// MarkUpToDate records that the node knew everything up to the given moment.
func (s *State) MarkUpToDate(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.freshAt) {
		s.freshAt = at
	}
}

// Staleness returns the time since the node knew everything, and false if it never did.
func (s *State) Staleness() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.freshAt), !s.freshAt.IsZero()
}

// Records returns everything that is known, for another node.
func (s *State) Records() (config *catalog.Config, revision int64, upstreams []UpstreamRecord, versions []VersionRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index != nil {
		config, revision = s.index.Config, s.configRevision
	}
	for id, known := range s.upstreams {
		if known.Announcement == nil && s.now().Sub(known.goneAt) > goneRetention {
			delete(s.upstreams, id)
			continue
		}
		upstreams = append(upstreams, known.UpstreamRecord)
	}
	for _, history := range s.versions {
		versions = append(versions, history...)
	}
	return config, revision, upstreams, versions
}

// MarkUpstreamsComplete records that the list of upstreams is complete, as another node says.
func (s *State) MarkUpstreamsComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		s.listed = true
		s.rebuild()
	}
}

// publish rebuilds the snapshot and tells observers. The caller holds mu.
func (s *State) publish(c Change) {
	s.rebuild()
	for _, f := range s.observers {
		f(c)
	}
	for _, ch := range s.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
