package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/engine"
)

const (
	checkInterval = 500 * time.Millisecond
	// maxFailedChecks tolerates slow answers of a busy upstream. A refused connection counts at once.
	maxFailedChecks = 3
)

// monitor watches the health of the upstream and detects restarts.
type monitor struct {
	upstream *engine.Upstream
	model    bool
	// onChange is called after a change of up, onCrash with the incarnation that crashed.
	onChange func()
	onCrash  func(incarnation uint64)
	// onBatch is called with the number of requests that the upstream runs at once.
	onBatch func(batch int)

	// checking allows one check at a time. It is taken before mu.
	checking sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	up bool
	// gone tells that the last check found no process listening.
	gone     bool
	failures int
	current  uint64
}

func (m *monitor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		m.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *monitor) incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

func (m *monitor) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

// verify tells whether the upstream process with this incarnation is gone.
func (m *monitor) verify(incarnation uint64) bool {
	m.check(context.Background())
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone || m.current != incarnation
}

func (m *monitor) check(ctx context.Context) {
	m.checking.Lock()
	defer m.checking.Unlock()
	reused, err := m.upstream.HealthReused(ctx)
	incarnation := uint64(0)
	if err == nil && m.model {
		status, statusErr := m.upstream.Status(ctx)
		err, incarnation = statusErr, status.Incarnation
		if statusErr == nil {
			m.onBatch(status.MaxBatch)
		}
	}
	if ctx.Err() != nil {
		return
	}
	m.record(err, incarnation, reused)
}

func (m *monitor) record(err error, incarnation uint64, reused bool) {
	m.mu.Lock()
	wasUp, old := m.up, m.current
	m.gone = errors.Is(err, engine.ErrDisconnected)
	if err == nil {
		m.up, m.failures = true, 0
		if !m.model && (!wasUp || !reused) {
			// Plain services report no incarnation. A new one begins each time the service comes back, and when the connection
			// of the last check was closed: a service may restart between two checks. The latter alone is no crash, as
			// services may close idle connections; together with a lost request it is.
			m.current = uint64(time.Now().UnixNano())
		} else if m.model {
			m.current = incarnation
		}
	} else {
		m.failures++
		if m.gone || m.failures >= maxFailedChecks {
			m.up = false
		}
	}
	changed := m.up != wasUp
	crashed := wasUp && (m.gone || m.up && m.model && m.current != old)
	m.mu.Unlock()
	if crashed {
		m.onCrash(old)
	}
	if changed {
		m.onChange()
	}
}
