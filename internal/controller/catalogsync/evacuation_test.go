package catalogsync_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// evacuationKey is the key of the evacuation of data centre "z".
const evacuationKey = "conf/evacuate/z"

// settleTime is longer than a syncer takes to know a change of a prefix that it polls.
const settleTime = time.Second

// evacuated reports whether data centre "z" is evacuated.
func evacuated(s *fleet.State) bool { return s.Snapshot().Evacuated("z") }

// logLines collects log lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, args)
	}, funcr.Options{})
}

// count returns the number of lines that have all of the texts.
func (l *logLines) count(texts ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			n++
		}
	}
	return n
}

// startLogged is startSyncer for a syncer that knows data centre "z" only and logs to lines.
func startLogged(t *testing.T, m *memoryStore, lines *logLines) *fleet.State {
	state := fleet.NewState(nil)
	syncer := catalogsync.New(m, testDecoder{}, state, lines.logger(), alwaysActive, testVersionAge).WithDataCentres([]string{"z"})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return state
}

// Guards against an evacuation whose write, removal or second write a node that watches the store misses, also if the removal is in a part of the
// history that is gone; and against changes that nobody can find in the log.
func TestEvacuationFollowsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, lines := storeWithUpstreams("a"), &logLines{}
		s := startLogged(t, m, lines)
		for round := range 2 {
			m.put(evacuationKey, "{}")
			m.put("conf/evacuate/elsewhere", "{}")
			time.Sleep(settleTime)
			g.Expect(evacuated(s)).To(BeTrue())
			g.Expect(lines.count("evacuation of data centre began", `"data_centre"="z"`, `"from"="store"`, `"revision"=`)).To(Equal(round + 1))
			g.Expect(lines.count("not in the settings", `"data_centre"="elsewhere"`)).To(Equal(1))
			m.remove(evacuationKey)
			if round == 1 {
				m.withLock(func() { m.events, m.compactedBefore = nil, m.revision+1; m.revision += 2 })
			}
			time.Sleep(settleTime)
			g.Expect(evacuated(s)).To(BeFalse())
			g.Expect(lines.count("evacuation of data centre ended", `"data_centre"="z"`, `"from"="store"`)).To(Equal(round + 1))
		}
	})
}

// Guards against a node that serves with a configuration and without the evacuations that were in the store before it started.
func TestEvacuationIsKnownBeforeTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("a")
		m.put(evacuationKey, "{}")
		state := fleet.NewState(nil)
		var without int
		state.Observe(func(c fleet.Change) {
			if c.Config != nil && !evacuated(state) { // A snapshot needs no lock.
				without++
			}
		})
		syncer := catalogsync.New(m, testDecoder{}, state, logr.Discard(), alwaysActive, testVersionAge)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); syncer.Run(ctx) }()
		time.Sleep(settleTime)
		cancel()
		<-done
		g.Expect(configVersion(state)()).To(Equal(int64(7)))
		g.Expect(without).To(BeZero())
	})
}

// Guards against an evacuation that ends because the store was restored from a copy without its key, and against one that begins again because the
// copy has a key that was removed since. The operator ends and begins both after that.
func TestEvacuationsAcrossARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, lines := storeWithUpstreams("a"), &logLines{}
		s := startLogged(t, m, lines)
		time.Sleep(settleTime)
		m.put(evacuationKey, "{}")
		time.Sleep(settleTime)
		m.restore(3, map[string]string{"conf": "7", "up/a": "1"})
		time.Sleep(5 * time.Second)
		g.Expect(evacuated(s)).To(BeTrue())
		g.Expect(lines.count("stays in force")).To(Equal(2), "one line for each listing: at once, and at the end of the reannounce period")
		m.put(evacuationKey, "{}")
		time.Sleep(settleTime)
		written := m.keys[evacuationKey].ModRevision
		m.remove(evacuationKey)
		time.Sleep(settleTime)
		g.Expect(evacuated(s)).To(BeFalse())

		m.restore(written, map[string]string{"conf": "7", "up/a": "1", "conf/evacuate/z": "{}"}) // The last key by name has revision written-1.
		m.withLock(func() {
			kv := m.keys[evacuationKey]
			kv.ModRevision = written
			m.keys[evacuationKey] = kv
		})
		time.Sleep(5 * time.Second)
		g.Expect(evacuated(s)).To(BeFalse())
		g.Expect(lines.count("not begun again")).To(Equal(1))
		m.put(evacuationKey, "{}")
		time.Sleep(settleTime)
		g.Expect(evacuated(s)).To(BeTrue())
	})
}

// Guards against an evacuation that ends because an item of a listing cannot be read, and against one that goes on because the removal of its key
// cannot.
func TestUnreadableItemsDoNotChangeEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := storeWithUpstreams("a")
		s := startSyncer(t, m, alwaysActive)
		m.put(evacuationKey, "{}")
		time.Sleep(settleTime)
		m.withLock(func() { m.hidesUnreadable, m.compactedBefore = true, m.revision+1; m.revision++ })
		time.Sleep(settleTime)
		g.Expect(evacuated(s)).To(BeTrue())
		m.withLock(func() { m.hidesUnreadable = false })
		time.Sleep(settleTime)

		m.remove(evacuationKey)
		m.withLock(func() { m.events[len(m.events)-1].Deleted = false }) // As the client of the store returns an item that it cannot read.
		time.Sleep(settleTime)
		g.Expect(evacuated(s)).To(BeFalse())
	})
}
