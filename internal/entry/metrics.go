package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Values of the outcome label besides those of message.Outcome.
const (
	outcomeCallerGone = "caller-gone"
	outcomeAborted    = "aborted"
)

// metrics holds the instruments of the entry. Label values are constants, names from the configuration, IDs of upstreams, and the
// reasons that peers report. Package telemetry bounds the number of time series.
type metrics struct {
	latencyByCaller   metric.Float64Histogram
	latencyByPriority metric.Float64Histogram
	outcomes          metric.Int64Counter
	retries           metric.Int64Counter
	ejections         metric.Int64Counter
	lateMessages      metric.Int64Counter
	unanswered        metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	i := telemetry.NewInstruments(meter)
	m := &metrics{
		latencyByCaller:   i.Latency("pimentohead_request_seconds_by_caller"),
		latencyByPriority: i.Latency("pimentohead_request_seconds_by_priority"),
		outcomes:          i.Counter("pimentohead_requests"),
		retries:           i.Counter("pimentohead_retries"),
		ejections:         i.Counter("pimentohead_ejections"),
		lateMessages:      i.Counter("pimentohead_late_messages"),
		unanswered:        i.Counter("pimentohead_unanswered"),
	}
	if err := i.Err(); err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	return m, nil
}

// recordRequest records the outcome of a request, err being the error of the filter chain, and its latency if the caller and the
// priority are known.
func (m *metrics) recordRequest(x *filter.Exchange, err error) {
	ctx := context.Background()
	m.outcomes.Add(ctx, 1, metric.WithAttributes(
		attribute.String("outcome", outcomeLabel(err)), attribute.String("priority", x.PriorityName)))
	if x.Caller.Name == "" || x.PriorityName == "" {
		return
	}
	seconds := time.Since(x.Start).Seconds()
	m.latencyByCaller.Record(ctx, seconds, metric.WithAttributes(attribute.String("caller", x.Caller.Name)))
	m.latencyByPriority.Record(ctx, seconds, metric.WithAttributes(attribute.String("priority", x.PriorityName)))
}

// outcomeLabel returns the value of the outcome label for the error of the filter chain.
func outcomeLabel(err error) string {
	var failure *filter.Failure
	switch {
	case err == nil:
		return string(message.OutcomeOK)
	case errors.As(err, &failure):
		return string(failure.Outcome)
	case errors.Is(err, filter.ErrAborted):
		return outcomeAborted
	default:
		return outcomeCallerGone
	}
}

// recordRetry counts a retry and its reason.
func (m *metrics) recordRetry(reason message.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

// recordEjection counts the ejection of an upstream by outlier detection.
func (m *metrics) recordEjection(upstream string) {
	m.ejections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("upstream", upstream)))
}

// recordLateMessage counts a response message that no pending attempt accepted.
func (m *metrics) recordLateMessage() { m.lateMessages.Add(context.Background(), 1) }

// recordUnanswered counts a request whose caller got no complete answer. begun reports whether its response had begun.
func (m *metrics) recordUnanswered(reason string, begun bool) {
	m.unanswered.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.Bool("begun", begun)))
}

// nodeMetricSources returns the functions from which the metrics that every node exports are read.
func (e *Entry) nodeMetricSources(options Options) telemetry.NodeMetricSources {
	sources := telemetry.NodeMetricSources{
		Revision: e.holder.Revision, ControlSent: e.traffic.ControlSent.Load, ControlReceived: e.traffic.ControlReceived.Load,
	}
	if counter, ok := options.Store.(interface{ Calls() uint64 }); ok {
		sources.StoreCalls = counter.Calls
	}
	return sources
}
