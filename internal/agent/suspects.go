package agent

import "sync"

// suspects counts the suspect requests on each upstream process: those that are running, or were lost when it crashed. A suspect is
// a request with the fingerprint of one that was in progress on an upstream when it crashed. A crash with a suspect present is not
// attributed to the other requests on the process.
type suspects struct {
	// mu guards counts, which holds the number of suspects by incarnation.
	mu     sync.Mutex
	counts map[uint64]int
}

// maxSuspectIncarnations limits the incarnations in counts. Requests of older ones have long ended.
const maxSuspectIncarnations = 16

func newSuspects() *suspects { return &suspects{counts: make(map[uint64]int)} }

// started adds a suspect that started on the upstream process.
func (s *suspects) started(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counts) >= maxSuspectIncarnations && s.counts[incarnation] == 0 {
		clear(s.counts)
	}
	s.counts[incarnation]++
}

// finished subtracts a suspect that ended without a crash.
func (s *suspects) finished(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[incarnation]--; s.counts[incarnation] <= 0 {
		delete(s.counts, incarnation)
	}
}

// presentOn reports whether a suspect is running on the upstream process or was lost with it.
func (s *suspects) presentOn(incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[incarnation] > 0
}
