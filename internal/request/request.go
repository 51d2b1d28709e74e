// Package request holds what a caller's request and an upstream's answer say in their headers, independent of how they are named
// on the wire.
package request

import (
	"net/http"
	"time"
)

// Metadata is what a caller's request says of itself.
type Metadata struct {
	// ID names the caller's attempt. Each attempt of a caller has its own.
	ID string
	// Deadline is the time that the caller will wait, counted from the sending; 0 if it does not say.
	Deadline time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// Model and the token counts are set for generations only.
	Model string
	// PromptTokens are to be read, MaxAnswerTokens bound the answer.
	PromptTokens, MaxAnswerTokens int
	// AnswerHint is the caller's estimate of the answer in tokens, 0 if there is none. It is often far off.
	AnswerHint int
	// LastEventID is the last event of the stream that the caller has, 0 if the stream starts from the beginning.
	LastEventID int64
}

// UpstreamMetadata is what the system tells an upstream beside the caller's own headers.
type UpstreamMetadata struct {
	// Remaining is the time in which the answer is of use; 0 sends none.
	Remaining time.Duration
	// Instance is the upstream that may run the request. Another one refuses it.
	Instance string
	// Customer owns the API key; empty for public routes.
	Customer string
	// Rank is the urgency at the upstream, 0 first.
	Rank int
	// Version makes an upstream with other weights refuse the request, unless it is 0.
	Version int64
	// LastEventID continues a stream after this event, 0 from the beginning.
	LastEventID int64
}

// Response is what an upstream's answer says of itself.
type Response struct {
	// ID repeats the ID of the request, empty if the upstream does not say.
	ID string
	// Signed answers carry the upstream's signature. An answer without one is not passed on as a success.
	Signed bool
	// NotRun states that the upstream has not run the request and will not.
	NotRun bool
	// WrongInstance states that another upstream has the address, or the weights have another version.
	WrongInstance bool
	// Instance is the ID of the upstream that answered, empty if it does not say.
	Instance string
	// Running, Waiting and Slots are the load when the answer began, valid if HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
	// Version is the version of the weights, 0 if the answer does not say.
	Version int64
	// IdleTimeout is the time after which the upstream closes an idle connection, 0 if it does not say.
	IdleTimeout time.Duration
}

// Codec reads and writes these values in HTTP headers.
type Codec interface {
	// ParseRequest reads the headers of a caller's request. Values that cannot be read count as absent.
	ParseRequest(h http.Header) Metadata
	// PrepareUpstreamHeaders turns the headers of a caller into those for an upstream, in place.
	PrepareUpstreamHeaders(h http.Header, out UpstreamMetadata)
	// ParseResponse reads the head of an upstream's answer.
	ParseResponse(status int, h http.Header) Response
	// SetRefusalHeaders sets the headers of a refusal or failure of the system's own.
	SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
}
