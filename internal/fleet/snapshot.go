package fleet

import (
	"maps"
	"sort"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Snapshot is an immutable view of the merged records.
type Snapshot struct {
	// Index is nil until a configuration has been merged.
	Index *catalog.Index
	// ConfigRevision is the store revision at which the configuration was written. It does not order configurations: see ConfigVersion.
	ConfigRevision int64
	// ConfigAppliedAt is when this node put the configuration in force.
	ConfigAppliedAt time.Time
	// UpstreamsComplete is set once a complete list of upstreams has been merged.
	UpstreamsComplete bool

	byService map[string][]*catalog.Upstream
	byAddress map[string]*catalog.Upstream
	byID      map[string]*catalog.Upstream
	// versions holds the named versions of each model, oldest first.
	versions    map[string][]VersionRecord
	evacuations map[string]EvacuationRecord
}

// ConfigVersion returns the version of the configuration, 0 if there is none.
func (s *Snapshot) ConfigVersion() int64 {
	if s.Index == nil {
		return 0
	}
	return s.Index.Config.Version
}

// Upstreams returns the upstreams of a service, ordered by ID. The slice must not be changed.
func (s *Snapshot) Upstreams(service string) []*catalog.Upstream { return s.byService[service] }

// ByAddress returns the most recently started upstream at an address, or nil.
func (s *Snapshot) ByAddress(address string) *catalog.Upstream { return s.byAddress[address] }

// ByID returns the upstream with the given ID, or nil.
func (s *Snapshot) ByID(id string) *catalog.Upstream { return s.byID[id] }

// NewestVersion returns the newest named version of a model, and false if none was named.
func (s *Snapshot) NewestVersion(model string) (VersionRecord, bool) {
	history := s.versions[model]
	if len(history) == 0 {
		return VersionRecord{}, false
	}
	return history[len(history)-1], true
}

// NewestVersions returns the newest named version of each model for which one was named.
func (s *Snapshot) NewestVersions() []VersionRecord {
	var out []VersionRecord
	for _, history := range s.versions {
		out = append(out, history[len(history)-1])
	}
	return out
}

// PreviousVersion returns the version of a model that was named before the newest one, and false if there is none.
func (s *Snapshot) PreviousVersion(model string) (VersionRecord, bool) {
	history := s.versions[model]
	if len(history) < 2 {
		return VersionRecord{}, false
	}
	return history[len(history)-2], true
}

// MinVersion returns the oldest version on which a request may start. This is the newest version that was named at least
// rolloutTime before now, because its rollout has to be complete. It is 0, which allows any version, if there is none.
func (s *Snapshot) MinVersion(model string, now time.Time, rolloutTime time.Duration) int64 {
	var minVersion int64
	for _, v := range s.versions[model] {
		if now.Sub(v.NamedAt) >= rolloutTime {
			minVersion = v.Version
		}
	}
	return minVersion
}

// UsableUntil returns the time from which no request may start on a version: rolloutTime after the naming of the first newer one. It
// returns false while no newer version is named.
func (s *Snapshot) UsableUntil(model string, version int64, rolloutTime time.Duration) (until time.Time, ok bool) {
	for _, v := range s.versions[model] {
		if end := v.NamedAt.Add(rolloutTime); v.Version > version && (!ok || end.Before(until)) {
			until, ok = end, true
		}
	}
	return until, ok
}

// Ready reports whether the node has a configuration and a complete list of upstreams, which it needs to serve callers.
func (s *Snapshot) Ready() bool { return s.Index != nil && s.UpstreamsComplete }

// rebuild publishes a new snapshot. The caller holds mu.
func (s *State) rebuild() {
	next := &Snapshot{
		Index: s.index, ConfigRevision: s.configRevision, ConfigAppliedAt: s.configAppliedAt,
		UpstreamsComplete: s.upstreamsComplete,
		byService:         map[string][]*catalog.Upstream{}, byAddress: map[string]*catalog.Upstream{},
		byID: map[string]*catalog.Upstream{}, versions: map[string][]VersionRecord{}, evacuations: maps.Clone(s.evacuations),
	}
	for _, record := range s.upstreams {
		u := record.Announcement
		if u == nil {
			continue
		}
		next.byID[u.ID] = u
		next.byService[u.Service] = append(next.byService[u.Service], u)
		if other := next.byAddress[u.Address]; other == nil || other.StartedAtMillis < u.StartedAtMillis {
			next.byAddress[u.Address] = u
		}
	}
	for _, list := range next.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for model, history := range s.versions {
		next.versions[model] = append([]VersionRecord(nil), history...)
	}
	s.snap.Store(next)
}
