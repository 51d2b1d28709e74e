package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// asyncLines is the number of lines that may wait for a slow reader.
const asyncLines = 4096

// AsyncWriter passes lines to a writer that may block. Write never blocks: when asyncLines lines wait, further ones are dropped
// and counted, and the count is written when the reader goes on.
type AsyncWriter struct {
	next    io.Writer
	ring    chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter starts the goroutine that writes to next.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	w := &AsyncWriter{next: next, ring: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It always succeeds.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.ring <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not yet reported.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.ring {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w.next, `{"level":"INFO","msg":"log lines dropped","count":`+strconv.FormatUint(n, 10)+"}\n")
		}
		// A log that cannot be written has nowhere to be reported.
		_, _ = w.next.Write(line)
	}
}

// Close writes what waits, for at most patience.
func (w *AsyncWriter) Close(patience time.Duration) {
	w.once.Do(func() {
		select {
		case w.ring <- nil:
		case <-time.After(patience):
			return
		}
		select {
		case <-w.done:
		case <-time.After(patience):
		}
	})
}
