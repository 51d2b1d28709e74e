package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/availability"
	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/request"
)

// errUnavailable is the cause of an attempt that was not sent because the upstream has said meanwhile that it takes no requests.
var errUnavailable = errors.New("relay: upstream takes no requests")

// processOf identifies the process of an upstream to package availability.
func processOf(u *catalog.Upstream) availability.Process {
	return availability.Process{ID: u.ID, StartedAtMillis: u.StartedAtMillis}
}

// recordAvailability records what the upstream says in a response about taking requests from this entry.
func (a *upstreamAttempt) recordAvailability(parsed request.Response) {
	if a.fromOther(parsed) {
		return
	}
	x := a.x
	for _, header := range parsed.Unreadable {
		x.relay.cfg.Log.Info("upstream header cannot be read", "upstream", a.upstream.ID, "started", a.upstream.StartedAtMillis,
			"header", header, "request", x.meta.ID)
	}
	if parsed.Leaving {
		x.relay.availability.RecordLeaving(processOf(a.upstream), x.meta.ID)
	}
}

// observeAvailability logs and counts a change of what an upstream takes.
func (r *Relay) observeAvailability(e availability.Event) {
	r.cfg.Log.Info("availability of upstream changed", "upstream", e.Process.ID, "started", e.Process.StartedAtMillis,
		"change", e.Change.String(), "request", e.Request)
	r.cfg.Metrics.RecordAvailabilityChange(e.Change.String())
}
