package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Metrics counts requests by outcome and records their latency. The zero value and nil record nothing.
type Metrics struct {
	outcomes metric.Int64Counter
	latency  metric.Float64Histogram
	// outdatedStarts counts the requests that began on a version of the weights whose time was over.
	outdatedStarts metric.Int64Counter
	// availabilityChanges counts what upstreams have said about taking requests.
	availabilityChanges metric.Int64Counter
	// unanswered counts the requests whose caller got no complete answer.
	unanswered metric.Int64Counter
	// irregularStreams counts the attempts at streams with an irregularity.
	irregularStreams metric.Int64Counter
	// regionExclusions counts the requests that were kept from upstreams because of their regions.
	regionExclusions metric.Int64Counter
	// unreadableLoads counts the responses whose load cannot be read.
	unreadableLoads metric.Int64Counter
	// coldAvoided counts the attempts that were placed while cold upstreams took no more requests.
	coldAvoided metric.Int64Counter
	// streams counts the complete streams of routes with a pause limit by prompt length and by whether they were on time.
	streams metric.Int64Counter
}

// NewMetrics registers the instruments of a relay.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	i := telemetry.NewInstruments(meter)
	m := &Metrics{
		outcomes:            i.Counter("pimentohead_relay_requests"),
		latency:             i.Latency("pimentohead_relay_latency"),
		outdatedStarts:      i.Counter("pimentohead_relay_outdated_starts"),
		availabilityChanges: i.Counter("pimentohead_relay_availability_changes"),
		unanswered:          i.Counter("pimentohead_relay_unanswered"),
		irregularStreams:    i.Counter("pimentohead_relay_irregular_streams"),
		regionExclusions:    i.Counter("pimentohead_relay_region_exclusions"),
		unreadableLoads:     i.Counter("pimentohead_relay_unreadable_loads"),
		coldAvoided:         i.Counter("pimentohead_relay_cold_avoided"),
		streams:             i.Counter("pimentohead_relay_streams"),
	}
	if err := i.Err(); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	return m, nil
}

// RecordOutcome records a finished request. kind is the kind of its route, rank its scheduling rank, outcome its result, status the
// HTTP status or 0 if no response was sent, and took the time since its receipt.
func (m *Metrics) RecordOutcome(kind string, rank int, outcome string, status int, took time.Duration) {
	if m == nil || m.outcomes == nil {
		return
	}
	set := metric.WithAttributes(attribute.String("kind", kind), attribute.String("rank", strconv.Itoa(rank)),
		attribute.String("outcome", outcome), attribute.Int("status", status))
	m.outcomes.Add(context.Background(), 1, set)
	m.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("kind", kind),
		attribute.String("rank", strconv.Itoa(rank))))
}

// RecordOutdatedStart counts a request that began on a version of the weights whose time was over.
func (m *Metrics) RecordOutdatedStart(service string) {
	if m == nil || m.outdatedStarts == nil {
		return
	}
	m.outdatedStarts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RecordAvailabilityChange counts a change of what an upstream takes from this entry.
func (m *Metrics) RecordAvailabilityChange(change string) {
	if m == nil || m.availabilityChanges == nil {
		return
	}
	m.availabilityChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// RecordUnanswered counts a request whose caller got no complete answer. reason is why, begun whether its answer had begun.
func (m *Metrics) RecordUnanswered(reason string, begun bool) {
	if m == nil || m.unanswered == nil {
		return
	}
	m.unanswered.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.Bool("begun", begun)))
}

// RecordIrregularStream counts an attempt at a stream with an irregularity: a gap in its events, events that were read and not forwarded, or
// an end that only the end of the connection marked.
func (m *Metrics) RecordIrregularStream(irregularity string) {
	if m == nil || m.irregularStreams == nil {
		return
	}
	m.irregularStreams.Add(context.Background(), 1, metric.WithAttributes(attribute.String("irregularity", irregularity)))
}

// RecordUnreadableLoad counts a response of a service whose load cannot be read.
func (m *Metrics) RecordUnreadableLoad(service string) {
	if m == nil || m.unreadableLoads == nil {
		return
	}
	m.unreadableLoads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RecordColdAvoided counts an attempt that was placed on another upstream while the given number of cold ones, if any, took no more requests.
func (m *Metrics) RecordColdAvoided(service string, cold int) {
	if m == nil || m.coldAvoided == nil || cold == 0 {
		return
	}
	m.coldAvoided.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RecordStream counts a complete stream of a route with a pause limit. prompt is the class of its prompt length, result whether its events
// were on time.
func (m *Metrics) RecordStream(prompt, result string) {
	if m == nil || m.streams == nil {
		return
	}
	m.streams.Add(context.Background(), 1, metric.WithAttributes(attribute.String("prompt", prompt), attribute.String("result", result)))
}
