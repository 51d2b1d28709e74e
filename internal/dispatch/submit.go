package dispatch

import (
	"net/http"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/message"
)

// newSubmit returns the Submit message of one attempt. forwarded reports whether its target is another entry.
func newSubmit(x *filter.Exchange, number int, forwarded bool) *message.Submit {
	submit := &message.Submit{
		Attempt: message.Attempt{RequestID: x.ID, Number: number},
		Caller:  x.Caller.Name, Weight: max(x.Caller.Weight, 1), Priority: x.Priority, Pool: x.Pool.Name,
		DeadlineMillis: max(time.Until(x.Deadline).Milliseconds(), 1),
		Idempotent:     x.Route.Idempotent, IdempotencyKey: x.IdempotencyKey, Fingerprint: x.Fingerprint, Suspect: x.Suspect, Cost: x.Cost,
		Forwarded: forwarded, Stream: x.Stream,
		Method: x.Request.Method, Path: x.Request.URL.RequestURI(), Body: x.Body,
	}
	if !x.FirstByteTarget.IsZero() {
		submit.FirstByteTargetMillis = max(time.Until(x.FirstByteTarget).Milliseconds(), 1) // 0 would mean no target.
	}
	connectionOnly := connectionHeaders(x.Request.Header)
	for name, values := range x.Request.Header {
		if !isForwardedHeader(name) || connectionOnly[name] {
			continue
		}
		for _, value := range values {
			submit.Header = append(submit.Header, message.HeaderField{Name: name, Value: value})
		}
	}
	return submit
}

// connectionHeaders returns the header names that the Connection header declares specific to the caller's connection.
func connectionHeaders(header http.Header) map[string]bool {
	var names map[string]bool
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
