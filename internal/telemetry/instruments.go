package telemetry

import (
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// Instruments creates metric instruments and keeps the first error, for packages that register several.
type Instruments struct {
	meter metric.Meter
	err   error
}

// NewInstruments returns a factory of instruments of meter.
func NewInstruments(meter metric.Meter) *Instruments { return &Instruments{meter: meter} }

// Counter creates a counter.
func (i *Instruments) Counter(name string, options ...metric.Int64CounterOption) metric.Int64Counter {
	counter, err := i.meter.Int64Counter(name, options...)
	i.keep(name, err)
	return counter
}

// Latency creates a histogram of durations in seconds.
func (i *Instruments) Latency(name string) metric.Float64Histogram {
	histogram, err := i.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(LatencyBucketsSeconds...))
	i.keep(name, err)
	return histogram
}

func (i *Instruments) keep(name string, err error) {
	if err != nil && i.err == nil {
		i.err = errors.Wrapf(err, "telemetry: create instrument %s", name)
	}
}

// Err returns the error of the first instrument that could not be created, nil if there is none.
func (i *Instruments) Err() error { return i.err }
