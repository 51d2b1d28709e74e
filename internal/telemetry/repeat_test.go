package telemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// Guards against a repeating fault that floods the log, and against suppressed lines that are not counted.
func TestRepeatedLinesAreLimited(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	limiter := newRepeatLimiter(slog.NewJSONHandler(&out, nil), 2, time.Second)
	handler := limiter.WithAttrs([]slog.Attr{slog.String("node", "a")}).WithGroup("g")
	log := func(atMillis int, message string) {
		record := slog.NewRecord(time.Unix(0, 0).Add(time.Duration(atMillis)*time.Millisecond), slog.LevelInfo, message, 0)
		g.Expect(handler.Handle(t.Context(), record)).To(Succeed())
	}
	for atMillis := range 5 {
		log(atMillis, "handshake with incoming peer failed")
	}
	log(6, "another")
	log(1000, "handshake with incoming peer failed")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[2]).To(ContainSubstring("another"))
	g.Expect(lines[3]).To(ContainSubstring(`"suppressed":3`))
}

// Guards against log lines that lack the fields operators filter by, and against errors logged with their stack trace.
func TestLoggerWritesOneJSONObjectPerLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := NewLogger(&out, "info").WithValues("node", "entry-1")
	Debug(log).Info("not logged")
	log.V(1).Info("not logged")
	log.Error(errors.Wrap(errors.New("cause"), "outer"), "failed", "agent", "a")
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line).To(And(HaveKeyWithValue("node", "entry-1"), HaveKeyWithValue("level", "ERROR"), HaveKeyWithValue("err", "outer: cause")))
}
