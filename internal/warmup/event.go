package warmup

import "time"

const (
	// maxEvents is the number of changes that are reported at once, eventInterval the time after which one more is. Upstreams that turn cold
	// and warm all the time would fill the log.
	maxEvents     = 200
	eventInterval = 500 * time.Millisecond
)

// Event describes an upstream that turned cold or warm, with what that was based on.
type Event struct {
	Upstream Upstream
	Cold     bool
	// Cause is why it is or was cold, Left the time for which it stays cold.
	Cause    Cause
	Left     time.Duration
	Settings Settings
	// Omitted is the number of changes that were not reported since the last event.
	Omitted int
}

// eventBudget bounds the events. The zero value has maxEvents left.
type eventBudget struct {
	spent   float64
	at      time.Time
	omitted int
}

// report calls the observer unless there were too many events. The caller holds mu.
func (l *Limiter) report(e Event, now time.Time) {
	b := &l.events
	b.spent = max(b.spent-float64(now.Sub(b.at))/float64(eventInterval), 0)
	b.at = now
	if b.spent > maxEvents-1 {
		b.omitted++
		return
	}
	b.spent++
	e.Omitted, b.omitted = b.omitted, 0
	l.cfg.Observe(e)
}
