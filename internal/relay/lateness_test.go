package relay_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Load: one of two upstreams is slow. Guards against streams on routes with a pause limit that are placed without their expected lateness or
// whose log lines do not name it, and against a change for routes without a limit. Which upstream is chosen is tested in package placement.
func TestLogNamesLatenessOfStreamsWithAPauseLimit(t *testing.T) {
	for name, maxPause := range map[string]time.Duration{"limit": 400 * time.Millisecond, "no limit": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var mu sync.Mutex
			var lines []string
			e := newEntryWithLog(t, codec{}, funcr.New(func(_, args string) {
				mu.Lock()
				defer mu.Unlock()
				lines = append(lines, args)
			}, funcr.Options{}))
			e.useEngine(t, maxPause)
			slow, normal := newUpstream(t, "slow", streamUpTo(3)), newUpstream(t, "normal", streamUpTo(3))
			for u, slowdown := range map[*upstream]float64{slow: 2.5, normal: 1} {
				e.announce(u, 1, 1)
				e.loads.Apply([]message.UpstreamLoad{{Address: u.addr, Slowdown: slowdown,
					Models: []catalog.LoadedLayers{{Model: "m", Version: 1, From: 0, To: 1}}}})
			}
			a := generate(e)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
			mu.Lock()
			defer mu.Unlock()
			log := strings.Join(lines, "\n")
			g.Expect(log).To(ContainSubstring(`"longest_pause_ms"=`))
			for _, part := range []string{`"late_risk"=`, `"late_others"=`, `"unread_tokens"=0`, `"slow_share"=`, "upstreams of service are slow in turns"} {
				g.Expect(strings.Contains(log, part)).To(Equal(maxPause > 0), part)
			}
		})
	}
}
