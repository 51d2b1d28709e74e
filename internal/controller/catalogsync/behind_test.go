package catalogsync_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests to an upstream that drains, because the connection on which a poll of the upstreams waits has gone silent: it hid the
// change for up to 4.2 s (DRAIN, review/4). Upstreams that leave serve requests for 2 s; a node whose connections are disturbed is allowed 3 s.
func TestChangeBehindASilentPollIsReadSoon(t *testing.T) {
	for name, c := range map[string]struct {
		silent []string
		within time.Duration
	}{"the poll of the upstreams": {[]string{"up/"}, 2 * time.Second}, "all polls": {[]string{"conf", "up/"}, 2700 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMemoryStore()
			m.put("conf", "1")
			m.put("up/a", "1")
			s := startSyncer(t, m, alwaysActive)
			g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
			time.Sleep(100 * time.Millisecond) // The polls are under way.
			m.withLock(func() {
				m.silenced = map[string]int{}
				for _, prefix := range c.silent {
					m.silenced[prefix]++
				}
			})
			time.Sleep(300 * time.Millisecond)
			m.remove("up/a")
			g.Eventually(upstreamIDs(s), c.within, "10ms").Should(BeEmpty())
		})
	}
}

// Guards against polls of the upstreams that are repeated without need, as calls are billed: each change elsewhere costs one more call at most.
func TestChangeElsewhereCostsOnePollOfTheUpstreams(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryStore()
	m.put("conf", "1")
	s := startSyncer(t, m, alwaysActive)
	g.Eventually(isUpToDate(s), "2s").Should(BeTrue())
	time.Sleep(100 * time.Millisecond)
	count := func(change func()) int {
		var before, after int
		m.withLock(func() { before = m.calls })
		change()
		time.Sleep(2 * time.Second)
		m.withLock(func() { after = m.calls })
		return after - before
	}
	quiet := count(func() {})
	g.Expect(count(func() { m.put("other", "1") })).To(BeNumerically("<=", quiet+3), "one given up, one that tells, and one that waits")
}
