package swap

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// permit is a permit in the agent's hands.
type permit struct {
	epoch   uint64
	version string
	expires time.Time
}

// AcceptPermit accepts or renews a permit. A permit of an epoch below the highest one seen is dropped.
func (s *Swapper) AcceptPermit(p message.SwapPermit) {
	s.mu.Lock()
	if p.Epoch < s.status.Epoch {
		s.mu.Unlock()
		s.cfg.Log.Info("permit of an old epoch dropped", "epoch", p.Epoch, "version", p.Version)
		return
	}
	s.status.Epoch = p.Epoch
	s.permit = &permit{
		epoch: p.Epoch, version: p.Version,
		expires: s.cfg.Now().Add(time.Duration(p.LifetimeMillis) * time.Millisecond),
	}
	s.mu.Unlock()
	s.Wake()
	s.cfg.OnChange()
}

// RevokePermit withdraws a permit. A load that was ordered runs to its end.
func (s *Swapper) RevokePermit(r message.SwapRevoke) {
	s.mu.Lock()
	if s.permit != nil && r.Epoch >= s.permit.epoch && r.Version == s.permit.version {
		s.permit = nil
	}
	s.mu.Unlock()
	s.Wake()
}

// SetTarget names the version that the agent is to serve. A changed target clears an earlier failure, so that a version
// that is chosen again is tried again.
func (s *Swapper) SetTarget(version string) {
	s.mu.Lock()
	if s.target != version {
		s.target = version
		s.status.FailedVersion, s.status.LoadError = "", ""
		s.retryAt = time.Time{}
	}
	s.mu.Unlock()
	s.Wake()
	s.cfg.OnChange()
}

// Wake makes Run look at the permit and the held versions again, for example after a transfer ended.
func (s *Swapper) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// permitted returns the version that a valid permit allows to load now, or an empty string.
func (s *Swapper) permitted() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.permit == nil {
		return ""
	}
	if !s.cfg.Now().Before(s.permit.expires) {
		s.permit = nil
		return ""
	}
	p, failed := s.permit, s.status.FailedVersion
	if p.version != s.target || p.version == failed || p.epoch < s.status.Epoch {
		return ""
	}
	return s.permit.version
}

// nextFence returns a fencing number above every earlier one. reported is the highest one that the engine has accepted,
// which covers the orders of an earlier process of this agent.
func (s *Swapper) nextFence(reported uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = max(s.status.Epoch<<fenceCounterBits, s.fence+1, reported+1)
	return s.fence
}
