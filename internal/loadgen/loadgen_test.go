package loadgen_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/loadgen"
)

// Guards against counting a truncated stream, a failed answer or a late answer as a success in time.
func TestOutcomesAreCountedAsTheCallerSeesThem(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/ok":
			_, _ = w.Write([]byte("hello"))
		case "/not-run":
			w.Header().Set("Pimentohead-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/truncated":
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: x\n\n"))
		case "/aborted":
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
		}
	}))
	defer server.Close()
	client := loadgen.NewClient(4, time.Second)
	defer client.Close()
	for path, want := range map[string]string{"/ok": "ok", "/not-run": "not-run", "/truncated": "broken", "/aborted": "broken"} {
		s := loadgen.Stream{Targets: []string{server.URL}, Method: http.MethodGet, Path: path, Key: "k"}
		g.Expect(client.Do(context.Background(), &s, 0, time.Now()).Outcome).To(Equal(want), path)
	}
}

// Guards against a load that follows the speed of the system under test.
func TestRunKeepsTheRate(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("x"))
	}))
	defer server.Close()
	client := loadgen.NewClient(100, 5*time.Second)
	defer client.Close()
	s := loadgen.Stream{Targets: []string{server.URL}, Method: http.MethodGet, Path: "/", Key: "k", Rate: 400, FirstByteTarget: time.Nanosecond}
	sum := client.Run(context.Background(), s, 500*time.Millisecond, 1)
	g.Expect(sum.Sent).To(BeNumerically(">", 120))
	g.Expect(sum.InTime).To(BeZero())
	g.Expect(sum.OK + sum.Broken + sum.Failed).To(Equal(sum.Sent))
}
