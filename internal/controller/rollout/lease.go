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

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// candidates is the number of entries of a data centre that try to become the holder, to save calls to the store.
const candidates = 2

// callTimeout bounds one call to the store.
const callTimeout = 2 * time.Second

const keyPrefix = "/pimentohead/rollout/"

// claim is the value of the holder's key.
type claim struct {
	Holder string `json:"holder"`
	// Token tells claims of one entry apart, so that a claim with an unknown outcome can be read back.
	Token string `json:"token"`
}

// marker is the value of a second key without a lease. It tells a new holder about the previous one.
type marker struct {
	Released bool `json:"released"`
	// WaitMillis is the remaining lifetime of the permits of a holder that released.
	WaitMillis int64 `json:"wait_ms"`
}

// lease is the holder's key and its lease as seen by this entry.
type lease struct {
	cfg   *Config
	key   string
	mark  string
	token string

	// mu guards all fields below.
	mu     sync.Mutex
	id     store.LeaseID
	epoch  uint64
	holder string
	// validUntil is when the lease may have lapsed, less the margin; grantFrom is the end of the takeover wait.
	validUntil time.Time
	grantFrom  time.Time
}

func newLease(cfg *Config) *lease {
	key := keyPrefix + cfg.Self.DataCentre
	return &lease{cfg: cfg, key: key, mark: key + "/previous", token: uuid.NewString()}
}

// grantEpoch returns the epoch under which permits may be granted at this moment.
func (l *lease) grantEpoch() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	return l.epoch, l.id != 0 && now.Before(l.validUntil) && !now.Before(l.grantFrom)
}

// known returns the holder and epoch that this entry last saw.
func (l *lease) known() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.epoch
}

func (l *lease) held() store.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// run keeps or seeks the lease until ctx ends. changed is called after each change.
func (l *lease) run(ctx context.Context, changed func()) {
	for ctx.Err() == nil {
		var err error
		delay := jitter(l.cfg.ElectionInterval)
		switch {
		case l.held() != 0:
			delay = l.cfg.LeaseTTL / 3
			if err = l.keepAlive(ctx); err != nil {
				delay = jitter(l.cfg.LeaseTTL / 10)
			}
		case l.eligible():
			if err = l.acquire(ctx); l.held() != 0 {
				delay = l.cfg.LeaseTTL / 3
				changed()
			}
		}
		if err != nil && ctx.Err() == nil {
			l.cfg.Log.V(1).Info("rollout lease", "cause", err.Error())
		}
		sleep(ctx, delay)
	}
}

// eligible tells whether this entry is among the candidates of its data centre.
func (l *lease) eligible() bool {
	self := xxhash.Sum64String(l.key + "\x00" + l.cfg.Self.NodeID)
	above := 0
	for _, e := range l.cfg.Table.Entries() {
		other := xxhash.Sum64String(l.key + "\x00" + e.Node.NodeID)
		if e.Node.DataCentre == l.cfg.Self.DataCentre && !e.Leaving && other > self {
			above++
		}
	}
	return above < candidates
}

// keepAlive renews the lease. Its validity counts from before the call, because the store may have renewed it at any moment
// of the call.
func (l *lease) keepAlive(ctx context.Context) error {
	id := l.held()
	sent := l.cfg.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ttl, err := l.cfg.Store.KeepAlive(call, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.id, l.epoch, l.holder = 0, 0, ""
	}
	if err == nil {
		l.validUntil = sent.Add(min(ttl, l.cfg.LeaseTTL) - l.cfg.LeaseMargin)
	}
	return err
}

