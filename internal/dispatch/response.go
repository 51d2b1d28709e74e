package dispatch

import (
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// maxBufferedBytes is the size up to which a response that is not streamed, or an event of a stream, is buffered until it is complete.
	maxBufferedBytes = 64 << 10
	// HeaderVersion is the header with the model version that served the request.
	HeaderVersion = "Pimentohead-Version"
	// HeaderReplayed is the header that marks a response recorded for an earlier request with the same idempotency key.
	HeaderReplayed       = "Pimentohead-Replayed"
	eventStreamType      = "text/event-stream"
	reservedHeaderPrefix = "Pimentohead-"
	// writeGrace is how long after the deadline the rest of a response may still be written to the caller.
	writeGrace = 2 * time.Second
)

// unforwardedHeaders lists the header fields that are not forwarded: those that apply to a single connection, Content-Length,
// which is set anew for each connection, and Authorization, which carries the caller's API key.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Authorization": true,
}

// isForwardedHeader reports whether a header field is forwarded. name must be in canonical form. Fields with
// reservedHeaderPrefix are set only by entries.
func isForwardedHeader(name string) bool {
	return !unforwardedHeaders[name] && !strings.HasPrefix(name, reservedHeaderPrefix)
}

// responseWriter writes the response of one request to its caller.
//
// Invariant: until x.Begun is set, nothing has been sent to the caller and the response may still be replaced by another one.
type responseWriter struct {
	x          *filter.Exchange
	controller *http.ResponseController
	head       *message.ResponseHead
	buffered   []byte
	streaming  bool
	// events is set for event streams. Only complete events of these are sent, because an error event that follows a part of an event
	// would complete it.
	events bool
	// partial is the start of the next event. inEvent is set when the part of a long event has been sent.
	partial []byte
	inEvent bool
}

func newResponseWriter(x *filter.Exchange) *responseWriter {
	controller := http.NewResponseController(x.Writer)
	// A caller that reads slowly blocks only the goroutine of its own request, and not beyond this deadline.
	_ = controller.SetWriteDeadline(x.Deadline.Add(writeGrace))
	return &responseWriter{x: x, controller: controller}
}

// start begins the response of an attempt and discards what is buffered from an earlier one.
func (w *responseWriter) start(head *message.ResponseHead) {
	w.head, w.buffered, w.partial, w.events = head, nil, nil, false
	for _, field := range head.Header {
		if textproto.CanonicalMIMEHeaderKey(field.Name) == "Content-Type" && strings.HasPrefix(field.Value, eventStreamType) {
			w.events = true
		}
	}
	w.streaming = w.x.Stream || w.events
}

// write adds bytes to the body. An error means that the caller has disconnected, or has not read the response by the write
// deadline.
func (w *responseWriter) write(p []byte) error {
	if w.events {
		p = w.takeEvents(p)
	}
	if len(p) == 0 {
		return nil
	}
	return w.send(p)
}

// takeEvents returns the complete events of what is held back and p, and holds back the rest. Of an event longer than maxBufferedBytes, it
// returns the part that has arrived.
func (w *responseWriter) takeEvents(p []byte) []byte {
	searchFrom := max(len(w.partial)-maxBlankLineBytes+1, 0)
	w.partial = append(w.partial, p...)
	data := w.partial
	size := eventsSize(data[searchFrom:])
	if size > 0 {
		size += searchFrom
		w.inEvent = false
	}
	if len(data)-size > maxBufferedBytes {
		size = len(data)
		w.inEvent = true
	}
	w.partial = data[size:]
	return data[:size]
}

// blankLines lists the line ends that form the blank line after an event.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxBlankLineBytes is the length of the longest element of blankLines.
const maxBlankLineBytes = 3

// eventsSize returns the length of data up to the end of its last complete event, 0 if there is none.
func eventsSize(data []byte) int {
	size := 0
	for _, blankLine := range blankLines {
		if i := bytes.LastIndex(data, blankLine); i >= 0 {
			size = max(size, i+len(blankLine))
		}
	}
	return size
}

// send sends bytes of the body, or buffers those of a short response that is not streamed.
func (w *responseWriter) send(p []byte) error {
	if !w.x.Begun && !w.streaming && len(w.buffered)+len(p) <= maxBufferedBytes {
		w.buffered = append(w.buffered, p...)
		return nil
	}
	if err := w.commit(); err != nil {
		return err
	}
	if _, err := w.x.Writer.Write(p); err != nil {
		return err
	}
	if w.streaming {
		return w.controller.Flush()
	}
	return nil
}

// commit sends the header and the buffered part of the body.
func (w *responseWriter) commit() error {
	if w.x.Begun {
		return nil
	}
	w.x.Begun = true
	w.writeHeader()
	buffered := w.buffered
	w.buffered = nil
	_, err := w.x.Writer.Write(buffered)
	return err
}

func (w *responseWriter) writeHeader() {
	header := w.x.Writer.Header()
	for _, field := range w.head.Header {
		// A field that is invalid in HTTP would make the whole response unreadable for the caller.
		name := textproto.CanonicalMIMEHeaderKey(field.Name)
		if isForwardedHeader(name) && httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(field.Value) {
			header.Add(name, field.Value)
		}
	}
	if w.head.Version != "" {
		header.Set(HeaderVersion, w.head.Version)
	}
	if w.head.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	if w.head.Status >= http.StatusInternalServerError {
		header.Set(filter.HeaderOutcome, string(message.OutcomeFailed))
	}
	w.x.Writer.WriteHeader(writableStatus(w.head.Status))
}

// writableStatus replaces informational codes, and codes for which net/http panics, by 502.
func writableStatus(code int) int {
	if code < 200 || code > 999 {
		return http.StatusBadGateway
	}
	return code
}

// finish completes a successful response. An error has the same meaning as one of write.
func (w *responseWriter) finish() error {
	if w.x.Begun {
		if _, err := w.x.Writer.Write(w.partial); err != nil {
			return err
		}
		return w.controller.Flush()
	}
	w.buffered = append(w.buffered, w.partial...)
	if bodyAllowed(w.head.Status) {
		w.x.Writer.Header().Set("Content-Length", strconv.Itoa(len(w.buffered)))
	} else {
		w.buffered = nil
	}
	return w.commit()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// abort ends a response that has been started and cannot be completed, and returns filter.ErrAborted. A stream gets an error event
// first, unless a part of an event was sent.
func (w *responseWriter) abort(f *filter.Failure) error {
	if w.events && !w.inEvent {
		_, _ = fmt.Fprintf(w.x.Writer, "event: error\ndata: %s\n\n", f.Body(w.x.ID))
		_ = w.controller.Flush()
	}
	w.x.AbortReason = f.Code
	return filter.ErrAborted
}
