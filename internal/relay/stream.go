package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// progress is what a caller has of a stream.
type progress struct {
	// last is the ID of the last event that was passed on whole.
	last int64
	// count is the number of events that were passed on.
	count int
}

const (
	// streamBuffer is the size of one read of a stream.
	streamBuffer = 8 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 256 << 10
)

// errGap means that a continued stream does not go on where the caller has stopped.
var errGap = errors.New("relay: the continued stream lacks an event")

// stream passes on the events of an answer as they arrive, whole ones only.
func (a *sent) stream(resp *http.Response) result {
	x := a.x
	var pending []byte
	buf := make([]byte, streamBuffer)
	firstWait := true
	first := time.Duration(0)
	for {
		if firstWait {
			a.conn.Allow(max(firstEventWait-time.Since(a.started), dialWait))
		} else {
			a.conn.Allow(pauseWait)
		}
		n, err := resp.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		var passed int
		var perr error
		pending, passed, perr = x.passEvents(resp, pending)
		if passed > 0 {
			a.track.RecordActivity()
		}
		if passed > 0 && firstWait {
			firstWait, first = false, time.Since(a.started)
			a.track.RecordStart()
		}
		switch {
		case perr != nil:
			return a.streamBroken(perr, first)
		case errors.Is(err, io.EOF):
			return a.streamEnd(resp, pending, first)
		case err != nil:
			return a.streamBroken(a.conn.Failure(x.ctx, err), first)
		case len(pending) > maxEvent:
			return a.streamBroken(errors.New("relay: event is too large"), first)
		}
	}
}

// streamEnd handles the end of an answer as the protocol marks it.
func (a *sent) streamEnd(resp *http.Response, pending []byte, first time.Duration) result {
	x := a.x
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if len(pending) > 0 && unframed {
		return a.streamBroken(errors.New("relay: the stream ended within an event"), first)
	}
	x.beginStream(resp)
	if len(pending) > 0 {
		if _, err := x.w.Write(pending); err != nil {
			return a.streamBroken(errors.Mark(err, errCallerGone), first)
		}
	}
	a.whole = true
	return result{final: true, outcome: "streamed", status: resp.StatusCode, first: first}
}

func (a *sent) streamBroken(cause error, first time.Duration) result {
	a.x.last = "stream broke off"
	return result{kind: broken, cause: cause, first: first, excused: excused(cause)}
}

// beginStream sends the head of the answer unless it is out. A continued stream keeps the head of its first upstream.
func (x *exchange) beginStream(resp *http.Response) {
	if x.begun {
		return
	}
	x.head(resp)
	x.w.WriteHeader(resp.StatusCode)
	x.begun = true
	x.firstEvent = time.Since(x.received)
}

// passEvents sends the whole events at the start of data and returns the rest with the number of events passed on.
func (x *exchange) passEvents(resp *http.Response, data []byte) (rest []byte, passed int, err error) {
	end := 0
	start := 0
	var out []byte
	for {
		size := eventSize(data[start:])
		if size == 0 {
			break
		}
		event := data[start : start+size]
		start += size
		end = start
		id, ok := eventID(event)
		switch {
		case ok && id <= x.events.last:
			continue // The caller has it.
		case ok && x.events.last > 0 && id != x.events.last+1:
			return nil, passed, errors.Wrapf(errGap, "event %d after %d", id, x.events.last)
		case ok:
			x.events.last = id
		}
		x.events.count++
		passed++
		out = append(out, event...)
	}
	if len(out) > 0 {
		x.beginStream(resp)
		if _, err := x.w.Write(out); err != nil {
			return nil, passed, errors.Mark(errors.Wrap(err, "relay: write to the caller"), errCallerGone)
		}
		if err := http.NewResponseController(x.w).Flush(); err != nil {
			return nil, passed, errors.Mark(errors.Wrap(err, "relay: write to the caller"), errCallerGone)
		}
	}
	return append(data[:0], data[end:]...), passed, nil
}

// eventSize returns the length of the event at the start of data with the empty line that ends it, 0 if it is not whole.
func eventSize(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	default:
		return 0
	}
}

// eventID returns the number in the id line of an event, and false if there is none.
func eventID(event []byte) (int64, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
