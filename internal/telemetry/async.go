package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// asyncQueueLines is the number of log lines that are queued while the underlying writer blocks.
const asyncQueueLines = 4096

// AsyncWriter passes log lines to a writer that may block. Write itself never blocks: when asyncQueueLines lines are queued,
// further ones are dropped and counted, and the count is logged once the writer accepts lines again. It is safe for concurrent
// use.
type AsyncWriter struct {
	next      io.Writer
	queue     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter and starts the goroutine that writes its lines to next.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	w := &AsyncWriter{next: next, queue: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops the line if the queue is full. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// run writes queued lines to next. It ends at the nil line that Close queues.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.queue {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w.next, `{"level":"INFO","msg":"log lines dropped","count":`+strconv.FormatUint(n, 10)+"}\n")
		}
		// There is nowhere to report an error of the log itself.
		_, _ = w.next.Write(line)
	}
}

// Close waits until the queued lines are written. timeout bounds each of its two steps: queueing the end marker, and writing
// the lines.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.closeOnce.Do(func() {
		select {
		case w.queue <- nil:
		case <-time.After(timeout):
			return
		}
		select {
		case <-w.done:
		case <-time.After(timeout):
		}
	})
}
