package directpath

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

// newWarmup returns the limiter of cold upstreams, which follows the list of upstreams.
func (e *Entry) newWarmup() *warmup.Limiter {
	limiter := warmup.New(warmup.Config{Settings: e.coldSettings, Entries: e.knownEntries, Overrun: e.cfg.ColdOverrun, Slack: e.cfg.ColdSlack,
		EvacuationEndedAt: func(dataCentre string) time.Time { return e.state.Snapshot().EvacuationEndedAt(dataCentre) },
		Observe:           e.observeColdness})
	e.state.Observe(func(c fleet.Change) {
		if c.Upstream != nil {
			limiter.Record(coldRecord(c.Upstream))
		}
	})
	return limiter
}

// coldSettings returns what the configuration in force says about cold upstreams of a service.
func (e *Entry) coldSettings(service string) warmup.Settings {
	index := e.state.Snapshot().Index
	if index == nil {
		return warmup.Settings{}
	}
	s := index.Service(service)
	if s == nil {
		return warmup.Settings{}
	}
	return warmup.Settings{ColdStart: s.ColdStart, PerSecond: s.ColdPerSecond}
}

// knownEntries returns the number of known entries. known is false until a link or the store has listed the others.
func (e *Entry) knownEntries() (count int, known bool) {
	count = e.mesh.EntryCount()
	return count, count > 1 || e.entriesListed.Load()
}

// observeColdness logs that an upstream has turned cold or warm.
func (e *Entry) observeColdness(event warmup.Event) {
	message := "upstream is warm"
	if event.Cold {
		message = "upstream is cold"
	}
	u := event.Upstream
	e.Log.Info(message, "upstream", u.ID, "started", u.StartedAtMillis, "service", u.Service, "data_centre", u.DataCentre,
		"cause", string(event.Cause), "left_ms", event.Left.Milliseconds(), "per_second", event.Settings.PerSecond,
		"cold_start_ms", event.Settings.ColdStart.Milliseconds(), "omitted", event.Omitted)
}

// coldRecord converts a record of an upstream for package warmup.
func coldRecord(u *fleet.UpstreamRecord) warmup.Record {
	if u.Announcement == nil {
		return warmup.Record{Upstream: warmup.Upstream{ID: u.ID}, Removed: true}
	}
	a := u.Announcement
	return warmup.Record{Upstream: warmup.Upstream{ID: a.ID, StartedAtMillis: a.StartedAtMillis, Service: a.Service, DataCentre: a.DataCentre},
		Era: u.Era, Revision: u.Revision, Sequence: a.Sequence, ColdLeft: a.ColdLeft}
}
