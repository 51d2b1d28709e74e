package checkpoint_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// memoryStore is a store in memory that supports what checkpoints need.
type memoryStore struct {
	store.Store // Methods that are not implemented panic.

	mu       sync.Mutex
	era      int64
	revision int64
	keys     map[string]store.KV
	// writes counts transactions, calls all calls.
	writes, calls int
	// failing makes all calls fail. lateBy makes the next transaction get no response; it is carried out after that time.
	failing bool
	lateBy  time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{era: 1, revision: 1, keys: map[string]store.KV{}}
}

func (m *memoryStore) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// restore begins a new era in which the store holds the given keys only.
func (m *memoryStore) restore(keys map[string]store.KV) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.keys = map[string]store.KV{}
	for key, kv := range keys {
		kv.Era = m.era
		m.keys[key] = kv
	}
}

func (m *memoryStore) get(key string) (store.KV, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.keys[key]
	return kv, ok
}

func (m *memoryStore) put(key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(key, value)
}

// set writes a key. The caller holds mu.
func (m *memoryStore) set(key string, value []byte) {
	m.revision++
	m.keys[key] = store.KV{Key: key, Value: value, ModRevision: m.revision, Era: m.era}
}

func (m *memoryStore) Get(_ context.Context, key string) (store.KV, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	kv, ok := m.keys[key]
	if m.failing {
		return kv, errors.WithStack(store.ErrUnavailable)
	}
	if !ok {
		return kv, errors.WithStack(store.ErrNotFound)
	}
	return kv, nil
}

// List returns the keys in descending order, as no order is promised.
func (m *memoryStore) List(_ context.Context, keyPrefix string) (store.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.failing {
		return store.Listing{}, errors.WithStack(store.ErrUnavailable)
	}
	listing := store.Listing{Cursor: store.Cursor{Era: m.era, Revision: m.revision}}
	for key, kv := range m.keys {
		if strings.HasPrefix(key, keyPrefix) {
			listing.KVs = append(listing.KVs, kv)
		}
	}
	slices.SortFunc(listing.KVs, func(a, b store.KV) int { return strings.Compare(b.Key, a.Key) })
	return listing, nil
}

func (m *memoryStore) Poll(context.Context, string, store.Cursor, time.Duration) ([]store.Event, store.Cursor, error) {
	panic("not used")
}

func (m *memoryStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls, m.writes = m.calls+1, m.writes+1
	switch {
	case m.failing:
		return store.TxnResult{}, errors.WithStack(store.ErrUnavailable)
	case m.lateBy > 0:
		time.AfterFunc(m.lateBy, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.run(txn)
		})
		m.lateBy = 0
		return store.TxnResult{}, errors.WithStack(store.ErrAmbiguous)
	}
	return m.run(txn), nil
}

// run carries out a transaction. The caller holds mu.
func (m *memoryStore) run(txn store.Txn) store.TxnResult {
	for _, c := range txn.If {
		if m.keys[c.Key].ModRevision != c.Revision {
			return store.TxnResult{}
		}
	}
	for _, op := range txn.Then {
		m.set(op.Put.Key, op.Put.Value)
	}
	return store.TxnResult{Succeeded: true, Revision: m.revision}
}

// writeCount returns the number of transactions.
func (m *memoryStore) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// callCount returns the number of all calls.
func (m *memoryStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// delayNext makes the next transaction get no response, and be carried out after the given time.
func (m *memoryStore) delayNext(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lateBy = by
}

func (m *memoryStore) setFailing(failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = failing
}

// lateEra is a store client that learns the era of the store from its own calls only.
type lateEra struct {
	*memoryStore
	known int64
}

func (s *lateEra) Era() int64 { return s.known }

func (s *lateEra) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	defer func() { s.known = s.memoryStore.Era() }()
	return s.memoryStore.Txn(ctx, txn)
}

func (s *lateEra) Get(ctx context.Context, key string) (store.KV, error) {
	defer func() { s.known = s.memoryStore.Era() }()
	return s.memoryStore.Get(ctx, key)
}
