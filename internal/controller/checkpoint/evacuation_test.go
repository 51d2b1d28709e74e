package checkpoint_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/controller/checkpoint"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const evacuationKey = prefix + "evacuation/z"

// evacuate returns the record of an evacuation of data centre "z" that was read as a change.
func evacuate(active bool, era, revision int64) fleet.EvacuationRecord {
	return fleet.EvacuationRecord{DataCentre: "z", Active: active, Observed: active, Era: era, Revision: revision}
}

// startedNode returns the state of a node that has started with a listing of the operator's keys without that of an evacuation, and has then read
// the checkpoints.
func startedNode(t *testing.T, m *memoryStore, era, revision int64) *fleet.State {
	t.Helper()
	state := fleet.NewState(nil)
	state.ApplyEvacuationListing(fleet.EvacuationListing{Era: era, Revision: revision})
	merge, err := checkpoint.NewReader(m, prefix, state, logr.Discard()).Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	merge(time.Now())
	return state
}

// Guards against requests to an evacuated data centre after a restore of the store that has lost the key, while all nodes have restarted since; and
// against an evacuation that goes on because its checkpoint is older than the removal of the key.
func TestEvacuationOutlivesARestoreAndARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 0)
		state.ObserveEra(1)
		state.ApplyEvacuation(evacuate(true, 1, 90))
		time.Sleep(writeTime)
		active, _ := m.get(evacuationKey)
		g.Expect(startedNode(t, m, 1, 80).Snapshot().Evacuated("z")).To(BeTrue(), "the listing was made before the write")
		g.Expect(startedNode(t, m, 1, 100).Snapshot().Evacuated("z")).To(BeFalse(), "the key was removed in the same era")

		m.restore(nil)
		state.ObserveEra(2)
		state.ApplyEvacuationListing(fleet.EvacuationListing{Era: 2, Revision: 70})
		time.Sleep(writeTime)
		g.Expect(startedNode(t, m, 2, 75).Snapshot().Evacuated("z")).To(BeTrue(), "the copy was made before the write")

		state.ApplyEvacuation(evacuate(true, 2, 80))
		state.ApplyEvacuation(evacuate(false, 2, 85))
		time.Sleep(writeTime)
		started := startedNode(t, m, 2, 86)
		g.Expect(started.Snapshot().Evacuated("z")).To(BeFalse())
		g.Expect(started.Snapshot().EvacuationEndedAt("z")).To(BeZero(), "the time of the end is not known")

		m.restore(map[string]store.KV{evacuationKey: active})
		state.ObserveEra(3)
		time.Sleep(2 * time.Second)
		g.Expect(startedNode(t, m, 3, 81).Snapshot().Evacuated("z")).To(BeFalse(), "the end is stored again in the new era")
	})
}

// Guards against a checkpoint that ends a process, or that hides others, because it is malformed, and against one that is tried again and again
// because the store does not accept its key.
func TestMalformedEvacuationsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, state := newMemoryStore(), fleet.NewState(nil)
		startWriter(t, m, state, 0)
		long := evacuate(true, 1, 90)
		long.DataCentre = strings.Repeat("z", 190)
		state.ApplyEvacuation(long)
		state.ApplyEvacuation(fleet.EvacuationRecord{DataCentre: "odd", Active: true, Era: 1, Revision: 1 << 50})
		time.Sleep(5 * time.Second)
		g.Expect(m.writeCount()).To(BeZero())
		state.ApplyEvacuation(evacuate(true, 1, 95))
		time.Sleep(writeTime)
		for name, value := range map[string]string{"": `{"data_centre":""}`, "a": `{"data_centre":"b","active":true,"era":1,"revision":5}`, "b": `[]`,
			"c": `{"data_centre":"c","active":true,"era":-1,"revision":5}`, "d": `{"data_centre":"d","active":true,"era":1}`} {
			m.put(prefix+"evacuation/"+name, []byte(value))
		}
		evacuations := startedNode(t, m, 1, 1).Snapshot().Evacuations()
		g.Expect(evacuations).To(HaveLen(1))
		g.Expect(evacuations[0].DataCentre).To(Equal("z"))
	})
}
