package telemetry

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// LatencyBucketsSeconds are the histogram bucket bounds for request latency, in seconds.
var LatencyBucketsSeconds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// cardinalityLimit bounds the number of attribute sets of one instrument. Observations of further sets are counted in one
// overflow set, which the limit includes.
const cardinalityLimit = 500

// Metrics holds the meter and the Prometheus exporter of a process.
type Metrics struct {
	Meter   metric.Meter
	handler http.Handler
}

// NewMetrics returns Metrics whose meter has the given instrumentation scope. Handler exports the meter's instruments.
func NewMetrics(scope string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: create Prometheus exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithCardinalityLimit(cardinalityLimit))
	return &Metrics{
		Meter:   provider.Meter(scope),
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }
