package swap

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// fencingTokenCounterBits is the number of low bits of a fencing token that count the loads within an epoch. The epoch is
	// in the bits above.
	fencingTokenCounterBits = 20
	// settledReads is the number of consecutive equal status reads without a pending load before the gate opens. One read is not
	// enough, because an order from a previous process of this agent could arrive right after it.
	settledReads = 2
	// maxFailedReads is the number of consecutive failed status reads after which the engine counts as down and the gate is
	// closed.
	maxFailedReads = 3
)

// Swapper keeps the gate of one upstream open only while the engine serves one known version and has no load pending.
//
// Invariant: the state is StateServing only while the gate is open. Only Run opens and closes the gate.
type Swapper struct {
	cfg  Config
	wake chan struct{}

	// mu guards all fields below.
	mu               sync.Mutex
	status           Status
	target           string
	permit           *permit
	lastFencingToken uint64
	// lastServed is the version that the engine serves, or served last while it serves none.
	lastServed string
	// lostOrders is the number of consecutive load orders whose call failed and that never appeared in the engine's status.
	lostOrders int
	// retryAfter is the earliest time of the next load on an empty engine. It does not delay the load of the version served last
	// after the target has failed.
	retryAfter time.Time
}

// New returns a Swapper in state StateStarting. The gate must be closed.
func New(cfg Config) *Swapper {
	cfg.setDefaults()
	return &Swapper{cfg: cfg, wake: make(chan struct{}, 1), status: Status{State: message.StateStarting}}
}

// Status returns the status to announce.
func (s *Swapper) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// updateStatus applies change to the status and calls OnChange if the status has changed.
func (s *Swapper) updateStatus(change func(*Status)) {
	s.mu.Lock()
	before := s.status
	change(&s.status)
	changed := s.status != before
	s.mu.Unlock()
	if changed {
		s.cfg.OnChange()
	}
}

// Run opens and closes the gate and loads versions until ctx ends. It leaves the gate as it is then, so that a stopping agent
// can finish its requests.
func (s *Swapper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		engine, ok := s.awaitSettled(ctx)
		if !ok {
			return
		}
		if engine.LoadedVersion == "" {
			s.loadEmptyEngine(ctx, engine)
			continue
		}
		s.openGate(engine)
		s.serve(ctx, engine)
	}
}

// awaitSettled waits until settledReads consecutive status reads are equal and show no pending load. It returns false when ctx
// ends.
func (s *Swapper) awaitSettled(ctx context.Context) (EngineStatus, bool) {
	var previous EngineStatus
	equalReads, failures := 0, 0
	for {
		engine, err := s.readStatus(ctx)
		switch {
		case err != nil:
			equalReads = 0
			if failures++; failures >= maxFailedReads {
				s.updateStatus(func(st *Status) { st.State = message.StateDown })
			}
		case engine.PendingVersion != "":
			equalReads, failures = 0, 0
			s.updateStatus(func(st *Status) { st.State = message.StateStarting })
		default:
			failures = 0
			if equalReads == 0 || !sameServingState(engine, previous) {
				equalReads = 0
			}
			equalReads++
			previous = engine
			if equalReads >= settledReads {
				return engine, true
			}
		}
		if !s.sleep(ctx, s.cfg.PollInterval) {
			return EngineStatus{}, false
		}
	}
}

// sameServingState reports whether a and b agree in the fields that decide whether the gate may be open. The fencing token
// and the failure fields do not matter.
func sameServingState(a, b EngineStatus) bool {
	return a.LoadedVersion == b.LoadedVersion && a.Incarnation == b.Incarnation && a.PendingVersion == b.PendingVersion
}

// readStatus reads the engine's status within CallTimeout.
func (s *Swapper) readStatus(ctx context.Context) (EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.cfg.Engine.Status(ctx)
}

// openGate admits requests for the version that the engine serves. engine is the status of a settled engine.
func (s *Swapper) openGate(engine EngineStatus) {
	s.cfg.Versions.SetLoaded(engine.LoadedVersion, "")
	s.cfg.Gate.Open(engine.LoadedVersion)
	s.updateStatus(func(st *Status) {
		st.State = message.StateServing
		st.LoadedVersion = engine.LoadedVersion
		st.Incarnation, st.EngineFailedVersion = engine.Incarnation, engine.FailedVersion
		if st.FailedVersion == engine.LoadedVersion {
			st.FailedVersion, st.LoadError = "", ""
		}
		s.lastServed = engine.LoadedVersion
	})
	s.Wake() // A permit may have arrived while the upstream was not serving.
}

// closeGate stops admission and waits for the requests in progress. The wait has no timeout, because each request ends when the
// engine answers or crashes. It returns false when ctx ends first.
func (s *Swapper) closeGate(ctx context.Context, state message.State) bool {
	s.updateStatus(func(st *Status) { st.State = state })
	return s.cfg.Gate.Close(ctx) == nil
}

// serve monitors the engine and performs permitted swaps while the gate is open. It returns when the engine has to settle
// again, with the gate closed, or when ctx ends.
func (s *Swapper) serve(ctx context.Context, engine EngineStatus) {
	checkTicker := time.NewTicker(s.cfg.CheckInterval)
	defer checkTicker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			version := s.permittedVersion()
			if version == "" || version == engine.LoadedVersion || !s.cfg.Versions.Holds(version) {
				continue
			}
			if s.swapUnderPermit(ctx, engine, version) {
				return
			}
			failures = 0
		case <-checkTicker.C:
			current, err := s.readStatus(ctx)
			// A changed FailedVersion is the result of a load that this process did not order.
			if err == nil && sameServingState(current, engine) && current.FailedVersion == engine.FailedVersion {
				failures = 0
				continue
			}
			if failures++; err != nil && failures < maxFailedReads {
				continue
			}
			state := message.StateStarting
			if err != nil {
				state = message.StateDown
			}
			s.cfg.Log.Info("engine state changed, admission closed", "state", string(state), "loaded", current.LoadedVersion,
				"pending", current.PendingVersion)
			if ctx.Err() == nil && s.closeGate(ctx, state) {
				return
			}
		}
	}
}

// sleep waits for d. It returns false when ctx ends first.
func (s *Swapper) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
