package filter

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Headers of responses.
const (
	HeaderRequestID  = "Pimentohead-Request-Id"
	HeaderOutcome    = "Pimentohead-Outcome"
	headerRetryAfter = "Retry-After"
)

// Errors that a Handler returns besides *Failure, and the cause of a cancellation.
var (
	// ErrCallerGone means that the caller has disconnected.
	ErrCallerGone = errors.New("filter: caller has disconnected")
	// ErrAborted means that a response was partly written and cannot be completed: the connection has to be aborted.
	ErrAborted = errors.New("filter: response aborted")
	// ErrShuttingDown is the cause of the end of a request's context at the shutdown timeout of the entry.
	ErrShuttingDown = errors.New("filter: entry is shutting down")
)

// Failure is an error response of which nothing has been written yet.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Code identifies the cause to programs, such as "rate-limited"; Message explains it to people.
	Code    string
	Message string
	// Outcome is what the entry knows about the execution of the request.
	Outcome message.Outcome
	// RetryAfter is the value of the Retry-After header, rounded up to seconds; 0 omits the header.
	RetryAfter time.Duration
	// Allow is the value of the Allow header: the allowed methods of a response with status 405. Empty omits the header.
	Allow string
}

// Error implements the error interface.
func (f *Failure) Error() string { return fmt.Sprintf("%d %s: %s", f.Status, f.Code, f.Message) }

// refuse returns the failure of a request that the entry has not sent to any upstream: its outcome is not-run.
func refuse(status int, code, text string) *Failure {
	return &Failure{Status: status, Code: code, Message: text, Outcome: message.OutcomeNotRun}
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error in an ErrorBody.
type ErrorDetail struct {
	Code      string          `json:"code"`
	Message   string          `json:"message"`
	Outcome   message.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

// Body returns the JSON body of the failure for the request with the given ID.
func (f *Failure) Body(id string) []byte {
	body, err := json.Marshal(ErrorBody{ErrorDetail{Code: f.Code, Message: f.Message, Outcome: f.Outcome, RequestID: id}})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// write writes the complete error response: header, status and body. id is the request ID.
func (f *Failure) write(w http.ResponseWriter, id string) error {
	body := f.Body(id)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Allow != "" {
		header.Set("Allow", f.Allow)
	}
	w.WriteHeader(f.Status)
	_, err := w.Write(body)
	return err
}
