package swap

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// fenceCounterBits is the part of a fencing number that counts loads within an epoch.
	fenceCounterBits = 20
	// settledReads is the number of equal status reads in a row without a pending load before the gate opens. One read could
	// precede the arrival of an order that an earlier process of this agent sent.
	settledReads = 2
	// downReads is the number of failed status reads in a row before the gate is closed.
	downReads = 3
)

// Swapper keeps the gate of one upstream open only while the engine serves one known version and has no load pending.
//
// Invariant: the gate is open only in state StateServing. Only Run opens and closes it.
type Swapper struct {
	cfg  Config
	wake chan struct{}

	// mu guards all fields below.
	mu     sync.Mutex
	status Status
	target string
	permit *permit
	fence  uint64
	// last is the version that the engine served last, also while it serves none.
	last string
	// lostOrders counts load orders in a row that failed without a trace.
	lostOrders int
	retryAt    time.Time
}

// New returns a Swapper in state StateStarting. The gate has to be closed.
func New(cfg Config) *Swapper {
	cfg.setDefaults()
	return &Swapper{cfg: cfg, wake: make(chan struct{}, 1), status: Status{State: message.StateStarting}}
}

// Status returns what to announce.
func (s *Swapper) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

func (s *Swapper) update(change func(*Status)) {
	s.mu.Lock()
	before := s.status
	change(&s.status)
	changed := s.status != before
	s.mu.Unlock()
	if changed {
		s.cfg.OnChange()
	}
}

// Run drives the upstream until ctx ends. It leaves the gate as it is, so that a stopping agent can finish its requests.
func (s *Swapper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		engine, ok := s.settle(ctx)
		if !ok {
			return
		}
		if engine.LoadedVersion == "" {
			s.fillEmpty(ctx, engine)
			continue
		}
		s.open(engine)
		s.serve(ctx, engine)
	}
}

// settle waits until the engine answers and has no load pending in consecutive reads.
func (s *Swapper) settle(ctx context.Context) (EngineStatus, bool) {
	var last EngineStatus
	equal, failures := 0, 0
	for {
		engine, err := s.read(ctx)
		switch {
		case err != nil:
			equal = 0
			if failures++; failures >= downReads {
				s.update(func(st *Status) { st.State = message.StateDown })
			}
		case engine.PendingVersion != "":
			equal, failures = 0, 0
			s.update(func(st *Status) { st.State = message.StateStarting })
		default:
			failures = 0
			if equal == 0 || !same(engine, last) {
				equal = 0
			}
			equal++
			last = engine
			if equal >= settledReads {
				return engine, true
			}
		}
		if !s.pause(ctx, s.cfg.PollInterval) {
			return EngineStatus{}, false
		}
	}
}

// same compares what a gate decision depends on. The fence and the failure fields do not matter.
func same(a, b EngineStatus) bool {
	return a.LoadedVersion == b.LoadedVersion && a.Incarnation == b.Incarnation && a.PendingVersion == b.PendingVersion
}

func (s *Swapper) read(ctx context.Context) (EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.cfg.Engine.Status(ctx)
}

// open admits requests for the version that the settled engine serves.
func (s *Swapper) open(engine EngineStatus) {
	s.cfg.Versions.SetLoaded(engine.LoadedVersion, "")
	s.cfg.Gate.Open(engine.LoadedVersion)
	s.update(func(st *Status) {
		st.State = message.StateServing
		st.LoadedVersion = engine.LoadedVersion
		st.Incarnation, st.EngineFailedVersion = engine.Incarnation, engine.FailedVersion
		if st.FailedVersion == engine.LoadedVersion {
			st.FailedVersion, st.LoadError = "", ""
		}
		s.last = engine.LoadedVersion
	})
	s.Wake() // A permit may have arrived while the upstream was not serving.
}

// shut stops admission and waits for the requests in progress without limit: the engine answers or has crashed.
func (s *Swapper) shut(ctx context.Context, state message.State) bool {
	s.update(func(st *Status) { st.State = state })
	return s.cfg.Gate.Close(ctx) == nil
}

// serve returns with the gate closed when the engine has to be settled again, or with the gate open when ctx ends.
func (s *Swapper) serve(ctx context.Context, engine EngineStatus) {
	check := time.NewTicker(s.cfg.CheckInterval)
	defer check.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			version := s.permitted()
			if version == "" || version == engine.LoadedVersion || !s.cfg.Versions.Holds(version) {
				continue
			}
			if s.swap(ctx, engine, version) {
				return
			}
			failures = 0
		case <-check.C:
			now, err := s.read(ctx)
			// A changed failure is a load that this process did not order.
			if err == nil && same(now, engine) && now.FailedVersion == engine.FailedVersion {
				failures = 0
				continue
			}
			if failures++; err != nil && failures < downReads {
				continue
			}
			state := message.StateStarting
			if err != nil {
				state = message.StateDown
			}
			s.cfg.Log.Info("engine changed, admission closed", "state", string(state), "loaded", now.LoadedVersion, "pending", now.PendingVersion)
			if ctx.Err() == nil && s.shut(ctx, state) {
				return
			}
		}
	}
}

// pause waits and returns false when ctx ends.
func (s *Swapper) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
