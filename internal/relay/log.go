package relay

import (
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// logAttempt logs an attempt: the decision, the load it was based on, and the result.
func (x *exchange) logAttempt(d placement.Decision, res attemptResult) {
	log := x.relay.cfg.Log
	upstream := d.Upstream
	if res.upstream != nil {
		upstream = res.upstream // The connection to another one has opened first.
	}
	values := []any{"request", x.meta.ID, "upstream", upstream.ID, "placed_on", d.Upstream.ID, "route", x.route.Name, "rank", x.rank, "sends", x.sends,
		"prompt", x.meta.PromptTokens, "predicted_ms", d.PredictedWait.Milliseconds(), "first_ms", res.timeToFirstEvent.Milliseconds(),
		"took_ms", res.duration.Milliseconds(), "status", res.status, "config", x.snapshot.Index.Config.Version, "local", d.Local,
		"waited_before_ms", x.priorWait.Milliseconds()}
	values = append(values, workValues(d.Work)...)
	values = append(values, x.regionValues(upstream)...)
	values = append(values, latenessValues(d.Lateness)...)
	if res.rateLimit >= 0 {
		values = append(values, "rate_limit", res.rateLimit)
	}
	if x.readerWait > 0 {
		values = append(values, "reader_wait_ms", x.readerWait.Milliseconds())
	}
	if x.engine != nil {
		values = append(values, "prompt_parts", strings.Join(x.meta.PromptParts, ","), "upstream_started", upstream.StartedAtMillis,
			"answer_begun", res.answerBegun)
		values = append(values, res.weights.values()...)
	}
	if x.route.Kind == catalog.Stream {
		values = append(values, res.stream.values()...)
		values = append(values, "longest_pause_ms", x.pauses.longest.Milliseconds())
	}
	if res.final {
		log.Info("request answered", values...)
		return
	}
	cause := ""
	if res.cause != nil {
		cause = res.cause.Error()
	}
	log.Info("attempt failed", append(values, "how", x.lastFailure, "cause", cause, "begun", x.responseStarted.hasBegun(), "events", x.events.count,
		"silent_ms", res.silence.Milliseconds(), "left_ms", time.Until(x.deadline).Milliseconds())...)
}

// workValues returns the load of the selected upstream as log keys and values.
func workValues(w placement.Work) []any {
	return []any{"load_known", w.HasReport, "load_age_ms", w.ReportAge.Milliseconds(), "running", w.Running, "waiting", w.Waiting,
		"sent_since", w.SentSinceReport, "own_waiting", w.OwnWaiting, "own_tokens", int(w.OwnTokens),
		"others_running", w.OthersRunning, "others_waiting", w.OthersWaiting, "others_tokens", int(w.OthersTokens),
		"ahead", twoDecimals(w.AheadShare), "slowdown", twoDecimals(max(w.Slowdown, 1)), "slowdown_from", w.SlowdownSource,
		"slowdown_age_ms", w.SlowdownAge.Milliseconds()}
}
