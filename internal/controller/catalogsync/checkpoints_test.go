package catalogsync_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Guards against a node that serves by documents of the store which are older than those that were in force, because it has not read the
// checkpoints, and against a checkpoint that replaces the operator's document of the same number.
func TestDocumentsAreMergedWithTheirCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("a")
		m.put("conf/weights", "2")
		state := fleet.NewState(nil)
		var reads atomic.Int32
		var readable atomic.Bool
		read := func(context.Context) (func(time.Time), error) {
			if reads.Add(1); !readable.Load() {
				return nil, errors.WithStack(store.ErrUnavailable)
			}
			return func(namedAt time.Time) {
				state.ApplyConfig(&catalog.Config{Version: 7, Limits: catalog.Limits{MaxBodyBytes: 1}}, 1)
				state.ApplyVersion(fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 3}, NamedAt: namedAt, AgeAssumed: true})
			}, nil
		}
		started := time.Now()
		syncer := catalogsync.New(m, testDecoder{}, state, logr.Discard(), alwaysActive, testVersionAge).WithCheckpoints(read)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); syncer.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		time.Sleep(time.Second)
		g.Expect(configVersion(state)()).To(BeZero())
		_, known := state.Staleness()
		g.Expect(known).To(BeFalse())

		readable.Store(true)
		time.Sleep(2 * time.Second)
		g.Expect(configVersion(state)()).To(Equal(int64(7)))
		g.Expect(state.Snapshot().Index.Config.Limits.MaxBodyBytes).To(BeZero(), "the configuration is that of the operator")
		newest, _ := state.Snapshot().NewestVersion("m")
		g.Expect(newest.Version).To(Equal(int64(3)))
		g.Expect(newest.NamedAt).To(Equal(started.Add(-testVersionAge)))
		g.Expect(state.Snapshot().MinVersion("m", started.Add(3*time.Second), 8*time.Second)).To(Equal(int64(3)))

		before := reads.Load()
		m.put("conf", "8")
		time.Sleep(5 * time.Second)
		g.Expect(configVersion(state)()).To(Equal(int64(8)))
		g.Expect(reads.Load()).To(Equal(before), "polls miss no document")
	})
}
