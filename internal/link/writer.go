package link

import (
	"bufio"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// frameWriter encodes messages into a buffered connection. It is used by the write goroutine only.
type frameWriter struct {
	c       *Conn
	w       *bufio.Writer
	scratch []byte
}

func (c *Conn) writeLoop() {
	w := &frameWriter{c: c, w: bufio.NewWriterSize(c.nc, writeBufferBytes)}
	ticker := time.NewTicker(c.cfg.HeartbeatInterval)
	defer ticker.Stop()
	if !w.heartbeat(false) {
		return
	}
	for {
		if !w.drain() {
			return
		}
		select {
		case <-c.closed:
			return
		case <-ticker.C:
			if !w.heartbeat(false) {
				return
			}
		case probe := <-c.probes:
			if !w.heartbeat(probe) {
				return
			}
		case m := <-c.control:
			if !w.write(m) {
				return
			}
		case m := <-c.data:
			if !w.write(m) {
				return
			}
		}
	}
}

// drain writes what is queued, control messages first, and flushes when the rings are empty.
func (w *frameWriter) drain() bool {
	for {
		select {
		case m := <-w.c.control:
			if !w.write(m) {
				return false
			}
			continue
		default:
		}
		select {
		case m := <-w.c.data:
			if !w.write(m) {
				return false
			}
		default:
			return w.flush()
		}
	}
}

func (w *frameWriter) heartbeat(probe bool) bool {
	status := w.c.status()
	status.Probe = probe
	return w.write(&status)
}

func (w *frameWriter) write(m message.Message) bool {
	frame, err := AppendFrame(w.scratch[:0], m, w.c.cfg.MaxFrameBytes)
	if err != nil {
		w.c.fail(errors.Mark(err, ErrProtocol))
		return false
	}
	w.scratch = frame
	w.c.sent.Add(uint64(len(frame)))
	w.c.cfg.Traffic.sent(m, len(frame))
	if _, err := w.w.Write(frame); err != nil {
		w.c.fail(err)
		return false
	}
	return true
}

func (w *frameWriter) flush() bool {
	if w.w.Buffered() == 0 {
		return true
	}
	if err := w.w.Flush(); err != nil {
		w.c.fail(err)
		return false
	}
	return true
}
