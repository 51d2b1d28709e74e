package swap

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// permit is a swap permit that the agent has received.
type permit struct {
	epoch   uint64
	version string
	expires time.Time
}

// AcceptPermit accepts or renews a permit. It ignores a permit whose epoch is below the highest one seen, because the rollout
// lease has been acquired again since that permit was granted.
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

// RevokePermit revokes a permit. A load that was ordered already continues.
func (s *Swapper) RevokePermit(r message.SwapRevoke) {
	s.mu.Lock()
	if s.permit != nil && r.Epoch >= s.permit.epoch && r.Version == s.permit.version {
		s.permit = nil
	}
	s.mu.Unlock()
	s.Wake()
}

// SetTarget sets the version that the upstream should serve. A change of the target clears an earlier failure, so that a
// version that failed is tried again when it becomes the target again.
func (s *Swapper) SetTarget(version string) {
	s.mu.Lock()
	if s.target != version {
		s.target = version
		s.status.FailedVersion, s.status.LoadError = "", ""
		s.retryAfter = time.Time{}
	}
	s.mu.Unlock()
	s.Wake()
	s.cfg.OnChange()
}

// Wake makes Run check the permit and the stored versions again, for example after a transfer has ended. It does not block.
func (s *Swapper) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// permittedVersion returns the version that may be loaded now under a valid permit, or "".
func (s *Swapper) permittedVersion() string {
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

// nextFencingToken returns a fencing token that is higher than all previous ones. reported is the highest one that the engine has
// accepted, which covers the orders of a previous process of this agent.
func (s *Swapper) nextFencingToken(reported uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFencingToken = max(s.status.Epoch<<fencingTokenCounterBits, s.lastFencingToken+1, reported+1)
	return s.lastFencingToken
}
