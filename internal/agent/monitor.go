package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/engine"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// checkInterval is the time between health checks of the upstream.
	checkInterval = 500 * time.Millisecond
	// maxFailedChecks is the number of consecutive failed checks after which the upstream is down, because a busy upstream may
	// respond too slowly to one check. When a connection is refused or lost, the upstream is down at once.
	maxFailedChecks = 3
	// endingTime is how long a process that is ending may still answer health checks after it has closed the connection of a request.
	endingTime = 100 * time.Millisecond
)

// monitor checks the health of the upstream and detects crashes and restarts.
type monitor struct {
	upstream *engine.Upstream
	// model is set when the upstream is an engine, which reports its incarnation and batch size.
	model bool
	// onChange is called after up changed, onCrash with the incarnation that crashed.
	onChange func()
	onCrash  func(incarnation uint64)
	// onBatch is called with the number of requests that the upstream can run concurrently.
	onBatch func(batch int)

	// checking is held during a check, so that only one runs at a time. Lock order: checking before mu.
	checking sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	up bool
	// processGone is set when the last check could not connect or lost its connection.
	processGone bool
	// failures is the number of consecutive failed checks. timedOut is set when the last one had no answer in time, which closes its
	// connection.
	failures int
	timedOut bool
	// currentIncarnation identifies the upstream process.
	currentIncarnation uint64
}

// run checks the upstream every checkInterval until ctx ends.
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
	return m.currentIncarnation
}

func (m *monitor) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

// checkGone reports whether the process with this incarnation, which has just closed the connection of a request, has gone. It has not if
// it still answers after endingTime. The end of ctx cuts that time short.
func (m *monitor) checkGone(ctx context.Context, incarnation uint64) bool {
	if m.checkGoneNow(incarnation) {
		return true
	}
	pause.For(ctx, endingTime)
	return m.checkGoneNow(incarnation)
}

// checkGoneNow checks the upstream and reports whether the process with this incarnation has gone.
func (m *monitor) checkGoneNow(incarnation uint64) bool {
	m.check(context.Background())
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processGone || m.currentIncarnation != incarnation
}

// check runs a health check and records its result, unless ctx ended during the check.
func (m *monitor) check(ctx context.Context) {
	m.checking.Lock()
	defer m.checking.Unlock()
	reused, err := m.upstream.HealthConnReused(ctx)
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

// record updates the health from the result of a check. reused reports whether the check used the connection of an earlier one.
func (m *monitor) record(err error, incarnation uint64, reused bool) {
	m.mu.Lock()
	wasUp, old := m.up, m.currentIncarnation
	keptOpen := !m.timedOut
	m.processGone, m.timedOut = errors.Is(err, engine.ErrDisconnected), isTimeout(err)
	if err == nil {
		m.up, m.failures = true, 0
		if !m.model && (!wasUp || !reused && keptOpen) {
			// Plain services report no incarnation, so the monitor assigns one. It assigns a new one when the service comes up,
			// and when it has closed the connection of the last check, because a service may restart between two checks. A closed
			// connection alone is not a crash, as services may close idle connections. It is a crash when a request was lost too.
			m.currentIncarnation = uint64(time.Now().UnixNano())
		} else if m.model {
			m.currentIncarnation = incarnation
		}
	} else {
		m.failures++
		if m.processGone || m.failures >= maxFailedChecks {
			m.up = false
		}
	}
	changed := m.up != wasUp
	crashed := wasUp && (m.processGone || m.up && m.model && m.currentIncarnation != old)
	m.mu.Unlock()
	if crashed {
		m.onCrash(old)
	}
	if changed {
		m.onChange()
	}
}

// isTimeout reports whether err means that there was no answer in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