// acquire takes the key when nobody holds it.
func (l *lease) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	if free, err := l.look(ctx); err != nil || !free {
		return err
	}
	sent := l.cfg.Now()
	id, err := l.cfg.Store.Grant(ctx, l.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(claim{Holder: l.cfg.Self.NodeID, Token: l.token})
	if err != nil {
		return err
	}
	held, err := json.Marshal(marker{})
	if err != nil {
		return err
	}
	result, err := l.cfg.Store.Txn(ctx, store.Txn{
		If: []store.Compare{{Key: l.key, Target: store.CompareCreate}},
		Then: []store.Op{
			{Get: &store.Get{Key: l.mark}},
			{Put: &store.Put{Key: l.key, Value: value, Lease: id}},
			{Put: &store.Put{Key: l.mark, Value: held}},
		},
	})
	switch {
	case errors.Is(err, store.ErrAmbiguous):
		return l.readBack(ctx, id, sent)
	case err != nil || !result.Succeeded:
		return errors.CombineErrors(err, l.cfg.Store.Revoke(ctx, id))
	}
	l.won(id, uint64(result.Revision), sent, l.takeoverWait(result.Results))
	return nil
}

// look reads the key and tells whether it is free.
func (l *lease) look(ctx context.Context) (bool, error) {
	kv, err := l.cfg.Store.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	var c claim
	if err := json.Unmarshal(kv.Value, &c); err != nil {
		return false, errors.Wrap(err, "rollout: holder key")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.epoch = c.Holder, uint64(kv.ModRevision)
	return false, nil
}

// readBack settles a claim whose outcome is unknown. The previous holder is unknown then, so the whole wait applies.
func (l *lease) readBack(ctx context.Context, id store.LeaseID, sent time.Time) error {
	kv, err := l.cfg.Store.Get(ctx, l.key)
	if err != nil {
		return errors.Wrap(err, "rollout: read back")
	}
	var c claim
	if err := json.Unmarshal(kv.Value, &c); err != nil {
		return errors.Wrap(err, "rollout: holder key")
	}
	if c.Token != l.token || kv.Lease != id {
		return l.cfg.Store.Revoke(ctx, id)
	}
	l.won(id, uint64(kv.ModRevision), sent, l.cfg.TakeoverWait)
	return nil
}

func (l *lease) won(id store.LeaseID, epoch uint64, sent time.Time, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.epoch, l.holder = id, epoch, l.cfg.Self.NodeID
	l.validUntil = sent.Add(l.cfg.LeaseTTL - l.cfg.LeaseMargin)
	l.grantFrom = l.cfg.Now().Add(wait)
	l.cfg.Log.Info("rollout lease acquired", "epoch", epoch, "wait", wait.String())
}

// takeoverWait derives the wait from the marker: none when no earlier holder existed, what is left of the permits when it
// released, and the whole wait when it did not.
func (l *lease) takeoverWait(results []store.OpResult) time.Duration {
	if len(results) == 0 {
		return l.cfg.TakeoverWait
	}
	if len(results[0].KVs) == 0 {
		return 0
	}
	var m marker
	if json.Unmarshal(results[0].KVs[0].Value, &m) != nil || !m.Released {
		return l.cfg.TakeoverWait
	}
	return min(l.cfg.TakeoverWait, time.Duration(m.WaitMillis)*time.Millisecond)
}

// release gives the key up and leaves the remaining lifetime of the permits for the next holder.
func (l *lease) release(remaining time.Duration) {
	l.mu.Lock()
	id, epoch := l.id, l.epoch
	l.id = 0
	l.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := json.Marshal(marker{Released: true, WaitMillis: max(0, remaining.Milliseconds())})
	if err == nil {
		_, err = l.cfg.Store.Txn(ctx, store.Txn{
			If: []store.Compare{{Key: l.key, Target: store.CompareMod, Revision: int64(epoch)}},
			Then: []store.Op{
				{Delete: &store.Delete{Key: l.key}},
				{Put: &store.Put{Key: l.mark, Value: value}},
			},
		})
	}
	if err = errors.CombineErrors(err, l.cfg.Store.Revoke(ctx, id)); err != nil {
		l.cfg.Log.Error(err, "rollout lease was not released cleanly")
	}
}

// jitter returns a random duration between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
