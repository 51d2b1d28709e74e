package directpath

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/membudget"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/refusal"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Guards against messages on links that no metric shows: nobody could tell which of them load a large fleet.
func TestMetricsShowFramesByType(t *testing.T) {
	g := NewWithT(t)
	metrics, err := telemetry.NewMetrics("test")
	g.Expect(err).NotTo(HaveOccurred())
	traffic := &link.Traffic{}
	g.Expect(observeTraffic(metrics.Meter, traffic)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entry := func(id string, traffic *link.Traffic, seeds ...string) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		m := mesh.New(mesh.Config{Self: message.Hello{NodeID: id, Role: message.RoleEntry, DataCentre: "z", Address: listener.Addr().String()},
			Secret: []byte("sixteen byte key"), Seeds: seeds, State: fleet.NewState(nil), Loads: loadview.NewTable(nil), Log: logr.Discard(),
			PeerWork: loadview.NewWorkTable(nil), OwnWork: func() []message.UpstreamWork { return nil }, Refusals: refusal.New(nil),
			Traffic: traffic})
		go m.Serve(ctx, listener)
		go m.Run(ctx)
		return listener.Addr().String()
	}
	entry("b", traffic, entry("a", nil))
	scrape := func() string {
		recorder := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		return recorder.Body.String()
	}
	for _, direction := range []string{"sent", "received"} {
		g.Eventually(scrape, 3*time.Second).Should(MatchRegexp(
			`pimentohead_link_frames_total\{[^}]*direction="`+direction+`"[^}]*type="Heartbeat"[^}]*\} [1-9]`), direction)
	}
}

// Guards against memory held for callers that no metric shows: nobody could tell why requests are refused.
func TestMetricsShowMemoryHeldForCallers(t *testing.T) {
	g := NewWithT(t)
	metrics, err := telemetry.NewMetrics("test")
	g.Expect(err).NotTo(HaveOccurred())
	budget := membudget.New(1000)
	budget.SetUnread(600)
	held := budget.Reserve()
	_, err = held.ReadAll(strings.NewReader("x"), 299, 299)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = budget.Reserve().ReadAll(strings.NewReader("x"), 299, 299)
	g.Expect(err).To(HaveOccurred())
	g.Expect(observeMemory(metrics.Meter, budget, func() (int64, int64) { return 2, 7 })).To(Succeed())
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{`pimentohead_memory_limit_bytes\S* 1000`, `pimentohead_memory_held_bytes\S*kind="buffers"\S* 300`,
		`pimentohead_memory_held_bytes\S*kind="unread"\S* 600`, `pimentohead_memory_refusals_total\S* 1`,
		`pimentohead_relay_full_streams\S* 2`, `pimentohead_relay_full_stream_waits_total\S* 7`} {
		g.Expect(recorder.Body.String()).To(MatchRegexp(line))
	}
}

// Guards against explanations of placements that no address serves, and against an agent that fails because it has none.
func TestExplanationsAreServedBesideTheMetrics(t *testing.T) {
	for role, explanations := range map[string]http.Handler{"entry": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.FormValue("host"))
	}), "agent": nil} {
		t.Run(role, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			address := l.Addr().String()
			_ = l.Close()
			metrics, err := telemetry.NewMetrics("test")
			g.Expect(err).NotTo(HaveOccurred())
			c := &components{Node: Node{MetricsAddress: address, Log: logr.Discard()}, metrics: metrics, explanations: explanations}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go c.serveMetrics(ctx)
			get := func(path string) string {
				resp, err := http.Get("http://" + address + path)
				if err != nil {
					return ""
				}
				defer func() { _ = resp.Body.Close() }()
				text, _ := io.ReadAll(resp.Body)
				return string(text)
			}
			g.Eventually(func() string { return get("/metrics") }, "3s").Should(ContainSubstring("# HELP"))
			if explanations != nil {
				g.Expect(get(placement.ExplanationPath + "?host=h")).To(Equal("h"))
			} else {
				g.Expect(get(placement.ExplanationPath)).To(ContainSubstring("not found"))
			}
		})
	}
}
