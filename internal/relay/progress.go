package relay

// streamProgress is the part of a stream that the caller has received.
type streamProgress struct {
	// lastID is the ID of the last event that was forwarded completely.
	lastID int64
	// count is the number of forwarded events.
	count int
}

// streamTrace tells which part of a stream an attempt was asked for, and which one it forwarded. IDs are 0 where there is no such event.
type streamTrace struct {
	// after is the ID of the event behind which the upstream was asked to go on.
	after int64
	// first is the ID of the first event that the upstream sent, last that of the last one that was forwarded.
	first, last int64
	// unsent is the number of events that were read and not forwarded because the attempt or its request had ended.
	unsent int
	// unframed is set when the stream ended with the connection, without a length or chunked encoding.
	unframed bool
}

// values returns the trace as log keys and values.
func (t streamTrace) values() []any {
	return []any{"after_event", t.after, "first_event", t.first, "last_event", t.last, "unsent_events", t.unsent, "unframed", t.unframed}
}

// Irregularities of streams, for metrics.
const (
	irregularGap      = "gap"
	irregularUnsent   = "unsent-events"
	irregularUnframed = "unframed"
)

// recordIrregularities counts what could make a stream that is resumed, or its end, wrong.
func (a *upstreamAttempt) recordIrregularities(gap bool) {
	m := a.x.relay.cfg.Metrics
	if gap {
		m.RecordIrregularStream(irregularGap)
	}
	if a.stream.unsent > 0 {
		m.RecordIrregularStream(irregularUnsent)
	}
	if a.stream.unframed {
		m.RecordIrregularStream(irregularUnframed)
	}
}
