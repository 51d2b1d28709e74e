package link

import (
	"bufio"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// frameWriter writes messages as frames to a connection, through a buffer. Only the write goroutine uses it. Its methods report
// whether they succeeded; on failure they close the connection.
type frameWriter struct {
	conn     *Conn
	buffered *bufio.Writer
	// frame is reused for the encoding of each message.
	frame []byte
	// written is set when a message was written since the last tick of the heartbeat interval, lastStatus is the content of the last
	// heartbeat.
	written bool
	// unflushed is the number of queued messages in the buffer.
	unflushed  int64
	lastStatus message.Heartbeat
}

// writeLoop writes heartbeats and queued messages until the connection fails or is closed.
func (c *Conn) writeLoop() {
	w := &frameWriter{conn: c, buffered: bufio.NewWriterSize(c.nc, bufferBytes)}
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
			if !w.tick() {
				return
			}
		case probe := <-c.heartbeatRequests:
			if !w.heartbeat(probe) {
				return
			}
		case m := <-c.control:
			if !w.writeQueued(m) {
				return
			}
		case m := <-c.data:
			if !w.writeQueued(m) {
				return
			}
		}
	}
}

// drain writes all queued messages, control messages first, and flushes the buffer when both queues are empty.
func (w *frameWriter) drain() bool {
	for {
		select {
		case m := <-w.conn.control:
			if !w.writeQueued(m) {
				return false
			}
			continue
		default:
		}
		select {
		case m := <-w.conn.data:
			if !w.writeQueued(m) {
				return false
			}
		default:
			return w.flush()
		}
	}
}

// tick writes a heartbeat unless the status is the same as in the last one and another message was written since the last tick, which shows
// the peer as well that the connection works.
func (w *frameWriter) tick() bool {
	written := w.written
	w.written = false
	if written && w.conn.status() == w.lastStatus {
		return true
	}
	return w.heartbeat(false)
}

// heartbeat writes a heartbeat with the current status.
func (w *frameWriter) heartbeat(probe bool) bool {
	status := w.conn.status()
	w.lastStatus = status
	status.Probe = probe
	return w.write(&status)
}

// writeQueued writes a message that Send has queued.
func (w *frameWriter) writeQueued(m message.Message) bool {
	w.unflushed++
	return w.write(m)
}

// write appends the frame of m to the buffer, which is flushed when it is full.
func (w *frameWriter) write(m message.Message) bool {
	frame, err := AppendFrame(w.frame[:0], m, w.conn.cfg.MaxFrameBytes)
	if err != nil {
		w.conn.fail(errors.Mark(err, ErrEncode))
		return false
	}
	w.frame = frame
	w.written = w.written || m.MessageType() != message.TypeHeartbeat
	w.conn.sent.Add(uint64(len(frame)))
	w.conn.cfg.Traffic.sent(m, len(frame))
	if _, err := w.buffered.Write(frame); err != nil {
		w.conn.fail(err)
		return false
	}
	return true
}

// flush sends the buffered frames.
func (w *frameWriter) flush() bool {
	if w.buffered.Buffered() > 0 {
		if err := w.buffered.Flush(); err != nil {
			w.conn.fail(err)
			return false
		}
	}
	w.conn.queued.Add(-w.unflushed)
	w.unflushed = 0
	return true
}
