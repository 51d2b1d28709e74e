// Package request defines the metadata that requests and responses carry in their headers, independent of the header names on
// the wire.
package request

import (
	"net/http"
	"time"
)

// Metadata holds the values read from the headers of a caller's request.
type Metadata struct {
	// ID identifies one attempt of the caller. A retry by the caller has a new ID.
	ID string
	// Timeout is how long the caller waits from the moment it sends the request; 0 if not given.
	Timeout time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// Model and the token counts are set for generation requests only.
	Model string
	// PromptTokens is the length of the prompt, MaxAnswerTokens the upper bound of the answer.
	PromptTokens, MaxAnswerTokens int
	// PromptParts holds the IDs of the parts of the prompt, in order. Other requests share them, except the last one, which belongs to
	// the request or its session.
	PromptParts []string
	// AnswerHint is the caller's estimate of the answer length in tokens, 0 if not given. It is often far off.
	AnswerHint int
	// LastEventID is the ID of the last stream event that the caller has received, 0 to start from the beginning. It applies to routes whose
	// streams can be resumed.
	LastEventID int64
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (m Metadata) SharedParts() []string {
	if len(m.PromptParts) == 0 {
		return nil
	}
	return m.PromptParts[:len(m.PromptParts)-1]
}

// UpstreamMetadata holds the values that are added to the caller's headers when a request is sent to an upstream.
type UpstreamMetadata struct {
	// Remaining is the time until the deadline of the request; 0 sends no deadline.
	Remaining time.Duration
	// Instance is the ID of the upstream that may run the request. Any other upstream refuses it.
	Instance string
	// Customer is the name of the customer that owns the API key, empty if there is none.
	Customer string
	// Rank is the scheduling rank at the upstream. Upstreams accept 0, the most urgent, to 9.
	Rank int
	// Version is the required version of the weights: an upstream with another version refuses the request. 0 accepts any version.
	Version int64
	// LastEventID resumes a stream after this event, 0 leaves the caller's header as it is.
	LastEventID int64
}

// Response holds the values read from the head of an upstream's response.
type Response struct {
	// ID is the ID of the request that the response belongs to, empty if not given.
	ID string
	// Signed is set when the response carries the upstream's signature. An unsigned response is not forwarded as a success.
	Signed bool
	// NotRun is set when the upstream has not run the request and will not run it.
	NotRun bool
	// Misdirected is set when another upstream has the address, or the weights have another version.
	Misdirected bool
	// Instance is the ID of the upstream that responded, empty if not given.
	Instance string
	// Running, Waiting and Slots are the upstream's load at the start of the response. They are valid if HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
	// Slowdown is the factor by which work takes longer than normal on the instance of the upstream, 0 if not given.
	Slowdown float64
	// UnreadableLoad names the load and its text if the response states a load that cannot be read. It says nothing about the load then.
	UnreadableLoad string
	// RateLimit is the number of requests a second that the upstream takes from all entries together. It is valid if HasRateLimit is set;
	// otherwise the upstream named no limit, or an unreadable one.
	RateLimit    float64
	HasRateLimit bool
	// RateLimitUnreadable is set if the upstream names a limit that cannot be read. It says nothing about the limit then, not even that
	// there is none.
	RateLimitUnreadable bool
	// Leaving is set when the upstream leaves and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which an upstream that refuses a request with 503 wants no more requests from this entry, 0 if not given.
	RetryAfter time.Duration
	// ColdLeft is how long the upstream stays cold, 0 if it is warm or says nothing about it.
	ColdLeft time.Duration
	// Unreadable holds the headers on the upstream's availability whose values cannot be read, as "name: value". They say nothing.
	Unreadable []string
	// Version is the version of the weights, 0 if not given.
	Version int64
	// IdleTimeout is the time after which the upstream closes an idle connection, 0 if not given.
	IdleTimeout time.Duration
}

// Codec converts between these types and HTTP headers.
type Codec interface {
	// ParseRequest reads the headers of a caller's request. Values that cannot be parsed count as absent.
	ParseRequest(h http.Header) Metadata
	// PrepareUpstreamHeaders rewrites a caller's headers in place into those of the request to an upstream.
	PrepareUpstreamHeaders(h http.Header, out UpstreamMetadata)
	// ParseResponse reads the head of an upstream's response and removes its per-connection headers from h.
	ParseResponse(status int, h http.Header) Response
	// SetRefusalHeaders sets the headers of a refusal or failure that the entry itself generates. A retryAfter of 0 sends none.
	SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
}
