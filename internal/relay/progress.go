package relay

import "github.com/cockroachdb/errors"

// errMissingEvent means that a stream does not continue with the event that the caller needs next.
var errMissingEvent = errors.New("relay: stream skips an event")

// streamProgress is the part of a stream that the caller has received. It changes only once events have been written to the caller: what it
// says is what the next upstream is asked to go on behind.
type streamProgress struct {
	// lastID is the ID of the last event that was forwarded completely.
	lastID int64
	// count is the number of forwarded events.
	count int
	// version is the newest version of the weights on which an upstream has run the stream, 0 if that is not known.
	version int64
}

// eventBatch is what data from an upstream holds for the caller.
type eventBatch struct {
	// text holds the events that the caller does not have yet.
	text []byte
	// after is the progress of the stream once text has been written.
	after streamProgress
	// newEvents is the number of events that continue the stream, see next.
	newEvents int
	// firstID is the ID of the first event in the data, 0 if none has an ID.
	firstID int64
	// size is the length of the data that was read.
	size int
	// missing is set when the data skips an event. The events before the gap are in text.
	missing error
}

// next returns the complete events at the start of data that follow the progress. Events that the caller already has are skipped. Where the
// events of a stream have IDs, one without an ID is forwarded but is no new event: it could be a comment or not belong to the answer. The
// events of a resumable stream are numbered from 1, so that the first one is known to be missing, too.
func (p streamProgress) next(data []byte, resumable bool) eventBatch {
	batch := eventBatch{after: p}
	for batch.missing == nil {
		size := eventSize(data[batch.size:])
		if size == 0 {
			break
		}
		event := data[batch.size : batch.size+size]
		batch.size += size
		batch.add(event, resumable)
	}
	return batch
}

// add adds one event.
func (b *eventBatch) add(event []byte, resumable bool) {
	id, ok := eventID(event)
	if ok && b.firstID == 0 {
		b.firstID = id
	}
	last := b.after.lastID
	switch {
	case ok && id <= last:
		return // The caller already has this event.
	case ok && (last > 0 || resumable) && id != last+1:
		b.missing = errors.Wrapf(errMissingEvent, "event %d after %d", id, last)
		return
	case ok:
		b.after.lastID = id
	}
	b.after.count++
	if ok || last == 0 && !resumable {
		b.newEvents++
	}
	b.text = append(b.text, event...)
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
