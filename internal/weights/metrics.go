package weights

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/pimentohead/pimentohead/internal/telemetry"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Sources of received bytes, used as values of the metric attribute "source" and as keys of Status.ReceivedBytes. The last three are
// peers: those of the agent's own data centre, of the other data centres of its region, and of other regions.
const (
	FromOrigin          = "origin"
	FromWeightStore     = "weight-store"
	FromDataCentre      = "data-centre"
	FromOtherDataCentre = "other-data-centre"
	FromOtherRegion     = "other-region"
)

// transferMetrics holds the counters of weight traffic.
type transferMetrics struct {
	receivedBytes metric.Int64Counter
	sentBytes     metric.Int64Counter
	corruptChunks metric.Int64Counter
}

// newTransferMetrics creates the counters. A nil meter discards the measurements.
func newTransferMetrics(meter metric.Meter) (*transferMetrics, error) {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("weights")
	}
	i := telemetry.NewInstruments(meter)
	m := &transferMetrics{
		receivedBytes: i.Counter("pimentohead_weights_received_bytes", metric.WithUnit("By")),
		sentBytes:     i.Counter("pimentohead_weights_sent_bytes", metric.WithUnit("By")),
		corruptChunks: i.Counter("pimentohead_weights_corrupt_chunks"),
	}
	return m, i.Err()
}

func (t *transferMetrics) received(ctx context.Context, source string, n int) {
	t.receivedBytes.Add(ctx, int64(n), metric.WithAttributes(attribute.String("source", source)))
}

func (t *transferMetrics) sent(ctx context.Context, n int) { t.sentBytes.Add(ctx, int64(n)) }

func (t *transferMetrics) corrupted(ctx context.Context, source string) {
	t.corruptChunks.Add(ctx, 1, metric.WithAttributes(attribute.String("source", source)))
}

// peerSource returns the From constant under which bytes from peer are counted.
func peerSource(self message.Hello, peer message.Peer) string {
	switch {
	case peer.Region != self.Region:
		return FromOtherRegion
	case peer.DataCentre != self.DataCentre:
		return FromOtherDataCentre
	default:
		return FromDataCentre
	}
}
