package relay

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
)

// Sources of the slowdown with which a request is placed, a value in logs.
const (
	slowdownFromReport   = "report"
	slowdownFromResponse = "response"
)

// recordLoad records the load that the upstream states in its response.
func (a *upstreamAttempt) recordLoad(parsed request.Response) {
	observed := a.x.relay.cfg.Observed
	switch {
	case a.fromOther(parsed):
	case parsed.UnreadableLoad != "":
		a.x.relay.cfg.Metrics.RecordUnreadableLoad(a.x.service)
		if observed.RecordUnreadable(a.upstream.ID) {
			a.x.relay.cfg.Log.Info("load of upstream cannot be read", "upstream", a.upstream.ID, "started", a.upstream.StartedAtMillis,
				"header", parsed.UnreadableLoad, "request", a.x.meta.ID)
		}
	case parsed.HasLoad:
		observed.Record(a.upstream.ID, a.upstream.StartedAtMillis, loadview.Observation{Running: parsed.Running, Waiting: parsed.Waiting,
			Slots: parsed.Slots, Slowdown: parsed.Slowdown})
	}
}

// addObservation adds what the upstream said in its newest response to w. reported is the time of the report in w, zero if there is none. It
// returns the time from which requests of this entry count in addition to what the upstream stated.
//
// At an engine, the newer of the report and the response determines the slowdown.
func (x *exchange) addObservation(w *placement.Work, u *catalog.Upstream, now, reported time.Time) time.Time {
	if w.HasReport {
		w.SlowdownAge, w.SlowdownSource = now.Sub(reported), slowdownFromReport
	}
	o, age, known := x.relay.cfg.Observed.Get(u.ID, u.StartedAtMillis)
	if !known {
		return reported
	}
	if x.engine != nil {
		if o.Slowdown > 0 && age < maxLoadAge && o.ArrivedAt.After(reported) {
			w.Slowdown, w.SlowdownAge, w.SlowdownSource = o.Slowdown, age, slowdownFromResponse
		}
		return reported
	}
	w.Observed = placement.Observation{Known: true, Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Slowdown: o.Slowdown, Age: age}
	w.Slowdown, w.SlowdownAge, w.SlowdownSource = w.Observed.ExpectedSlowdown(), age, slowdownFromResponse
	if w.HasReport {
		return reported
	}
	return o.ArrivedAt
}
