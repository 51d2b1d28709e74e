package checkpoint_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/checkpoint"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	prefix     = "own/checkpoint/"
	configKey  = prefix + "config"
	versionKey = prefix + "version/m"
	// writeTime is longer than an entry that ranks first takes to store a checkpoint.
	writeTime = 100 * time.Millisecond
)

// startWriter runs the writer of an entry until the end of the test. The position is that of the entry for all keys; a negative one means that the
// entry leaves the keys to others.
func startWriter(t *testing.T, s checkpoint.Store, state *fleet.State, position int) {
	w := checkpoint.NewWriter(checkpoint.WriterConfig{Store: s, Prefix: prefix, State: state, Log: logr.Discard(),
		Position: func(string) (int, bool) { return position, position >= 0 }, AssumedAge: 5 * time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// nameVersion merges the naming of a version of model m into a state, as a node does that sees it.
func nameVersion(s *fleet.State, version int64) {
	s.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: version}, NamedAt: time.Now()})
}

// stored returns the model version and the configuration version that a node finds in the checkpoints, 0 for none.
func stored(t *testing.T, m *memoryStore) (version, config int64) {
	t.Helper()
	state := fleet.NewState(nil)
	merge, err := checkpoint.NewReader(m, prefix, state, logr.Discard()).Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	merge(time.Now())
	newest, _ := state.Snapshot().NewestVersion("m")
	return newest.Version, state.Snapshot().ConfigVersion()
}

// Guards against documents that are in memory only: those in force are stored at once, each with one write, and read again as they were.
func TestDocumentsInForceAreStoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 0)
		nameVersion(state, 2)
		config := &catalog.Config{Version: 7, Routes: []catalog.Route{{Name: "r", Host: "h.example", Prefix: "/x/", Timeout: time.Second}}}
		state.ApplyConfig(config, 1)
		time.Sleep(writeTime)
		nameVersion(state, 3)
		time.Sleep(writeTime)
		g.Expect(m.writeCount()).To(Equal(3))
		read := fleet.NewState(nil)
		merge, err := checkpoint.NewReader(m, prefix, read, logr.Discard()).Read(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		namedAt := time.Now().Add(-5 * time.Second)
		merge(namedAt)
		g.Expect(read.Snapshot().Index.Config).To(Equal(config))
		newest, _ := read.Snapshot().NewestVersion("m")
		g.Expect(newest.Version).To(Equal(int64(3)))
		g.Expect(newest.NamedAt).To(Equal(namedAt))
		g.Expect(newest.AgeAssumed).To(BeTrue(), "other nodes may know when it was named")
		startWriter(t, m, read, 0)
		time.Sleep(5 * time.Second)
		g.Expect(m.writeCount()).To(Equal(3), "what was read is not written again")
	})
}

// Guards against a checkpoint that goes back: a write without a response is carried out after a newer one, or by an entry that has missed the
// newer document.
func TestCheckpointNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 0)
		m.delayNext(3 * time.Second)
		nameVersion(state, 2)
		time.Sleep(writeTime)
		nameVersion(state, 3)
		time.Sleep(time.Second)
		version, _ := stored(t, m)
		g.Expect(version).To(Equal(int64(3)))
		time.Sleep(5 * time.Second) // The late write is carried out.
		version, _ = stored(t, m)
		g.Expect(version).To(Equal(int64(3)))

		behind := fleet.NewState(nil)
		nameVersion(behind, 2)
		startWriter(t, m, behind, 0)
		time.Sleep(writeTime)
		version, _ = stored(t, m)
		g.Expect(version).To(Equal(int64(3)))
		newest, _ := behind.Snapshot().NewestVersion("m")
		g.Expect(newest.Version).To(Equal(int64(3)), "the entry takes over what it finds")
		g.Expect(newest.AgeAssumed).To(BeTrue())
		g.Expect(time.Since(newest.NamedAt)).To(BeNumerically(">=", 5*time.Second))
	})
}

// Guards against a document that is not stored because the entry that ranks first cannot reach the store, and against every entry writing it.
func TestNextEntryStoresWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryStore()
		var states []*fleet.State
		for position := range 3 {
			state := fleet.NewState(nil)
			startWriter(t, m, state, position+1) // None ranks first.
			states = append(states, state)
			state.Observe(func(c fleet.Change) {
				if c.Checkpoint == nil {
					return
				}
				go func() { // As the links do.
					for _, other := range states {
						other.ApplyCheckpoint(*c.Checkpoint)
					}
				}()
			})
		}
		leaving := fleet.NewState(nil)
		startWriter(t, m, leaving, -1)
		for _, state := range append(states, leaving) {
			nameVersion(state, 2)
		}
		time.Sleep(time.Second)
		g.Expect(m.writeCount()).To(BeZero())
		time.Sleep(time.Second)
		version, _ := stored(t, m)
		g.Expect(version).To(Equal(int64(2)))
		time.Sleep(10 * time.Second)
		g.Expect(m.writeCount()).To(Equal(1))
	})
}

// Guards against a document that is not stored as long as newer ones follow quickly, while the entry that ranks first cannot reach the store.
func TestNextEntryStoresDocumentsThatChangeOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 1)
		for version := int64(1); version <= 10; version++ {
			state.ApplyConfig(&catalog.Config{Version: version}, version)
			time.Sleep(500 * time.Millisecond)
		}
		_, config := stored(t, m)
		g.Expect(config).To(BeNumerically(">=", 4))
	})
}

