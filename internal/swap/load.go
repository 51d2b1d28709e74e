package swap

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// lostOrderReads is the number of status reads without a trace of an accepted order before it counts as lost or failed.
const lostOrderReads = 5

// maxLostOrders is the number of orders in a row that may be lost before the version counts as failed.
const maxLostOrders = 3

// Errors of a load.
var (
	errEngineRestarted = errors.New("swap: engine restarted during the load")
	errOrderLost       = errors.New("swap: engine shows no trace of the order")
	errLoadFailed      = errors.New("swap: engine failed to load")
)

// swap closes the gate, loads version and returns true. It returns false, with the gate open, when the permit expired or was
// revoked before the gate was closed.
func (s *Swapper) swap(ctx context.Context, engine EngineStatus, version string) bool {
	s.update(func(st *Status) { st.State = message.StateSwapping })
	closed := s.closeUnderPermit(ctx, version)
	if ctx.Err() != nil {
		return true
	}
	now, err := s.read(ctx)
	if err != nil || !same(now, engine) {
		return s.shut(ctx, message.StateStarting) || ctx.Err() != nil
	}
	if closed && s.permitted() == version {
		s.load(ctx, now, version)
		return true
	}
	s.cfg.Log.Info("permit ended before the gate was closed", "version", version)
	s.open(now)
	return false
}

// closeUnderPermit closes the gate and gives up when the permit ends first. Renewals extend it.
func (s *Swapper) closeUnderPermit(ctx context.Context, version string) bool {
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
		if s.permitted() != version {
			cancel()
			return <-closed == nil
		}
	}
}

// load orders the load and waits for its end. The gate is closed.
func (s *Swapper) load(ctx context.Context, engine EngineStatus, version string) {
	s.cfg.Versions.SetLoaded(engine.LoadedVersion, version)
	s.mu.Lock()
	s.permit = nil // The order runs to its end; a further load needs a further permit.
	s.mu.Unlock()
	fence := s.nextFence(engine.Fence)
	s.cfg.Log.Info("load ordered", "version", version, "fence", fence)
	call, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	orderErr := s.cfg.Engine.Load(call, version, s.cfg.Source, fence)
	cancel()
	// An error leaves open whether the order took effect, so the status decides in every case.
	err := s.awaitLoad(ctx, engine, version)
	if ctx.Err() != nil {
		return
	}
	s.finish(version, orderErr, err)
}

// finish records the result of a load. An order that failed on its way and left no trace is tried again a few times before it
// counts as a failed version, because a failed version stops the rollout.
func (s *Swapper) finish(version string, orderErr, err error) {
	s.mu.Lock()
	if orderErr != nil && errors.Is(err, errOrderLost) {
		s.lostOrders++
	} else {
		s.lostOrders = 0
	}
	failed := err != nil && !errors.Is(err, errEngineRestarted) && (s.lostOrders == 0 || s.lostOrders >= maxLostOrders)
	if err != nil {
		s.retryAt = s.cfg.Now().Add(s.cfg.RetryInterval)
	}
	s.mu.Unlock()
	if err == nil {
		s.cfg.Log.Info("version loaded", "version", version)
		return
	}
	if orderErr != nil {
		err = errors.Wrapf(err, "order: %s", orderErr.Error())
	}
	s.cfg.Log.Error(err, "load ended without success", "version", version)
	if failed {
		s.update(func(st *Status) { st.FailedVersion, st.LoadError = version, err.Error() })
	}
}

// awaitLoad polls until the load has ended. A failure that the engine reported before the order is not taken for the result
// until the engine had time to show the order.
func (s *Swapper) awaitLoad(ctx context.Context, before EngineStatus, version string) error {
	quiet := 0
	seen := before.FailedVersion != version
	for {
		engine, err := s.read(ctx)
		switch {
		case err != nil:
			quiet = 0
		case engine.Incarnation != before.Incarnation:
			return errEngineRestarted
		case engine.PendingVersion != "":
			seen, quiet = true, 0
		case engine.LoadedVersion == version:
			return nil
		case engine.FailedVersion == version && seen:
			return errors.Wrapf(errLoadFailed, "%s", engine.LoadError)
		default:
			if quiet++; quiet >= lostOrderReads {
				return errors.Wrap(errOrderLost, engine.LoadError)
			}
		}
		if !s.pause(ctx, s.cfg.PollInterval) {
			return ctx.Err()
		}
	}
}

// fillEmpty gives an engine that serves nothing the target, or the version it served last when the target failed. It needs no
// permit, because nothing is taken out of service.
func (s *Swapper) fillEmpty(ctx context.Context, engine EngineStatus) {
	s.update(func(st *Status) {
		st.State = message.StateStarting
		st.LoadedVersion = ""
		st.Incarnation = engine.Incarnation
	})
	version := s.candidate()
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

// candidate returns the version to give to an empty engine. A failed target gives way to the last version at once; any other
// failure is retried after RetryInterval.
func (s *Swapper) candidate() string {
	s.mu.Lock()
	target, last, failed := s.target, s.last, s.status.FailedVersion
	wait := s.cfg.Now().Before(s.retryAt)
	s.mu.Unlock()
	fallback := last != "" && last != target && s.cfg.Versions.Holds(last)
	switch {
	case target != "" && target == failed && fallback:
		return last
	case wait:
		return ""
	case target != "" && s.cfg.Versions.Holds(target):
		return target
	case fallback:
		return last
	default:
		return ""
	}
}
