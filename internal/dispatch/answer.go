package dispatch

import (
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
	// maxHeldBytes is the size up to which an answer that is not streamed is held until it is whole.
	maxHeldBytes = 64 << 10
	// HeaderVersion tells the model version that served the answer.
	HeaderVersion = "Pimentohead-Version"
	// HeaderReplayed tells that the answer was recorded for an earlier request with the same key.
	HeaderReplayed = "Pimentohead-Replayed"
	eventStream    = "text/event-stream"
	ownHeaders     = "Pimentohead-"
	// writeGrace lets the end of an answer reach the caller after the deadline.
	writeGrace = 2 * time.Second
)

// hopHeaders belong to one connection and are not passed on, nor is the caller's API key.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Authorization": true,
}

// passed tells whether a header field is passed on. Names with the system's own prefix are set by entries only.
func passed(name string) bool { return !hopHeaders[name] && !strings.HasPrefix(name, ownHeaders) }

// answer writes the answer of one request to its caller.
//
// Invariant: until committed is set, nothing has reached the caller and the request may be answered differently.
type answer struct {
	x         *filter.Exchange
	control   *http.ResponseController
	head      *message.ResponseHead
	held      []byte
	stream    bool
	committed bool
}

func newAnswer(x *filter.Exchange) *answer {
	control := http.NewResponseController(x.Writer)
	// A caller that reads slowly holds its own goroutine until then and nothing else.
	_ = control.SetWriteDeadline(x.Deadline.Add(writeGrace))
	return &answer{x: x, control: control}
}

// begin starts the answer of an attempt and forgets what an earlier one left.
func (a *answer) begin(head *message.ResponseHead) {
	a.head, a.held = head, nil
	a.stream = a.x.Stream
	for _, field := range head.Header {
		if textproto.CanonicalMIMEHeaderKey(field.Name) == "Content-Type" && strings.HasPrefix(field.Value, eventStream) {
			a.stream = true
		}
	}
}

// data adds bytes of the answer. An error means that the caller is gone.
func (a *answer) data(p []byte) error {
	if !a.committed && !a.stream && len(a.held)+len(p) <= maxHeldBytes {
		a.held = append(a.held, p...)
		return nil
	}
	if err := a.commit(); err != nil {
		return err
	}
	if _, err := a.x.Writer.Write(p); err != nil {
		return err
	}
	if a.stream {
		return a.control.Flush()
	}
	return nil
}

// commit sends the header and what was held.
func (a *answer) commit() error {
	if a.committed {
		return nil
	}
	a.committed = true
	a.writeHeader()
	held := a.held
	a.held = nil
	_, err := a.x.Writer.Write(held)
	return err
}

func (a *answer) writeHeader() {
	header := a.x.Writer.Header()
	for _, field := range a.head.Header {
		// A field that HTTP cannot carry would make the whole answer unreadable for the caller.
		name := textproto.CanonicalMIMEHeaderKey(field.Name)
		if passed(name) && httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(field.Value) {
			header.Add(name, field.Value)
		}
	}
	if a.head.Version != "" {
		header.Set(HeaderVersion, a.head.Version)
	}
	if a.head.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	if a.head.Status >= http.StatusInternalServerError {
		header.Set(filter.HeaderOutcome, string(message.OutcomeFailed))
	}
	a.x.Writer.WriteHeader(validStatus(a.head.Status))
}

// validStatus guards net/http against codes that it refuses with a panic, and against informational ones.
func validStatus(code int) int {
	if code < 200 || code > 999 {
		return http.StatusBadGateway
	}
	return code
}

// finish completes a whole answer. An error means that the caller is gone.
func (a *answer) finish() error {
	if a.committed {
		return a.control.Flush()
	}
	if bodyAllowed(a.head.Status) {
		a.x.Writer.Header().Set("Content-Length", strconv.Itoa(len(a.held)))
	} else {
		a.held = nil
	}
	return a.commit()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// abort ends a begun answer that cannot be completed: a stream gets an error event first.
func (a *answer) abort(f *filter.Failure) error {
	if a.stream {
		_, _ = fmt.Fprintf(a.x.Writer, "\n\nevent: error\ndata: %s\n\n", f.Body(a.x.ID))
		_ = a.control.Flush()
	}
	return filter.ErrAborted
}