// Guards against entries that write too while the one that ranks first stores each of many documents, a little after they hear of it.
func TestOneEntryStoresDocumentsThatChangeOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 1)
		for version := int64(1); version <= 100; version++ {
			state.ApplyConfig(&catalog.Config{Version: version}, version)
			state.ApplyCheckpoint(fleet.CheckpointRecord{Key: configKey, Number: version - 1})
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(m.writeCount()).To(BeZero())
	})
}

// Guards against a write and a read of each entry that starts: it merges the operator's documents first, and its writer sees them before the
// checkpoints are merged.
func TestCheckpointsThatWereReadAreNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		m.put(versionKey, []byte(`{"model":"m","version":3}`))
		startWriter(t, m, state, 0)
		merge, err := checkpoint.NewReader(m, prefix, state, logr.Discard()).Read(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		nameVersion(state, 3)
		time.Sleep(writeTime)
		merge(time.Now())
		time.Sleep(writeTime)
		const listing = 1
		g.Expect(m.callCount()).To(Equal(listing))
	})
}

// Guards against checkpoints that are lost when the store is restored from an earlier copy, and against a revision of an earlier era that is
// taken for one of the new era and makes a checkpoint go back.
func TestCheckpointsAreStoredAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		state.ObserveEra(1)
		startWriter(t, m, state, 0)
		nameVersion(state, 2)
		time.Sleep(writeTime)
		copied, _ := m.get(versionKey)
		nameVersion(state, 3)
		state.ApplyConfig(&catalog.Config{Version: 7}, 1)
		time.Sleep(writeTime)
		written, _ := m.get(versionKey)
		m.restore(map[string]store.KV{versionKey: copied})
		state.ObserveEra(2)
		time.Sleep(writeTime)
		version, config := stored(t, m)
		g.Expect([]int64{version, config}).To(Equal([]int64{3, 7}))

		newer := written // Another entry has stored version 4 at the revision that this one has found before the restore.
		newer.Value = []byte(`{"model":"m","version":4}`)
		m.restore(map[string]store.KV{versionKey: newer})
		state.ObserveEra(3)
		time.Sleep(2 * time.Second)
		version, _ = stored(t, m)
		g.Expect(version).To(Equal(int64(4)))
	})
}

// Guards against a checkpoint that goes back because an entry that has heard of a restore from other nodes only compares with a revision of the
// earlier era, at which another entry has stored a newer document since.
func TestRevisionOfAnEarlierEraIsNotCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		state.ObserveEra(1)
		startWriter(t, &lateEra{memoryStore: m, known: 1}, state, 0)
		nameVersion(state, 2)
		time.Sleep(writeTime)
		newer, _ := m.get(versionKey)
		newer.Value = []byte(`{"model":"m","version":4}`)
		m.restore(map[string]store.KV{versionKey: newer})
		state.ObserveEra(2)
		nameVersion(state, 3)
		time.Sleep(2 * time.Second)
		version, _ := stored(t, m)
		g.Expect(version).To(Equal(int64(4)))
	})
}

// Guards against calls without a pause while the store refuses them, and against a document that is not stored once the store is back.
func TestFailedWritesAreRetriedWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 0)
		m.setFailing(true)
		nameVersion(state, 2)
		for version := int64(1); version <= 200; version++ { // Newer documents cause no further attempts.
			time.Sleep(100 * time.Millisecond)
			state.ApplyConfig(&catalog.Config{Version: version}, version)
		}
		const keys, attemptsIn20s = 2, 12
		g.Expect(m.callCount()).To(BeNumerically("<=", keys*attemptsIn20s))
		m.setFailing(false)
		time.Sleep(2500 * time.Millisecond)
		version, _ := stored(t, m)
		g.Expect(version).To(Equal(int64(2)))
	})
}

// Guards against a malformed checkpoint that hides the others, stops the node, or is left as it is.
func TestMalformedCheckpointsAreSkippedAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		for key, value := range map[string]string{configKey: "\xff\x00", prefix + "version/": `{}`, prefix + "version/other": `{"model":"m","version":9}`,
			prefix + "version/negative": `{"model":"negative","version":-1}`, prefix + "unknown": "1", prefix + "version/text": "x",
			versionKey: `{"model":"m","version":2}`} {
			m.put(key, []byte(value))
		}
		version, config := stored(t, m)
		g.Expect([]int64{version, config}).To(Equal([]int64{2, 0}))
		startWriter(t, m, state, 0)
		state.ApplyConfig(&catalog.Config{Version: 7}, 1)
		time.Sleep(writeTime)
		_, config = stored(t, m)
		g.Expect(config).To(Equal(int64(7)))
	})
}

// Guards against a listing of an era that is over: what it holds may have been lost since.
func TestListingOfAnEarlierEraIsRejected(t *testing.T) {
	g := NewWithT(t)
	m, state := newMemoryStore(), fleet.NewState(nil)
	state.ObserveEra(2)
	_, err := checkpoint.NewReader(m, prefix, state, logr.Discard()).Read(t.Context())
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue(), "%v", err)
}

// FuzzRead checks that no value of a checkpoint makes a node panic or puts a document without a number in force.
func FuzzRead(f *testing.F) {
	f.Add("config", []byte("\x01\x02"))
	f.Add("version/m", []byte(`{"model":"m","version":2}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m, state := newMemoryStore(), fleet.NewState(nil)
		m.put(prefix+key, value)
		merge, err := checkpoint.NewReader(m, prefix, state, logr.Discard()).Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		merge(time.Now())
		if snap := state.Snapshot(); snap.Index != nil && snap.ConfigVersion() <= 0 {
			t.Error("configuration without a version")
		}
	})
}
