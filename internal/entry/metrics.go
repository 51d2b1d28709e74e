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

// Outcomes in metrics besides those of package message.
const (
	outcomeGone    = "caller-gone"
	outcomeAborted = "aborted"
)

// metrics holds the instruments. Label values are names of the configuration or constants, so their sets are bounded.
type metrics struct {
	byCaller   metric.Float64Histogram
	byPriority metric.Float64Histogram
	outcomes   metric.Int64Counter
	retries    metric.Int64Counter
	ejections  metric.Int64Counter
	late       metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{}
	bounds := metric.WithExplicitBucketBoundaries(telemetry.LatencyBucketsSeconds...)
	var errs [6]error
	m.byCaller, errs[0] = meter.Float64Histogram("pimentohead_request_seconds_by_caller", metric.WithUnit("s"), bounds)
	m.byPriority, errs[1] = meter.Float64Histogram("pimentohead_request_seconds_by_priority", metric.WithUnit("s"), bounds)
	m.outcomes, errs[2] = meter.Int64Counter("pimentohead_requests")
	m.retries, errs[3] = meter.Int64Counter("pimentohead_retries")
	m.ejections, errs[4] = meter.Int64Counter("pimentohead_ejections")
	m.late, errs[5] = meter.Int64Counter("pimentohead_late_messages")
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "entry: metrics")
		}
	}
	return m, nil
}

// done records the end of a request.
func (m *metrics) done(x *filter.Exchange, err error) {
	ctx := context.Background()
	m.outcomes.Add(ctx, 1, metric.WithAttributes(
		attribute.String("outcome", outcomeOf(err)), attribute.String("priority", x.PriorityName)))
	if x.Caller.Name == "" || x.PriorityName == "" {
		return
	}
	seconds := time.Since(x.Start).Seconds()
	m.byCaller.Record(ctx, seconds, metric.WithAttributes(attribute.String("caller", x.Caller.Name)))
	m.byPriority.Record(ctx, seconds, metric.WithAttributes(attribute.String("priority", x.PriorityName)))
}

func outcomeOf(err error) string {
	var failure *filter.Failure
	switch {
	case err == nil:
		return string(message.OutcomeOK)
	case errors.As(err, &failure):
		return string(failure.Outcome)
	case errors.Is(err, filter.ErrAborted):
		return outcomeAborted
	default:
		return outcomeGone
	}
}

func (m *metrics) retried(reason message.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

func (m *metrics) ejected(upstream string) {
	m.ejections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("upstream", upstream)))
}

func (m *metrics) lateMessage() { m.late.Add(context.Background(), 1) }

// nodeSources returns what the metrics of the node itself are read from.
func (e *Entry) nodeSources(o Options) telemetry.NodeMetricSources {
	sources := telemetry.NodeMetricSources{
		Revision: e.holder.Revision, ControlSent: e.traffic.ControlSent.Load, ControlReceived: e.traffic.ControlReceived.Load,
	}
	if counter, ok := o.Store.(interface{ Calls() uint64 }); ok {
		sources.StoreCalls = counter.Calls
	}
	return sources
}
