package rollout

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// maxCandidates is the number of entries of a data centre that try to acquire the lease. The others do not, to save store
// calls.
const maxCandidates = 2

// storeCallTimeout limits one call to the store.
const storeCallTimeout = 2 * time.Second

const holderKeyPrefix = "/pimentohead/rollout/"

// holderRecord is the JSON value of the holder's key.
type holderRecord struct {
	Holder string `json:"holder"`
	// Token identifies the controller that wrote the record, so that it recognises its own record after a transaction with an
	// unknown outcome.
	Token string `json:"token"`
}

// previousHolder is the JSON value of a second key, which has no lease and so outlives the holder. A new holder derives from
// it how long it has to wait.
type previousHolder struct {
	// Released is set when the holder released its lease, unset while it holds the lease or after it lost it.
	Released bool `json:"released"`
	// WaitMillis is the longest remaining lifetime, in milliseconds, of the permits of a holder that released its lease.
	WaitMillis int64 `json:"wait_ms"`
	// Token is the token of the holder that released its lease.
	Token string `json:"token,omitempty"`
}

// lease acquires, renews and releases the holder's key of a data centre and the store lease that the key is attached to.
type lease struct {
	cfg         *Config
	key         string
	previousKey string
	token       string

	// mu guards all fields below. leaseID is 0 while this entry is not the holder; epoch, holder and holderToken are those last seen.
	mu          sync.Mutex
	leaseID     store.LeaseID
	epoch       uint64
	holder      string
	holderToken string
	// keyRevision is the mod revision of the holder's key while this entry is the holder.
	keyRevision int64
	// restorations is the number of restorations of the store when this entry last acquired the lease.
	restorations uint64
	// validUntil is the earliest time at which the lease may have expired, less LeaseMargin, grantFrom the end of the takeover wait.
	// Permits are granted only from grantFrom until validUntil.
	validUntil time.Time
	grantFrom  time.Time
}

func newLease(cfg *Config) *lease {
	key := holderKeyPrefix + cfg.Self.DataCentre
	return &lease{cfg: cfg, key: key, previousKey: key + "/previous", token: uuid.NewString()}
}

// grantEpoch returns the epoch of new permits and reports whether permits may be granted now.
func (l *lease) grantEpoch() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	return l.epoch, l.leaseID != 0 && now.Before(l.validUntil) && !now.Before(l.grantFrom)
}

// lastSeenHolder returns the node ID of the holder that this entry last saw, and its epoch.
func (l *lease) lastSeenHolder() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.epoch
}

// currentID returns the ID of the lease that this entry holds, or 0.
func (l *lease) currentID() store.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseID
}

// run renews the lease or tries to acquire it until ctx ends. onAcquired is called after each acquisition.
func (l *lease) run(ctx context.Context, onAcquired func()) {
	for ctx.Err() == nil {
		var err error
		delay := jitter(l.cfg.ElectionInterval)
		switch {
		case l.currentID() != 0:
			delay = l.cfg.LeaseTTL / 3
			if err = l.keepAlive(ctx); err != nil {
				delay = jitter(l.cfg.LeaseTTL / 10)
			}
		case l.eligible():
			if err = l.acquire(ctx); l.currentID() != 0 {
				delay = l.cfg.LeaseTTL / 3
				onAcquired()
			}
		}
		if err != nil && ctx.Err() == nil {
			l.cfg.Log.V(1).Info("rollout lease could not be acquired or renewed", "cause", err.Error())
		}
		pause.For(ctx, delay)
	}
}

// eligible reports whether this entry is one of the maxCandidates entries of its data centre with the highest rendezvous hash.
func (l *lease) eligible() bool {
	selfRank := xxhash.Sum64String(l.key + "\x00" + l.cfg.Self.NodeID)
	higherRanked := 0
	for _, e := range l.cfg.Table.Entries() {
		rank := xxhash.Sum64String(l.key + "\x00" + e.Node.NodeID)
		if e.Node.DataCentre == l.cfg.Self.DataCentre && !e.Leaving && rank > selfRank {
			higherRanked++
		}
	}
	return higherRanked < maxCandidates
}

