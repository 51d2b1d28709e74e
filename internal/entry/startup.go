package entry

import (
	"context"
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

// runStartup begins the wait with the first configuration, and not with the first check, which may come much later.
func (e *Entry) runStartup(ctx context.Context) error {
	changed, stop := e.holder.Subscribe()
	defer stop()
	for e.holder.Current() == nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
	e.startup.mu.Lock()
	defer e.startup.mu.Unlock()
	e.startup.began = time.Now()
	return nil
}

// over tells whether the startup has ended: known returned true once, or the bound has passed, as a pool may have no upstream.
func (s *startup) over(known func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = s.finished || !s.began.IsZero() && time.Since(s.began) >= s.bound || known()
	return s.finished
}
