package directpath

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membudget"
)

// observeTraffic registers counters of the frames and the bytes on all links, by direction and type of message.
func observeTraffic(meter metric.Meter, traffic *link.Traffic) error {
	frames, err := meter.Int64ObservableCounter("pimentohead_link_frames")
	if err != nil {
		return errors.Wrap(err, "directpath: create the counter of frames")
	}
	sizes, err := meter.Int64ObservableCounter("pimentohead_link_size", metric.WithUnit("By"))
	if err != nil {
		return errors.Wrap(err, "directpath: create the counter of bytes")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for direction, counts := range map[string][]link.FrameCount{"sent": traffic.Sent(), "received": traffic.Received()} {
			for _, c := range counts {
				set := metric.WithAttributes(attribute.String("direction", direction), attribute.String("type", c.Type.String()))
				o.ObserveInt64(frames, int64(c.Frames), set)
				o.ObserveInt64(sizes, int64(c.Bytes), set)
			}
		}
		return nil
	}, frames, sizes)
	return errors.Wrap(err, "directpath: register the counters of links")
}

// observeCold registers a gauge of the cold upstreams of each service that limits their rate.
func observeCold(meter metric.Meter, cold func() map[string]int) error {
	_, err := meter.Int64ObservableGauge("pimentohead_cold_upstreams", metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			for service, n := range cold() {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("service", service)))
			}
			return nil
		}))
	return errors.Wrap(err, "directpath: create the gauge of cold upstreams")
}

// observeEvacuations registers a gauge of the evacuations that a node knows: 1 for a data centre that is evacuated, 0 for one that was.
func observeEvacuations(meter metric.Meter, state *fleet.State) error {
	gauge, err := meter.Int64ObservableGauge("pimentohead_evacuated")
	if err != nil {
		return errors.Wrap(err, "directpath: create the gauge of evacuations")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, r := range state.Snapshot().Evacuations() {
			active := int64(0)
			if r.Active {
				active = 1
			}
			o.ObserveInt64(gauge, active, metric.WithAttributes(attribute.String("data_centre", r.DataCentre)))
		}
		return nil
	}, gauge)
	return errors.Wrap(err, "directpath: register the gauge of evacuations")
}

// observeMemory registers the metrics of a memory budget. fullStreams returns the number of streams that wait for their callers to read, and
// how often streams have begun to wait.
func observeMemory(meter metric.Meter, budget *membudget.Budget, fullStreams func() (now, total int64)) error {
	limit, err := meter.Int64ObservableGauge("pimentohead_memory_limit", metric.WithUnit("By"))
	if err != nil {
		return errors.Wrap(err, "directpath: create the gauge of the memory limit")
	}
	held, err := meter.Int64ObservableGauge("pimentohead_memory_held", metric.WithUnit("By"))
	if err != nil {
		return errors.Wrap(err, "directpath: create the gauge of held memory")
	}
	refusals, err := meter.Int64ObservableCounter("pimentohead_memory_refusals")
	if err != nil {
		return errors.Wrap(err, "directpath: create the counter of refused memory")
	}
	full, err := meter.Int64ObservableGauge("pimentohead_relay_full_streams")
	if err != nil {
		return errors.Wrap(err, "directpath: create the gauge of full streams")
	}
	waits, err := meter.Int64ObservableCounter("pimentohead_relay_full_stream_waits")
	if err != nil {
		return errors.Wrap(err, "directpath: create the counter of full streams")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		usage := budget.Usage()
		o.ObserveInt64(limit, usage.Limit)
		o.ObserveInt64(held, usage.Reserved, metric.WithAttributes(attribute.String("kind", "buffers")))
		o.ObserveInt64(held, usage.Unread, metric.WithAttributes(attribute.String("kind", "unread")))
		o.ObserveInt64(refusals, usage.Refusals)
		now, total := fullStreams()
		o.ObserveInt64(full, now)
		o.ObserveInt64(waits, total)
		return nil
	}, limit, held, refusals, full, waits)
	return errors.Wrap(err, "directpath: register the metrics of memory")
}
