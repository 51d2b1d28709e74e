package catalogsync_test

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// testDecoder decodes the key "conf", whose value is the version of the configuration, the key "conf/weights", whose value is the
// named version of model m, the keys "conf/evacuate/DATACENTRE", and the keys "up/ID", whose value is the sequence number of the upstream's
// announcement. A value that is not a number cannot be decoded, except that of an evacuation, which does not matter.
type testDecoder struct{}

func (testDecoder) Prefixes() []catalogsync.Prefix {
	return []catalogsync.Prefix{{Name: "conf"}, {Name: "up/", HoldsUpstreams: true}}
}

func (testDecoder) Decode(key string, value []byte, deleted bool) (catalogsync.Document, error) {
	if dataCentre, ok := strings.CutPrefix(key, "conf/evacuate/"); ok {
		return catalogsync.Document{Evacuation: &catalogsync.Evacuation{DataCentre: dataCentre, Active: !deleted}}, nil
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if key == "conf" {
		return catalogsync.Document{Config: &catalog.Config{Version: n}}, err
	}
	if key == "conf/weights" {
		return catalogsync.Document{Version: &catalog.NamedVersion{Model: "m", Version: n}}, err
	}
	document := catalogsync.Document{UpstreamID: strings.TrimPrefix(key, "up/")}
	if deleted || err != nil {
		return document, err
	}
	document.Upstream = &catalog.Upstream{ID: document.UpstreamID, Service: "s", State: catalog.Ready, Sequence: n}
	return document, nil
}

// memoryStore is a store in memory. Poll waits until there are changes, the timeout has passed or ctx ends.
type memoryStore struct {
	mu sync.Mutex
	// era is the era of the store; see restore.
	era      int64
	revision int64
	keys     map[string]store.KV
	events   []store.Event
	// compactedBefore is the revision below which polls return store.ErrCompacted.
	compactedBefore int64
	// down makes all calls return store.ErrUnavailable, after failureDelay.
	down         bool
	failureDelay time.Duration
	// silentPrefixes are the prefixes for which calls get no answer: they fail 1.2 s after the end of their wait.
	silentPrefixes []string
	// silenced counts by prefix how often the polls under way were made silent: they fail as those of silentPrefixes do. New ones are answered.
	silenced map[string]int
	// listDelay is the time that List takes.
	listDelay time.Duration
	// hidesUnreadable makes List skip keys and state so, as if their items could not be read.
	hidesUnreadable bool
	// calls counts the calls of List and Poll.
	calls int
}

func newMemoryStore() *memoryStore { return &memoryStore{revision: 1, keys: map[string]store.KV{}} }

func (m *memoryStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	kv := store.KV{Key: key, Value: []byte(value), ModRevision: m.revision, Era: m.era}
	m.keys[key] = kv
	m.events = append(m.events, store.Event{KV: kv})
}

func (m *memoryStore) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.keys, key)
	m.events = append(m.events, store.Event{KV: store.KV{Key: key, ModRevision: m.revision, Era: m.era}, Deleted: true})
}

// restore begins a new era at a lower revision, in which the store holds only the given keys and values, with the revisions up to it.
func (m *memoryStore) restore(revision int64, keys map[string]string) {
	m.withLock(func() {
		m.era++
		m.revision, m.keys, m.events = revision-int64(len(keys)), map[string]store.KV{}, nil
	})
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		m.put(key, keys[key])
	}
}

func (m *memoryStore) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memoryStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	pause.For(ctx, m.listDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if slices.Contains(m.silentPrefixes, prefix) {
		m.mu.Unlock()
		err := m.awaitTimeout(ctx, time.Now())
		m.mu.Lock()
		return store.Listing{}, err
	}
	if m.down {
		return store.Listing{}, errors.WithStack(store.ErrUnavailable)
	}
	out := store.Listing{Cursor: store.Cursor{Era: m.era, Revision: m.revision}}
	for _, kv := range m.keys {
		if m.hidesUnreadable && strings.HasPrefix(kv.Key, evacuationKey) {
			out.HasUnreadable = true
			continue
		}
		if strings.HasPrefix(kv.Key, prefix) {
			out.KVs = append(out.KVs, kv)
		}
	}
	return out, nil
}

func (m *memoryStore) Poll(ctx context.Context, prefix string, after store.Cursor, wait time.Duration) (
	[]store.Event, store.Cursor, error) {
	deadline := time.Now().Add(wait)
	var silenced int
	m.withLock(func() { m.calls++; silenced = m.silenced[prefix] })
	for {
		m.mu.Lock()
		if slices.Contains(m.silentPrefixes, prefix) || m.silenced[prefix] > silenced {
			m.mu.Unlock()
			return nil, after, m.awaitTimeout(ctx, deadline)
		}
		if m.down {
			delay := m.failureDelay
			m.mu.Unlock()
			pause.For(ctx, delay)
			return nil, after, errors.WithStack(store.ErrUnavailable)
		}
		if after.Era != m.era {
			m.mu.Unlock()
			return nil, after, errors.WithStack(store.ErrRestored)
		}
		if after.Revision < m.compactedBefore {
			m.mu.Unlock()
			return nil, after, errors.WithStack(store.ErrCompacted)
		}
		var out []store.Event
		for _, e := range m.events {
			if e.KV.ModRevision > after.Revision && strings.HasPrefix(e.KV.Key, prefix) {
				out = append(out, e)
			}
		}
		revision := m.revision
		m.mu.Unlock()
		if len(out) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return out, store.Cursor{Era: after.Era, Revision: revision}, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitTimeout returns the error of a call that gets no answer, 1.2 s after the end of the call's wait.
func (*memoryStore) awaitTimeout(ctx context.Context, deadline time.Time) error {
	pause.For(ctx, time.Until(deadline)+1200*time.Millisecond)
	return errors.WithStack(store.ErrUnavailable)
}

// testVersionAge is the age that versions named before the start of the syncer are assumed to have then.
const testVersionAge = 5 * time.Second

// startSyncer runs a Syncer until the test ends and returns the state that it keeps up to date.
func startSyncer(t *testing.T, m *memoryStore, active func() bool) *fleet.State {
	state := fleet.NewState(nil)
	runSyncer(t, catalogsync.New(m, testDecoder{}, state, logr.Discard(), active, testVersionAge))
	return state
}

// runSyncer runs a syncer until the end of the test.
func runSyncer(t *testing.T, syncer *catalogsync.Syncer) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func alwaysActive() bool { return true }

// configVersion returns a function that reads the version of the configuration in force, or 0.
func configVersion(s *fleet.State) func() int64 {
	return func() int64 {
		if index := s.Snapshot().Index; index != nil {
			return index.Config.Version
		}
		return 0
	}
}

// upstreamIDs returns a function that reads the IDs of the upstreams of service "s".
func upstreamIDs(s *fleet.State) func() []string {
	return func() []string {
		out := []string{}
		for _, u := range s.Snapshot().Upstreams("s") {
			out = append(out, u.ID)
		}
		return out
	}
}

// namedVersion returns a function that reads the newest version of model m.
func namedVersion(s *fleet.State) func() int64 {
	return func() int64 { v, _ := s.Snapshot().NewestVersion("m"); return v.Version }
}

// isUpToDate returns a function that reports whether the state was up to date within the last 100 ms.
func isUpToDate(s *fleet.State) func() bool {
	return func() bool {
		staleness, known := s.Staleness()
		return known && staleness < 100*time.Millisecond
	}
}
