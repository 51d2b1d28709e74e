package telemetry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Guards against memory use and scrape size that grow with the number of callers, and against losing the observations of
// callers beyond the cardinality limit.
func TestAttributeSetsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m, err := NewMetrics("test")
	g.Expect(err).NotTo(HaveOccurred())
	histogram, err := m.Meter.Float64Histogram("pimentohead_test_seconds", metric.WithExplicitBucketBoundaries(LatencyBucketsSeconds...))
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 3 * cardinalityLimit {
		histogram.Record(t.Context(), 1, metric.WithAttributes(attribute.String("caller", fmt.Sprint(i))))
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	sets, overflow := 0, ""
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, "pimentohead_test_seconds_count") {
			sets++
			if strings.Contains(line, `otel_metric_overflow="true"`) {
				overflow = line
			}
		}
	}
	g.Expect(sets).To(Equal(cardinalityLimit))
	g.Expect(overflow).To(HaveSuffix(fmt.Sprintf(" %d\n", 2*cardinalityLimit+1)))
}
