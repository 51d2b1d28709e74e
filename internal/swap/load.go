package swap

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// lostOrderReads is the number of consecutive status reads without a pending load or a new result after which a load order counts
// as lost. If the call that ordered the load had succeeded, the version then counts as failed at once.
const lostOrderReads = 5

// maxLostOrders is the number of consecutive lost orders, each with a failed call, after which the version counts as failed.
const maxLostOrders = 3

// Errors that awaitLoad returns.
var (
	errEngineRestarted = errors.New("swap: engine restarted during the load")
	errOrderLost       = errors.New("swap: engine status shows neither a pending load nor a result of the order")
	errLoadFailed      = errors.New("swap: engine failed to load")
)

// swapUnderPermit closes the gate and loads version. It returns true when the engine has to settle again or ctx ended, and
// false, with the gate open, when the permit expired or was revoked before the gate was closed.
func (s *Swapper) swapUnderPermit(ctx context.Context, engine EngineStatus, version string) bool {
	s.updateStatus(func(st *Status) { st.State = message.StateSwapping })
	closed := s.closeGateWhilePermitted(ctx, version)
	if ctx.Err() != nil {
		return true
	}
	current, err := s.readStatus(ctx)
	if err != nil || !sameServingState(current, engine) {
		return s.closeGate(ctx, message.StateStarting) || ctx.Err() != nil
	}
	if closed && s.permittedVersion() == version {
		s.load(ctx, current, version)
		return true
	}
	s.cfg.Log.Info("permit ended before the gate was closed", "version", version)
	s.openGate(current)
	return false
}

// closeGateWhilePermitted closes the gate and reports whether all requests have ended. It stops waiting for them when the
// permit for version ends; a renewed permit extends the wait.
func (s *Swapper) closeGateWhilePermitted(ctx context.Context, version string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- s.cfg.Gate.Close(ctx) }()
	poll := time.NewTicker(s.cfg.PollInterval)
	defer poll.Stop()
	for {
		select {
		case err := <-closed:
			return err == nil
		case <-s.wake:
		case <-poll.C:
		}
		if s.permittedVersion() != version {
			cancel()
			return <-closed == nil
		}
	}
}

// load orders the engine to load version and waits until the load has ended. The gate must be closed.
func (s *Swapper) load(ctx context.Context, engine EngineStatus, version string) {
	s.cfg.Versions.SetLoaded(engine.LoadedVersion, version)
	s.mu.Lock()
	s.permit = nil // An ordered load cannot be cancelled, and the next load needs a new permit.
	s.mu.Unlock()
	fencingToken := s.nextFencingToken(engine.Fence)
	s.cfg.Log.Info("load ordered", "version", version, "fence", fencingToken)
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	orderErr := s.cfg.Engine.Load(callCtx, version, s.cfg.Source, fencingToken)
	cancel()
	// The order may have taken effect despite an error, so the engine's status always decides.
	err := s.awaitLoad(ctx, engine, version)
	if ctx.Err() != nil {
		return
	}
	s.recordLoadResult(version, orderErr, err)
}

// recordLoadResult records the result of a load, with orderErr from the call that ordered it and loadErr from the wait for its
// end. When the call failed and the order was lost, the version counts as failed only after maxLostOrders such orders in a row,
// because a failed version halts the rollout.
func (s *Swapper) recordLoadResult(version string, orderErr, loadErr error) {
	s.mu.Lock()
	if orderErr != nil && errors.Is(loadErr, errOrderLost) {
		s.lostOrders++
	} else {
		s.lostOrders = 0
	}
	failed := loadErr != nil && !errors.Is(loadErr, errEngineRestarted) && (s.lostOrders == 0 || s.lostOrders >= maxLostOrders)
	if loadErr != nil {
		s.retryAfter = s.cfg.Now().Add(s.cfg.RetryInterval)
	}
	s.mu.Unlock()
	if loadErr == nil {
		s.cfg.Log.Info("version loaded", "version", version)
		return
	}
	if orderErr != nil {
		loadErr = errors.Wrapf(loadErr, "call to order the load failed: %s", orderErr.Error())
	}
	s.cfg.Log.Error(loadErr, "load failed", "version", version)
	if failed {
		s.updateStatus(func(st *Status) { st.FailedVersion, st.LoadError = version, loadErr.Error() })
	}
}

// awaitLoad polls the engine until it serves version, the load fails, the engine restarts, the order counts as lost or ctx ends.
// before is the status before the order. If it already shows a failure of version, the same failure in a later read counts as the
// result only once a pending load was seen, because before that it may be the old one.
func (s *Swapper) awaitLoad(ctx context.Context, before EngineStatus, version string) error {
	readsWithoutOrder := 0
	failureIsNew := before.FailedVersion != version
	for {
		engine, err := s.readStatus(ctx)
		switch {
		case err != nil:
			readsWithoutOrder = 0
		case engine.Incarnation != before.Incarnation:
			return errEngineRestarted
		case engine.PendingVersion != "":
			failureIsNew, readsWithoutOrder = true, 0
		case engine.LoadedVersion == version:
			return nil
		case engine.FailedVersion == version && failureIsNew:
			return errors.Wrapf(errLoadFailed, "%s", engine.LoadError)
		default:
			if readsWithoutOrder++; readsWithoutOrder >= lostOrderReads {
				return errors.Wrap(errOrderLost, engine.LoadError)
			}
		}
		if !s.sleep(ctx, s.cfg.PollInterval) {
			return ctx.Err()
		}
	}
}

// loadEmptyEngine loads the target into an engine that serves no version, or the version served last when the target failed or
// is not complete. It needs no permit, because it takes no upstream out of service. It returns after a wait when there is
// nothing to load yet.
func (s *Swapper) loadEmptyEngine(ctx context.Context, engine EngineStatus) {
	s.updateStatus(func(st *Status) {
		st.State = message.StateStarting
		st.LoadedVersion = ""
		st.Incarnation = engine.Incarnation
	})
	version := s.versionForEmptyEngine()
	if version == "" {
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(s.cfg.CheckInterval):
		}
		return
	}
	s.load(ctx, engine, version)
}

// versionForEmptyEngine returns the version to load into an engine that serves none, or "". After a failure of the target it
// returns the version served last at once; any other failure is retried after RetryInterval.
func (s *Swapper) versionForEmptyEngine() string {
	s.mu.Lock()
	target, lastServed, failed := s.target, s.lastServed, s.status.FailedVersion
	waiting := s.cfg.Now().Before(s.retryAfter)
	s.mu.Unlock()
	fallback := lastServed != "" && lastServed != target && s.cfg.Versions.Holds(lastServed)
	switch {
	case target != "" && target == failed && fallback:
		return lastServed
	case waiting:
		return ""
	case target != "" && s.cfg.Versions.Holds(target):
		return target
	case fallback:
		return lastServed
	default:
		return ""
	}
}