// errKeyLost means that the key no longer belongs to this holder although a lease with its ID exists: the store was restored from a copy
// that was made before the key was written.
var errKeyLost = errors.New("rollout: the holder's key was lost")

// keepAlive renews the lease and checks that the holder's key is still attached to it. The lease's validity counts from before the call,
// because the store may have renewed it at any time during the call.
func (l *lease) keepAlive(ctx context.Context) error {
	id := l.currentID()
	sentAt := l.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout) // For KeepAlive and Get.
	defer cancel()
	ttl, err := l.cfg.Store.KeepAlive(ctx, id)
	if err == nil {
		err = l.checkKey(ctx, id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, store.ErrLeaseNotFound) || errors.Is(err, errKeyLost) {
		l.leaseID, l.epoch, l.holder = 0, 0, ""
	}
	if err == nil {
		l.validUntil = sentAt.Add(min(ttl, l.cfg.LeaseTTL) - l.cfg.LeaseMargin)
		if announced := l.announcedEpoch(); announced > l.epoch {
			l.epoch = announced + 1
		}
	}
	return err
}

// checkKey returns errKeyLost if the holder's key is not that of this holder or not attached to its lease. The lease is not revoked then: a
// restored store may have given its ID to another process.
func (l *lease) checkKey(ctx context.Context, id store.LeaseID) error {
	kv, err := l.cfg.Store.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return errKeyLost
	}
	if err != nil {
		return err
	}
	var record holderRecord
	if json.Unmarshal(kv.Value, &record) != nil || record.Token != l.token || kv.Lease != id {
		return errKeyLost
	}
	return nil
}

// announcedEpoch returns the highest epoch of the permits that agents of this data centre have accepted. Agents ignore permits of a lower
// one. It is above the store's revision if the store was restored from an earlier copy.
func (l *lease) announcedEpoch() uint64 {
	var highest uint64
	for _, u := range l.cfg.Table.Upstreams() {
		if u.Node.DataCentre == l.cfg.Self.DataCentre {
			highest = max(highest, u.Announce.SwapEpoch)
		}
	}
	return highest
}

// acquire writes the holder's key under a new lease if the key does not exist. It returns nil without the lease when another
// entry holds it.
func (l *lease) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*storeCallTimeout) // For Get, Grant and Txn.
	defer cancel()
	if free, err := l.readHolder(ctx); err != nil || !free {
		return err
	}
	sentAt := l.cfg.Now()
	id, err := l.cfg.Store.Grant(ctx, l.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(holderRecord{Holder: l.cfg.Self.NodeID, Token: l.token})
	if err != nil {
		return err
	}
	notReleased, err := json.Marshal(previousHolder{})
	if err != nil {
		return err
	}
	result, err := l.cfg.Store.Txn(ctx, store.Txn{
		If: []store.Compare{{Key: l.key, Target: store.CompareCreate}},
		Then: []store.Op{
			{Get: &store.Get{Key: l.previousKey}},
			{Put: &store.Put{Key: l.key, Value: value, Lease: id}},
			{Put: &store.Put{Key: l.previousKey, Value: notReleased}},
		},
	})
	switch {
	case errors.Is(err, store.ErrAmbiguous):
		return l.resolveAmbiguousClaim(ctx, id, sentAt)
	case err != nil || !result.Succeeded:
		return errors.CombineErrors(err, l.cfg.Store.Revoke(ctx, id))
	}
	l.becomeHolder(id, result.Revision, sentAt, l.takeoverWait(result))
	return nil
}

// readHolder reads the holder's key and reports whether it is free. It records the holder and epoch when it is not.
func (l *lease) readHolder(ctx context.Context) (bool, error) {
	kv, err := l.cfg.Store.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	var record holderRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return false, errors.Wrap(err, "rollout: decode holder key")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.holderToken, l.epoch = record.Holder, record.Token, uint64(kv.ModRevision)
	return false, nil
}

