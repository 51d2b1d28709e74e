package agent

import "sync"

// suspects counts the suspects that run on the current upstream process, or were lost with an earlier one. It tells which
// requests a crash is not blamed on.
type suspects struct {
	// mu guards running, whose keys are incarnations.
	mu      sync.Mutex
	running map[uint64]int
}

// maxSuspectIncarnations bounds the remembered incarnations. Requests of older ones have long ended.
const maxSuspectIncarnations = 16

func newSuspects() *suspects { return &suspects{running: make(map[uint64]int)} }

func (s *suspects) started(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= maxSuspectIncarnations && s.running[incarnation] == 0 {
		clear(s.running)
	}
	s.running[incarnation]++
}

// survived forgets a suspect that ended without a crash.
func (s *suspects) survived(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[incarnation]--; s.running[incarnation] <= 0 {
		delete(s.running, incarnation)
	}
}

// ranOn tells whether a suspect runs on the upstream process, or was lost with it.
func (s *suspects) ranOn(incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[incarnation] > 0
}
