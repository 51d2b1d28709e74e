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

// stuck is a reader that stops reading until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	lines   []string
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(p))
	return len(p), nil
}

// Guards against a process that stops serving because nobody reads its log, and against lines that vanish without a count.
func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	g := NewWithT(t)
	out := &stuck{release: make(chan struct{})}
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
	passed, dropped := 0, 0
	for _, line := range out.lines {
		var count struct {
			Count int `json:"count"`
		}
		if json.Unmarshal([]byte(line), &count) == nil {
			dropped += count.Count
		} else {
			passed++
		}
	}
	g.Expect(passed+dropped+int(w.Dropped())).To(Equal(lines), "every line is written or counted")
	g.Expect(dropped + int(w.Dropped())).To(BeNumerically(">", lines/2))
}
