package order

import (
	"slices"
	"time"
)

// lateWritePeriod is the time after which the store is assumed not to carry out a write that got no answer.
const lateWritePeriod = 10 * time.Second

// releasedClaim is a claim that was released although the store may still create it.
type releasedClaim struct {
	claim      *Claim
	releasedAt time.Time
}

// keepIfAmbiguous keeps a released claim of which the creation got no answer: the store may still create it, as its key is free again. The caller
// holds mu.
func (l *Ledger) keepIfAmbiguous(c *Claim) {
	if c.ambiguous && len(l.released) < l.cfg.MaxActive {
		l.released = append(l.released, releasedClaim{claim: c, releasedAt: time.Now()})
	}
}

// releaseAgain queues another release of claims that were released lateWritePeriod ago, so that their keys do not stay claimed by orders that
// were not started. A claim waits while another one of its key is active: a transaction may contain a key only once.
func (l *Ledger) releaseAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = slices.DeleteFunc(l.released, func(r releasedClaim) bool {
		if time.Since(r.releasedAt) < lateWritePeriod || l.active[r.claim.key] != nil {
			return false
		}
		c := &Claim{key: r.claim.key, id: r.claim.id, requestDigest: r.claim.requestDigest, created: time.Now(), state: stateReleasing,
			resolved: r.claim.resolved, completed: make(chan struct{})}
		l.active[c.key] = c
		l.pendingWrites = append(l.pendingWrites, c)
		return true
	})
}
