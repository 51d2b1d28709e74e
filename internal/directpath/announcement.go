package directpath

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// announcementTTL is the lease time of an announcement, and so how long it outlives an entry that crashed. Broken links show
	// earlier that an entry is gone.
	announcementTTL = 5 * time.Minute
	// announcementRenewal is the time between renewals of the lease.
	announcementRenewal = 2 * time.Minute
	// announcementWrites is the number of times that an announcement is written before a pause. The conditions are in turn that the key has the
	// revision last seen, that it does not exist, and that it has the revision just read.
	announcementWrites = 3
	// storeRetryPause is the pause before a retry after a failed call to the store. It is also the timeout of the call that removes
	// the announcement on shutdown.
	storeRetryPause = 700 * time.Millisecond
	// eraCheckInterval is the time between checks whether the store has been restored from an earlier copy.
	eraCheckInterval = time.Second
	// minReannounceSpread is the shortest time over which the entries spread their announcements after a restore of the store.
	// reannounceSpreadPerEntry lengthens it with the number of entries, so that a few calls each stay far below the store's limits.
	minReannounceSpread      = 2 * time.Second
	reannounceSpreadPerEntry = 20 * time.Millisecond
)

var (
	// errSuperseded means that a later process with the same node ID has announced itself.
	errSuperseded = errors.New("directpath: a later process of this entry is announced")
	// errAnnouncementChanged means that the key changed between a read and the write that is conditional on it.
	errAnnouncementChanged = errors.New("directpath: announcement changed while it was written")
)

// announcedKey is what a process knows about the key of its announcement.
type announcedKey struct {
	// revision is that of the store at which the key was last seen to change, 0 if it is not known to exist. A write is conditional on it,
	// so that one which the store carries out late does not replace a newer one.
	revision int64
	// written is set once this process has announced itself.
	written bool
	// replaced is the incarnation of the last other process whose announcement this one has replaced, 0 if there was none.
	replaced uint64
	// unused is a lease under which no write of the key was acknowledged. The next attempt uses it again.
	unused heldLease
}

// leasedKey is a key that this entry has written under a lease.
type leasedKey struct {
	heldLease
	// revision is that of the store at which the key was written.
	revision int64
}

// announce stores the announcement of an entry and renews its lease until ctx ends, then removes it. After a restore of the store, it stores
// the announcement again under a new lease. A renewed lease is not checked for the key: only conditional writes of this entry change the key
// within an era of the store, so that it stays bound to the lease.
func (r *registry) announce(ctx context.Context) {
	var current leasedKey
	for ctx.Err() == nil {
		var err error
		if current.id == 0 || r.era() > current.era {
			current, err = r.putAnnouncement(ctx)
		} else {
			current, err = r.renewAnnouncement(ctx, current)
		}
		switch {
		case errors.Is(err, errSuperseded):
			r.log.Info("announcement not stored", "cause", err.Error())
			pause.For(ctx, announcementRenewal)
		case err != nil:
			pause.For(ctx, storeRetryPause)
		default:
			r.awaitRenewal(ctx, current)
		}
	}
	if current.id != 0 {
		r.removeOnShutdown(current)
	}
}

// era returns the highest era of the store that this node knows, from its own calls or from other nodes.
func (r *registry) era() int64 { return max(r.store.Era(), r.state.Era()) }

// awaitRenewal returns when the lease of an announcement has to be renewed, or at a random time after the era of the announcement has ended.
func (r *registry) awaitRenewal(ctx context.Context, current leasedKey) {
	renewAt := current.renewedAt.Add(announcementRenewal)
	for ; ctx.Err() == nil && time.Now().Before(renewAt); pause.For(ctx, eraCheckInterval) {
		if era := r.era(); era > current.era {
			r.log.Info("announcement may be lost, storing it again", "era", era, "era_before", current.era)
			pause.For(ctx, rand.N(max(minReannounceSpread, time.Duration(r.mesh.EntryCount())*reannounceSpreadPerEntry)))
			return
		}
	}
}

// renewAnnouncement renews the lease of the announcement. If the lease has ended, so that the store has removed the key, it returns the
// zero leasedKey with the error.
func (r *registry) renewAnnouncement(ctx context.Context, current leasedKey) (leasedKey, error) {
	sentAt := time.Now()
	_, err := r.store.KeepAlive(ctx, current.id)
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		r.announced.revision = 0
		return leasedKey{}, err
	case err == nil:
		current.renewedAt = sentAt
	}
	return current, err
}

