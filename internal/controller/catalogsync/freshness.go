package catalogsync

import "time"

// freshness is the freshness of one prefix.
type freshness struct {
	// answeredAt is the time of the store's last answer, as of which all documents under the prefix are known.
	answeredAt time.Time
	// extension is the time after answeredAt for which the prefix still counts as fresh: the time by which the poll that is under
	// way may wait longer than pollTimeout.
	extension time.Duration
}

// markFresh records an answer of the store for a prefix. The state is as fresh as its least fresh prefix, and counts as never fresh
// until every prefix has been read.
func (s *Syncer) markFresh(prefix Prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.freshness[prefix.Name] = freshness{answeredAt: now, extension: prefix.pollTimeout() - pollTimeout}
	oldest := now
	for _, p := range s.decoder.Prefixes() {
		f, answered := s.freshness[p.Name]
		if !answered {
			return
		}
		if freshUntil := f.answeredAt.Add(f.extension); freshUntil.Before(oldest) {
			oldest = freshUntil
		}
	}
	s.state.MarkUpToDate(oldest)
}

// recordFailedCall records that a call to the store has failed.
func (s *Syncer) recordFailedCall(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = at
}

// endExtension records that no poll of the prefix is under way, so that it is only as fresh as the store's last answer.
func (s *Syncer) endExtension(prefix Prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, answered := s.freshness[prefix.Name]; answered {
		f.extension = 0
		s.freshness[prefix.Name] = f
	}
}