// resolveAmbiguousClaim reads the key to find out whether a write with an unknown outcome took effect. The state of the
// previous holder was lost with the answer, so the full TakeoverWait applies. If the key does not exist, it ends the lease, without which the
// store cannot carry out the write later.
func (l *lease) resolveAmbiguousClaim(ctx context.Context, id store.LeaseID, sentAt time.Time) error {
	kv, err := l.cfg.Store.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		err = errors.CombineErrors(err, l.cfg.Store.Revoke(ctx, id))
	}
	if err != nil {
		return errors.Wrap(err, "rollout: read holder key after an ambiguous write")
	}
	var record holderRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return errors.Wrap(err, "rollout: decode holder key")
	}
	if record.Token != l.token || kv.Lease != id {
		return l.cfg.Store.Revoke(ctx, id)
	}
	l.becomeHolder(id, kv.ModRevision, sentAt, l.cfg.TakeoverWait)
	return nil
}

// becomeHolder records an acquired lease. keyRevision is the mod revision of the holder's key, sentAt the time before the lease was
// requested, wait the takeover wait.
func (l *lease) becomeHolder(id store.LeaseID, keyRevision int64, sentAt time.Time, wait time.Duration) {
	epoch := max(uint64(keyRevision), l.announcedEpoch()+1)
	restorations := store.Restorations(l.cfg.Store)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseID, l.epoch, l.holder, l.holderToken = id, epoch, l.cfg.Self.NodeID, l.token
	l.keyRevision, l.restorations = keyRevision, restorations
	l.validUntil = sentAt.Add(l.cfg.LeaseTTL - l.cfg.LeaseMargin)
	l.grantFrom = l.cfg.Now().Add(wait)
	l.cfg.Log.Info("rollout lease acquired", "epoch", epoch, "wait", wait.String())
}

// takeoverWait returns how long to wait before granting permits, given the result of the claiming transaction: 0 when there was no
// previous holder, the remaining lifetime of its permits when it released the lease, and TakeoverWait otherwise.
func (l *lease) takeoverWait(result store.TxnResult) time.Duration {
	if len(result.Results) == 0 || l.mayHaveLostHolder(result.Revision) {
		return l.cfg.TakeoverWait
	}
	l.mu.Lock()
	seenToken := l.holderToken
	l.mu.Unlock()
	var previous previousHolder
	if kvs := result.Results[0].KVs; len(kvs) > 0 {
		if json.Unmarshal(kvs[0].Value, &previous) != nil || !previous.Released {
			return l.cfg.TakeoverWait
		}
	}
	if seenToken != "" && previous.Token != seenToken {
		// The record is not that of the holder that this entry saw last.
		return l.cfg.TakeoverWait
	}
	return min(l.cfg.TakeoverWait, time.Duration(previous.WaitMillis)*time.Millisecond)
}

// mayHaveLostHolder reports whether the store, at the given revision, may have lost a holder whose permits are still in force: it was
// restored from an earlier copy since this entry last held the lease, or agents have accepted permits of a later revision.
func (l *lease) mayHaveLostHolder(revision int64) bool {
	restorations := store.Restorations(l.cfg.Store)
	l.mu.Lock()
	defer l.mu.Unlock()
	return restorations != l.restorations || l.announcedEpoch() >= uint64(revision)
}

// release deletes the holder's key, stores the remaining lifetime of this holder's permits for the next one and revokes the
// lease.
func (l *lease) release(remaining time.Duration) {
	l.mu.Lock()
	id, keyRevision := l.leaseID, l.keyRevision
	l.leaseID = 0
	l.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	value, err := json.Marshal(previousHolder{Released: true, WaitMillis: max(0, remaining.Milliseconds()), Token: l.token})
	if err == nil {
		_, err = l.cfg.Store.Txn(ctx, store.Txn{
			If: []store.Compare{{Key: l.key, Target: store.CompareMod, Revision: keyRevision}},
			Then: []store.Op{
				{Delete: &store.Delete{Key: l.key}},
				{Put: &store.Put{Key: l.previousKey, Value: value}},
			},
		})
	}
	if err = errors.CombineErrors(err, l.cfg.Store.Revoke(ctx, id)); err != nil {
		l.cfg.Log.Error(err, "rollout lease was not released cleanly")
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }
