package fake

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// StoreCopy is the content of a Store at one time.
type StoreCopy struct {
	revision, compacted int64
	keys                map[string]etcdjson.KeyValue
	history             []etcdjson.Event
	// leaseTTLs holds the times to live of the leases, in seconds, by ID.
	leaseTTLs   map[int64]int64
	nextLeaseID int64
}

// Copy returns a copy of the present content, for Restore.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := StoreCopy{
		revision: s.revision, compacted: s.compacted, keys: maps.Clone(s.keys), history: slices.Clone(s.history),
		leaseTTLs: make(map[int64]int64, len(s.leases)), nextLeaseID: s.nextLeaseID,
	}
	for id, l := range s.leases {
		c.leaseTTLs[id] = l.ttl
	}
	return c
}

// Restore replaces the content by an earlier copy, as etcd does when it is started from a snapshot with the same members and token: what
// was acknowledged since is lost, revisions are given out again, leases start with their full time to live, and open watches are
// disconnected. The cluster ID stays, as it does in etcd in this case.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.revision, s.compacted, s.keys, s.history = c.revision, c.compacted, maps.Clone(c.keys), slices.Clone(c.history)
	s.leases, s.nextLeaseID = make(map[int64]*lease, len(c.leaseTTLs)), c.nextLeaseID
	for id, ttl := range c.leaseTTLs {
		s.addLease(id, ttl)
	}
	close(s.restored)
	s.restored = make(chan struct{})
}

// addLease adds a lease that expires after ttl seconds. The caller holds mu.
func (s *Store) addLease(id, ttl int64) *lease {
	added := &lease{id: id, ttl: ttl}
	added.timer = time.AfterFunc(added.lifetime(), func() { s.expire(added) })
	s.leases[id] = added
	return added
}
