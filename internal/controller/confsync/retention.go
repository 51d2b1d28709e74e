package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// historyRevisions is the number of accepted configurations that the store keeps. Without a bound, 20,000 changes a day
	// would fill the store.
	historyRevisions = 1000
	// submissionTTL is the time during which a repeated submission ID returns the result of the first submission.
	submissionTTL = 24 * time.Hour
	// leaseReusePeriod is the time during which new submissions use the same lease.
	leaseReusePeriod = time.Hour
)

// submissionLease is the lease under which submission records expire. Submissions share it to save calls to the store.
type submissionLease struct {
	// mu guards the fields below.
	mu      sync.Mutex
	id      store.LeaseID
	granted time.Time
}

// acquire returns a lease that lasts for at least submissionTTL, or 0 if the reply to the grant was lost.
func (l *submissionLease) acquire(ctx context.Context, s store.Store) (store.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && time.Since(l.granted) < leaseReusePeriod {
		return l.id, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	id, err := s.Grant(ctx, submissionTTL+leaseReusePeriod)
	if errors.Is(err, store.ErrAmbiguous) {
		return 0, nil // Accepting the submission matters more than the expiry of its record, which is then kept for ever.
	}
	if err != nil {
		return 0, err
	}
	l.id, l.granted = id, time.Now()
	return id, nil
}

// invalidate discards a lease that no longer exists in the store.
func (l *submissionLease) invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}

// historyDeleteOps returns the operations that delete the oldest revision from the history when revision next is written.
func historyDeleteOps(next uint64) []store.Op {
	if next <= historyRevisions {
		return nil
	}
	return []store.Op{{Delete: &store.Delete{Key: historyKey(next - historyRevisions)}}}
}
