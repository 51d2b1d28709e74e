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

// Response headers.
const (
	HeaderRequestID = "Pimentohead-Request-Id"
	HeaderOutcome   = "Pimentohead-Outcome"
	headerRetry     = "Retry-After"
)

// Errors of a Handler besides *Failure.
var (
	// ErrCallerGone means that the caller has disconnected.
	ErrCallerGone = errors.New("filter: caller has disconnected")
	// ErrAborted means that an answer was begun and cannot be completed: the connection has to be aborted.
	ErrAborted = errors.New("filter: answer aborted")
)

// Failure is a failing answer of which nothing has been written yet.
type Failure struct {
	Status  int
	Code    string
	Message string
	Outcome message.Outcome
	// RetryAfter is rounded up to seconds; 0 sends no header.
	RetryAfter time.Duration
	// Allow lists the allowed methods with status 405.
	Allow string
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%d %s: %s", f.Status, f.Code, f.Message) }

// refuse returns a failure of a request that the entry did not send to any upstream.
func refuse(status int, code, text string) *Failure {
	return &Failure{Status: status, Code: code, Message: text, Outcome: message.OutcomeNotRun}
}

// ErrorBody is the JSON body of a failing answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Code      string          `json:"code"`
	Message   string          `json:"message"`
	Outcome   message.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

// Body encodes the failure of request id.
func (f *Failure) Body(id string) []byte {
	body, err := json.Marshal(ErrorBody{ErrorDetail{Code: f.Code, Message: f.Message, Outcome: f.Outcome, RequestID: id}})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// write sends the failure as the whole answer.
func (f *Failure) write(w http.ResponseWriter, id string) error {
	body := f.Body(id)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		header.Set(headerRetry, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Allow != "" {
		header.Set("Allow", f.Allow)
	}
	w.WriteHeader(f.Status)
	_, err := w.Write(body)
	return err
}
