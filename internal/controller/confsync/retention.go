package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// historyRevisions is the number of accepted configurations that the store keeps. Without a bound, 20,000 changes a day
	// would fill it.
	historyRevisions = 1000
	// submissionTTL is how long a repeated submission ID gets the first result.
	submissionTTL = 24 * time.Hour
	// leaseShare is how long submissions share one lease.
	leaseShare = time.Hour
)

// submissionLease is the lease under which submission records expire. It is shared to save store calls.
type submissionLease struct {
	// mu guards the fields below.
	mu      sync.Mutex
	id      store.LeaseID
	granted time.Time
}

// get returns a lease that lasts for at least submissionTTL.
func (l *submissionLease) get(ctx context.Context, s store.Store) (store.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && time.Since(l.granted) < leaseShare {
		return l.id, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	id, err := s.Grant(ctx, submissionTTL+leaseShare)
	if err != nil {
		return 0, err
	}
	l.id, l.granted = id, time.Now()
	return id, nil
}

// drop forgets a lease that the store no longer has.
func (l *submissionLease) drop(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}

// expireHistory returns the operations that remove the oldest revision when next is written.
func expireHistory(next uint64) []store.Op {
	if next <= historyRevisions {
		return nil
	}
	return []store.Op{{Delete: &store.Delete{Key: historyKey(next - historyRevisions)}}}
}
