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

// Guards against a truncated event stream, an aborted body or a failed answer that is classified as ok.
func TestDoDerivesOutcomeFromResponse(t *testing.T) {
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

// Guards against a closed loop, in which a slow server reduces the rate, and against late answers that count as in time.
func TestRunIsOpenLoop(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("x"))
	}))
	defer server.Close()
	client := loadgen.NewClient(100, 5*time.Second)
	defer client.Close()
	s := loadgen.Stream{Targets: []string{server.URL}, Method: http.MethodGet, Path: "/", Key: "k", Rate: 400,
		FirstByteTarget: time.Nanosecond}
	summary := client.Run(context.Background(), s, 500*time.Millisecond, 1)
	// 400 requests per second are 200 in 500 ms; one request at a time would be at most 10.
	g.Expect(summary.Sent).To(BeNumerically(">", 120))
	g.Expect(summary.InTime).To(BeZero())
	g.Expect(summary.OK + summary.Broken + summary.Failed).To(Equal(summary.Sent))
}
