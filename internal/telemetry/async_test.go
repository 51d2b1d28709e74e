package telemetry_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   []string
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(p))
	return len(p), nil
}

// Guards against a process that stops serving because its log output blocks, and against log lines that are dropped without
// being counted.
func TestAsyncWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewAsyncWriter(out)
	started := time.Now()
	const lines = 10000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	written, dropped := 0, 0
	for _, line := range out.lines {
		var report struct {
			Count int `json:"count"`
		}
		if json.Unmarshal([]byte(line), &report) == nil {
			dropped += report.Count
		} else {
			written++
		}
	}
	g.Expect(written+dropped+int(w.Dropped())).To(Equal(lines), "every line is written or counted")
	g.Expect(dropped + int(w.Dropped())).To(BeNumerically(">", lines/2))
}
