package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// Names of the metrics of a node as they appear in the Prometheus text format.
const (
	MetricRevision        = "pimentohead_config_revision"
	MetricControlSent     = "pimentohead_control_sent_bytes_total"
	MetricControlReceived = "pimentohead_control_received_bytes_total"
	MetricStoreCalls      = "pimentohead_store_calls_total"
)

// NodeMetricSources holds the functions that return the values of the node metrics. They are called on each collection.
type NodeMetricSources struct {
	// Revision returns the configuration revision in force, 0 for none.
	Revision func() uint64
	// ControlSent and ControlReceived return the bytes of control messages sent and received on all links.
	ControlSent, ControlReceived func() uint64
	// StoreCalls returns the number of calls to the key-value service. It is optional.
	StoreCalls func() uint64
}

// RegisterNodeMetrics registers the metrics that every node exports.
func (m *Metrics) RegisterNodeMetrics(s NodeMetricSources) error {
	observe := func(read func() uint64) metric.Int64Callback {
		return func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(read()))
			return nil
		}
	}
	_, err := m.Meter.Int64ObservableGauge("pimentohead_config_revision", metric.WithInt64Callback(observe(s.Revision)))
	if err != nil {
		return errors.Wrap(err, "telemetry: register node metrics")
	}
	counters := map[string]func() uint64{
		"pimentohead_control_sent": s.ControlSent, "pimentohead_control_received": s.ControlReceived,
	}
	for name, read := range counters {
		_, err := m.Meter.Int64ObservableCounter(name, metric.WithUnit("By"), metric.WithInt64Callback(observe(read)))
		if err != nil {
			return errors.Wrap(err, "telemetry: register node metrics")
		}
	}
	if s.StoreCalls != nil {
		_, err = m.Meter.Int64ObservableCounter("pimentohead_store_calls", metric.WithInt64Callback(observe(s.StoreCalls)))
	}
	return errors.Wrap(err, "telemetry: register node metrics")
}
