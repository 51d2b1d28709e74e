package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// Guards against the slowdown of an engine being taken from the older one of report and response, from a response without a pace, or from one
// that is older than reports may be.
func TestNewerOfReportAndResponseDeterminesTheSlowdown(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// reportAge is 0 if there is no report.
		reportAge, responseAge time.Duration
		slowdown, want         float64
		source                 string
	}{
		"response is newer":          {300 * time.Millisecond, 100 * time.Millisecond, 2.5, 2.5, slowdownFromResponse},
		"response ends the slowdown": {300 * time.Millisecond, 100 * time.Millisecond, 1, 1, slowdownFromResponse},
		"report is newer":            {100 * time.Millisecond, 300 * time.Millisecond, 2.5, 1.5, slowdownFromReport},
		"response without a pace":    {300 * time.Millisecond, 100 * time.Millisecond, 0, 1.5, slowdownFromReport},
		"no report":                  {0, 2 * time.Second, 2.5, 2.5, slowdownFromResponse},
		"no report, old response":    {0, 4 * time.Second, 2.5, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := now.Add(-c.responseAge)
			x := &exchange{relay: &Relay{cfg: Config{Observed: loadview.NewObservedTable(func() time.Time { return clock })}}, engine: &catalog.Engine{}}
			u := &catalog.Upstream{ID: "u", StartedAtMillis: 5}
			x.relay.cfg.Observed.Record("u", 5, loadview.Observation{Running: 1, Slots: 6, Slowdown: c.slowdown})
			clock = now
			w, reported := placement.Work{HasReport: true, Slowdown: 1.5}, now.Add(-c.reportAge)
			if c.reportAge == 0 {
				w, reported = placement.Work{}, time.Time{}
			}
			g.Expect(x.addObservation(&w, u, now, reported)).To(Equal(reported))
			g.Expect([]any{w.Slowdown, w.SlowdownSource}).To(Equal([]any{c.want, c.source}))
		})
	}
}
