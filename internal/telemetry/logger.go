// Package telemetry provides structured logs and OpenTelemetry metrics.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// debugVerbosity is the logr verbosity that the slog bridge maps to slog.LevelDebug.
const debugVerbosity = 4

// NewLogger returns a logger that writes JSON lines to w. level is "debug", "info" or "error"; any other value means "info".
// Lines whose message repeats too often are suppressed and counted.
func NewLogger(w io.Writer, level string) logr.Logger {
	threshold := slog.LevelInfo
	switch level {
	case "debug":
		threshold = slog.LevelDebug
	case "error":
		threshold = slog.LevelError
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: threshold})
	return logr.FromSlogHandler(newRepeatLimiter(handler, repeatBurst, repeatWindow))
}

// Debug returns a logger whose Info method logs at debug level.
func Debug(log logr.Logger) logr.Logger { return log.V(debugVerbosity) }
