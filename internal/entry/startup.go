package entry

import (
	"sync"
	"time"
)

// knowsAllPools tells whether each pool of the configuration has an upstream that accepts work, here or behind another entry.
func (e *Entry) knowsAllPools() bool {
	for _, pool := range e.holder.Current().Config.Pools {
		if !e.router.Accepting(pool.Name, pool.Kind) && len(e.Accepting(pool.Name, pool.Kind)) == 0 {
			return false
		}
	}
	return true
}

// startup is the time from the first configuration until the entry has learnt of the upstreams. Without it the balancer sends
// requests to an entry that has to refuse them.
type startup struct {
	bound time.Duration
	// mu guards the fields below.
	mu       sync.Mutex
	began    time.Time
	finished bool
}

// over tells whether the startup has ended: known returned true once, or the bound has passed, as a pool may have no upstream.
func (s *startup) over(known func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		s.began = time.Now()
	}
	s.finished = s.finished || time.Since(s.began) >= s.bound || known()
	return s.finished
}
