package relay

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// logAttempt writes what was decided, on which grounds, and how it ended.
func (x *exchange) logAttempt(d placement.Decision, res result) {
	log := x.r.cfg.Log
	_, age, known := x.r.cfg.Loads.Get(d.Upstream.Address)
	values := []any{"request", x.meta.ID, "upstream", d.Upstream.ID, "route", x.route.Name, "rank", x.rank, "sends", x.sends,
		"predicted_ms", d.Predicted.Milliseconds(), "first_ms", res.first.Milliseconds(), "took_ms", res.took.Milliseconds(),
		"status", res.status, "config", x.snap.Index.Config.Version, "load_known", known, "load_age_ms", age.Milliseconds()}
	if res.final {
		log.Info("request answered", values...)
		return
	}
	cause := ""
	if res.cause != nil {
		cause = res.cause.Error()
	}
	log.Info("attempt failed", append(values, "how", x.last, "cause", cause, "begun", x.begun, "events", x.events.count,
		"left_ms", time.Until(x.until).Milliseconds())...)
}
