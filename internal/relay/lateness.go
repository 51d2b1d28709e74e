package relay

import (
	"math"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// weighLateness adds to a query what decides whether and how the request is placed by the expected number of late streams.
func (x *exchange) weighLateness(q *placement.Query, candidates []placement.Candidate) {
	if x.engine == nil || x.route.MaxPause <= 0 {
		return
	}
	q.MaxPause = x.route.MaxPause
	q.Slow = x.relay.slowness.Observe(x.service, candidates)
}

// logSlowness logs that requests of a service are from now on placed by expected lateness, or not any more.
func (r *Relay) logSlowness(service string, s placement.Slowness) {
	message := "upstreams of service are slow in turns"
	if !s.Uneven {
		message = "streams of service are placed by predicted wait again"
	}
	r.cfg.Log.Info(message, "service", service, "slow_share", twoDecimals(s.Share), "slow_factor", twoDecimals(s.Factor))
}

// latenessValues returns the expected lateness of a placement as log keys and values, none if it was not placed by it.
func latenessValues(l placement.Lateness) []any {
	if !l.Known {
		return nil
	}
	return []any{"late_risk", twoDecimals(l.Risk), "late_others", twoDecimals(l.Others), "unfinished_risk", twoDecimals(l.Unfinished),
		"unread_tokens", int(l.UnreadTokens),
		"slow_share", twoDecimals(l.SlowShare), "slow_factor", twoDecimals(l.SlowFactor)}
}

// twoDecimals rounds a figure for the log.
func twoDecimals(v float64) float64 { return math.Round(v*100) / 100 }

// streamPauses holds the longest pause between new events of a stream that the caller has seen, over all attempts.
type streamPauses struct {
	last    time.Time
	longest time.Duration
}

// record records that new events have been forwarded.
func (p *streamPauses) record(now time.Time) {
	if !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// Results of served streams, for metrics.
const (
	streamOnTime    = "on-time"
	streamLateFirst = "late-first"
	streamLatePause = "late-pause"
)

// streamResult returns whether the stream was on time for its caller or, if not, what was late first.
func (x *exchange) streamResult() string {
	switch {
	case x.timeToFirstEvent+x.priorWait > x.route.LatencyTarget:
		return streamLateFirst
	case x.pauses.longest > x.route.MaxPause:
		return streamLatePause
	default:
		return streamOnTime
	}
}

// promptClasses are the classes of prompt length of metrics. The last one has no bound.
var promptClasses = []struct {
	below int
	label string
}{{300, "under-300"}, {700, "to-700"}, {1300, "to-1300"}, {2200, "to-2200"}, {math.MaxInt, "above"}}

// promptClass returns the class of a prompt length.
func promptClass(tokens int) string {
	for _, c := range promptClasses {
		if tokens < c.below {
			return c.label
		}
	}
	return promptClasses[len(promptClasses)-1].label
}

// recordLateness counts a stream that has been served completely by its prompt length and by whether it was on time.
func (x *exchange) recordLateness() {
	if x.route.Kind == catalog.Stream && x.route.MaxPause > 0 && x.engine != nil {
		x.relay.cfg.Metrics.RecordStream(promptClass(x.meta.PromptTokens), x.streamResult())
	}
}