// putAnnouncement stores the announcement under a new lease, or under that of an earlier call that failed. After a conflict it writes again. It
// returns errSuperseded if the key holds the announcement of a later process.
func (r *registry) putAnnouncement(ctx context.Context) (leasedKey, error) {
	value, err := json.Marshal(message.Member{NodeID: r.self.NodeID, Role: r.self.Role, DataCentre: r.self.DataCentre,
		Region: r.self.Region, Address: r.self.Address, Incarnation: r.self.Incarnation})
	if err != nil {
		return leasedKey{}, errors.Wrap(err, "directpath: encode announcement")
	}
	lease, err := r.announcementLease(ctx)
	if err != nil {
		return leasedKey{}, err
	}
	for range announcementWrites {
		written, err := r.writeAnnouncement(ctx, value, lease)
		if err == nil && !written {
			written, err = r.resolveConflict(ctx, value, lease)
		}
		if err == nil {
			err = lease.check(r.store, r.state)
		}
		if err != nil {
			return leasedKey{}, err
		}
		if written {
			if !r.announced.written && r.announced.replaced == 0 && r.onFirst != nil {
				r.onFirst()
			}
			r.announced.unused, r.announced.written = heldLease{}, true
			return leasedKey{heldLease: lease, revision: r.announced.revision}, nil
		}
	}
	return leasedKey{}, errAnnouncementChanged
}

// announcementLease returns the lease of an earlier call of putAnnouncement that failed, or a new one.
func (r *registry) announcementLease(ctx context.Context) (heldLease, error) {
	unused := r.announced.unused
	if unused.id != 0 && unused.check(r.store, r.state) == nil && time.Since(unused.renewedAt) < announcementRenewal {
		return unused, nil
	}
	lease, err := grantLease(ctx, r.store, r.state, announcementTTL)
	r.announced.unused = lease
	return lease, err
}

// writeAnnouncement writes the key if it has not changed since the revision that is known. It reports whether it did.
func (r *registry) writeAnnouncement(ctx context.Context, value []byte, lease heldLease) (bool, error) {
	key := entriesPrefix + r.self.NodeID
	result, err := r.store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: key, Target: store.CompareMod, Revision: r.announced.revision}},
		Then: []store.Op{{Put: &store.Put{Key: key, Value: value, Lease: lease.id}}},
	})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.announced.unused = heldLease{}
	}
	if err != nil || !result.Succeeded {
		return false, err
	}
	r.announced.revision = result.Revision
	return true, nil
}

// resolveConflict sets the revision for the next write after a conflict. If the key was known to exist, a restore of the store has probably lost it,
// so that the next write is tried without a read. It reports whether the key already is as this process writes it.
func (r *registry) resolveConflict(ctx context.Context, value []byte, lease heldLease) (bool, error) {
	if r.announced.revision != 0 {
		r.announced.revision = 0
		return false, nil
	}
	return r.readAnnouncement(ctx, value, lease)
}

// readAnnouncement reads the revision of the key for the next write. It reports whether the key already is as this process writes it: an
// earlier write without an answer has been carried out.
func (r *registry) readAnnouncement(ctx context.Context, value []byte, lease heldLease) (bool, error) {
	kv, err := r.store.Get(ctx, entriesPrefix+r.self.NodeID)
	if errors.Is(err, store.ErrNotFound) {
		r.announced.revision = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if stored, err := decodeAnnouncement(kv); err == nil && stored.Incarnation != r.self.Incarnation {
		if r.isSuccessor(stored) {
			return false, errors.Wrapf(errSuperseded, "incarnation %d at %s", stored.Incarnation, stored.Address)
		}
		r.announced.replaced = stored.Incarnation
	}
	r.announced.revision = kv.ModRevision
	return kv.Lease == lease.id && bytes.Equal(kv.Value, value), nil
}

// isSuccessor reports whether an announcement is that of a later process of this entry. A process that has just started is the latest one. After
// that, incarnations tell, which are times of day: the predecessor may have a later one if the clock was set back.
func (r *registry) isSuccessor(stored message.Member) bool {
	return r.announced.written && stored.Incarnation > r.self.Incarnation && stored.Incarnation != r.announced.replaced
}

// removeOnShutdown tries once to remove an announcement after the context of announce has ended.
func (r *registry) removeOnShutdown(current leasedKey) {
	ctx, cancel := context.WithTimeout(context.Background(), storeRetryPause)
	defer cancel()
	if err := r.removeAnnouncement(ctx, current); err != nil {
		r.log.V(1).Info("announcement could not be removed", "cause", err.Error())
	}
}

// removeAnnouncement removes an announcement unless it has been replaced. It does not revoke the lease, which may belong to another node after
// a restore of the store that this node has not heard of.
func (r *registry) removeAnnouncement(ctx context.Context, current leasedKey) error {
	key := entriesPrefix + r.self.NodeID
	_, err := r.store.Txn(ctx, store.Txn{If: []store.Compare{{Key: key, Target: store.CompareMod, Revision: current.revision}},
		Then: []store.Op{{Delete: &store.Delete{Key: key}}}})
	return err
}
