package agent

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// metrics holds the metric instruments of the request path.
type metrics struct {
	agent         *Agent
	wait, service metric.Float64Histogram
	requestsEnded metric.Int64Counter

	// mu guards options, which caches the label sets.
	mu      sync.Mutex
	options map[labelKey]metric.MeasurementOption
}

// maxLabels is the number of cached label sets at which the cache is cleared.
const maxLabels = 4096

func newMetrics(meter metric.Meter, a *Agent) (*metrics, error) {
	m := &metrics{agent: a, options: make(map[labelKey]metric.MeasurementOption)}
	var errs [4]error
	bounds := metric.WithExplicitBucketBoundaries(telemetry.LatencyBucketsSeconds...)
	m.wait, errs[0] = meter.Float64Histogram("pimentohead_agent_wait_seconds", bounds,
		metric.WithDescription("Time from receipt to the start on the upstream."))
	m.service, errs[1] = meter.Float64Histogram("pimentohead_agent_service_seconds", bounds,
		metric.WithDescription("Time from the start on the upstream to the end of the answer."))
	m.requestsEnded, errs[2] = meter.Int64Counter("pimentohead_agent_requests",
		metric.WithDescription("Requests that ended, by outcome and reason."))
	_, errs[3] = meter.Float64ObservableGauge("pimentohead_agent_first_byte_bound_seconds", metric.WithFloat64Callback(m.observeBounds),
		metric.WithDescription("Time to the first byte that is assumed when a request is refused for its deadline."))
	return m, errors.Join(errs[:]...)
}

// observeBounds reports the bounds with which the queue decides whether a request can meet its deadline and its first-byte target.
func (m *metrics) observeBounds(_ context.Context, o metric.Float64Observer) error {
	stats := m.agent.queue.Stats()
	for stream, bounds := range map[bool][]time.Duration{false: stats.FirstByteBounds, true: stats.StreamFirstByteBounds} {
		for priority, bound := range bounds {
			o.Observe(bound.Seconds(), metric.WithAttributes(
				attribute.String("priority", m.priorityName(priority)), attribute.Bool("stream", stream)))
		}
	}
	return nil
}

// labelKey holds the label values of a measurement.
type labelKey struct{ caller, priority, outcome, reason string }

// labels returns the label set of a measurement from the cache, or builds it. Callers and priorities come from the configuration,
// whose changes add label sets until the cache reaches maxLabels. Package telemetry limits the exported label sets.
func (m *metrics) labels(att *attempt, outcome message.Outcome, reason message.Reason) metric.MeasurementOption {
	key := labelKey{att.submit.Caller, m.priorityName(att.submit.Priority), string(outcome), string(reason)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if option, ok := m.options[key]; ok {
		return option
	}
	if len(m.options) >= maxLabels {
		clear(m.options)
	}
	attributes := []attribute.KeyValue{attribute.String("caller", key.caller), attribute.String("priority", key.priority)}
	if outcome != "" {
		attributes = append(attributes, attribute.String("outcome", key.outcome), attribute.String("reason", key.reason))
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes...))
	m.options[key] = option
	return option
}

// priorityName returns the name of a priority, or its index when the configuration does not have it.
func (m *metrics) priorityName(index int) string {
	if active := m.agent.holder.Current(); active != nil && index >= 0 && index < len(active.Config.Priorities) {
		return active.Config.Priorities[index].Name
	}
	return strconv.Itoa(index)
}

// recordWait records the time that a started attempt has waited.
func (m *metrics) recordWait(att *attempt) {
	m.wait.Record(context.Background(), att.started.Sub(att.received).Seconds(), m.labels(att, "", ""))
}

// recordService records the service time and the end of an attempt that ran.
func (m *metrics) recordService(att *attempt, end message.ResponseEnd) {
	m.service.Record(context.Background(), time.Since(att.started).Seconds(), m.labels(att, "", ""))
	m.count(att, end.Outcome, end.Reason)
}

// recordRejection counts an attempt that was rejected and did not run.
func (m *metrics) recordRejection(att *attempt, reason message.Reason) {
	m.count(att, message.OutcomeNotRun, reason)
}

func (m *metrics) count(att *attempt, outcome message.Outcome, reason message.Reason) {
	m.requestsEnded.Add(context.Background(), 1, m.labels(att, outcome, reason))
}

// nodeMetricSources returns the functions from which the metrics that every node exports are read.
func (a *Agent) nodeMetricSources(o Options) telemetry.NodeMetricSources {
	sources := telemetry.NodeMetricSources{
		Revision: a.holder.Revision, ControlSent: a.traffic.ControlSent.Load, ControlReceived: a.traffic.ControlReceived.Load,
	}
	if counter, ok := o.Store.(interface{ Calls() uint64 }); ok {
		sources.StoreCalls = counter.Calls
	}
	return sources
}

// serveAdmin serves the health, readiness and metrics endpoints until ctx ends.
func (a *Agent) serveAdmin(ctx context.Context) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if state := a.state(); state != message.StateServing {
			http.Error(w, "upstream is "+string(state), http.StatusServiceUnavailable)
			return
		}
		if a.holder.Current() == nil {
			http.Error(w, "no configuration", http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", a.telemetry.Handler())
	serveHTTP(ctx, a.adminListener, &http.Server{Handler: mux, ReadHeaderTimeout: time.Second})
}

// serveHTTP serves a listener until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, server *http.Server) {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// AdminAddress returns the address of the admin listener.
func (a *Agent) AdminAddress() string { return a.adminListener.Addr().String() }
