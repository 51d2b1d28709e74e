package directpath

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// heldLease is a lease that this node was granted.
type heldLease struct {
	id store.LeaseID
	// era is the highest era of the store that was known when it was granted. In a later one, the lease may be lost and its ID belong to
	// another node.
	era int64
	// renewedAt is the time at which the call that granted or renewed it last was sent.
	renewedAt time.Time
}

// grantLease creates a lease. Its era may be one that only the state knew before the call.
func grantLease(ctx context.Context, s Store, state *fleet.State, ttl time.Duration) (heldLease, error) {
	knownEra, sentAt := state.Era(), time.Now()
	id, era, err := grantInEra(ctx, s, ttl)
	if err != nil {
		return heldLease{}, err
	}
	return heldLease{id: id, era: max(knownEra, era), renewedAt: sentAt}, nil
}

// check returns ErrRestored if the store was restored since the lease was granted: a key that was written under it may then be lost, or be
// bound to a lease of another node.
func (l heldLease) check(s Store, state *fleet.State) error {
	if era := max(s.Era(), state.Era()); era > l.era {
		return errors.Wrapf(store.ErrRestored, "lease %d of era %d", l.id, l.era)
	}
	return nil
}

// maxGrants bounds how many leases grantInEra creates while the store states new eras.
const maxGrants = 2

// grantInEra creates a lease and returns it with the era of the store in which it was granted. It creates another one if the store states a new
// era meanwhile, since the era of the first one is not known then, and fails with ErrRestored if that happens again.
func grantInEra(ctx context.Context, s Store, ttl time.Duration) (store.LeaseID, int64, error) {
	for range maxGrants {
		era := s.Era()
		lease, err := s.Grant(ctx, ttl)
		if err != nil {
			return 0, 0, err
		}
		if after := s.Era(); after == era || era == 0 {
			return lease, after, nil
		}
	}
	return 0, 0, errors.Wrap(store.ErrRestored, "grant lease")
}
