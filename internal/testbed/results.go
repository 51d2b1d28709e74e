package testbed

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/fake"
)

// Outcomes of a request as its caller sees them. A request that failed with a Pimentohead-Outcome header has the value of the
// header as its outcome instead.
const (
	// OutcomeOK is a successful response.
	OutcomeOK = "ok"
	// OutcomeBroken is a failed connection or a stream that contains an error event.
	OutcomeBroken = "broken"
	// OutcomeRefused is a response with status 400 or above and no outcome header.
	OutcomeRefused = "refused"
)

const (
	streamEnd       = "data: [DONE]"
	streamError     = "event: error\n"
	headerReplayed  = "Pimentohead-Replayed"
	outcomeNotRun   = "not-run"
	eventStreamType = "text/event-stream"
)

// Result is a request with the response that its caller received.
type Result struct {
	Request Request
	Reply   Reply
	// Err is the error of Cluster.Call, which is set if the connection failed.
	Err error
	// Outcome is a constant of this package or the value of the Pimentohead-Outcome header.
	Outcome string
	// Begin is when the request was sent.
	Begin time.Time
}

// newResult classifies a reply. A failure with an outcome header has that outcome, even if the connection failed later.
func newResult(r Request, reply Reply, err error, begin time.Time) Result {
	result := Result{Request: r, Reply: reply, Err: err, Begin: begin}
	stream := strings.HasPrefix(reply.Header.Get("Content-Type"), eventStreamType)
	switch {
	case reply.Outcome != "" && reply.Status >= http.StatusBadRequest:
		result.Outcome = reply.Outcome
	case err != nil, stream && strings.Contains(string(reply.Body), streamError):
		result.Outcome = OutcomeBroken
	case reply.Status >= http.StatusBadRequest:
		result.Outcome = OutcomeRefused
	default:
		result.Outcome = OutcomeOK
	}
	return result
}

// mismatch describes how a successful response differs from the complete response to the request. It returns "" if there is no
// difference.
func (r Result) mismatch() string {
	sum := sha256.Sum256(r.Request.Body)
	switch {
	case r.Request.Path == OrderPath:
		var answer fake.OrderAnswer
		if json.Unmarshal(r.Reply.Body, &answer) != nil || answer.BodyHash != hex.EncodeToString(sum[:]) {
			return "response to another order"
		}
	case strings.HasPrefix(r.Request.Path, StockPath):
		var answer fake.StockAnswer
		if json.Unmarshal(r.Reply.Body, &answer) != nil || StockPath+answer.Item != r.Request.Path {
			return "response to another stock lookup"
		}
	case r.Request.Path == ChatPath:
		return r.chatMismatch()
	}
	return ""
}

// chatMismatch implements mismatch for chat requests.
func (r Result) chatMismatch() string {
	var chat fake.ChatRequest
	if err := json.Unmarshal(r.Request.Body, &chat); err != nil {
		return err.Error()
	}
	echo := strings.TrimSpace(fake.EchoText(chat.Prompt()))
	if !chat.Stream {
		if text, err := ChatText(r.Reply.Body); err != nil || !strings.Contains(text, echo) {
			return "response to another prompt"
		}
		return ""
	}
	if !strings.HasSuffix(strings.TrimSpace(string(r.Reply.Body)), streamEnd) {
		return "stream ends early without an error"
	}
	if text := StreamText(r.Reply.Body); !strings.Contains(text, echo) {
		return "stream of another prompt"
	}
	return ""
}

// StreamText returns the concatenated text of a streamed chat response.
func StreamText(body []byte) string {
	var out strings.Builder
	for line := range strings.Lines(string(body)) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var event fake.ChatAnswer
		if !found || json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 || event.Choices[0].Delta == nil {
			continue
		}
		out.WriteString(event.Choices[0].Delta.Content)
	}
	return out.String()
}

// Results collects the results of requests. It is safe for concurrent use.
type Results struct {
	// mu guards all and changed.
	mu sync.Mutex
	// all holds the results in the order of their responses.
	all []Result
	// changed is closed and replaced when a result is added.
	changed chan struct{}
}

func newResults() *Results { return &Results{changed: make(chan struct{})} }

// add appends a result and wakes the goroutines that wait for changed.
func (r *Results) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, result)
	close(r.changed)
	r.changed = make(chan struct{})
}

// All returns a copy of the results so far, in the order of their responses.
func (r *Results) All() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Result(nil), r.all...)
}

// Count returns the number of results for which match returns true.
func (r *Results) Count(match func(Result) bool) int {
	n := 0
	for _, result := range r.All() {
		if match(result) {
			n++
		}
	}
	return n
}

// Audit is the comparison of results with the journals of the upstreams. Each field except Outcomes lists violations.
type Audit struct {
	// Outcomes is the number of results by outcome.
	Outcomes map[string]int
	// Duplicated lists orders, which are not idempotent, that ran more than once. Runs with the same body or the same idempotency key
	// are runs of the same order.
	Duplicated []string
	// FalseNotRun lists requests that ran although their outcome says that they did not.
	FalseNotRun []string
	// NotJournalled lists successful requests without a completed run in a journal. Replayed responses, which repeat the response
	// to an earlier request with the same idempotency key, are not checked.
	NotJournalled []string
	// WrongAnswers lists successful responses that are incomplete or belong to another request.
	WrongAnswers []string
}

// Violations returns all violations, each with its type as a prefix.
func (a Audit) Violations() []string {
	var out []string
	for name, list := range map[string][]string{
		"doubled": a.Duplicated, "false not-run": a.FalseNotRun, "not journalled": a.NotJournalled, "wrong": a.WrongAnswers,
	} {
		for _, v := range list {
			out = append(out, name+": "+v)
		}
	}
	return out
}

// Audit compares results with the journals of all upstreams.
func (c *Cluster) Audit(results *Results) (Audit, error) {
	journals, err := c.Journals()
	if err != nil {
		return Audit{}, err
	}
	audit := Audit{Outcomes: make(map[string]int)}
	runCounts, completed := make(map[string]int), make(map[string]bool)
	runsByBody, runsByKey := make(map[string][]string), make(map[string][]string)
	for upstream, entries := range journals {
		for _, e := range entries {
			runCounts[e.RequestID]++
			completed[e.RequestID] = completed[e.RequestID] || e.Completed
			if e.Path != OrderPath {
				continue
			}
			run := fmt.Sprintf("%s/%d key %q request %s attempt %s", upstream, e.Seq, e.IdempotencyKey, e.RequestID, e.Attempt)
			runsByBody[e.BodyHash] = append(runsByBody[e.BodyHash], run)
			if e.IdempotencyKey != "" {
				runsByKey[e.IdempotencyKey] = append(runsByKey[e.IdempotencyKey], run)
			}
		}
	}
	for _, runsByValue := range []map[string][]string{runsByBody, runsByKey} {
		for _, list := range runsByValue {
			if len(list) > 1 {
				audit.Duplicated = append(audit.Duplicated, strings.Join(list, ", "))
			}
		}
	}
	for _, result := range results.All() {
		audit.add(result, runCounts, completed)
	}
	return audit, nil
}

// add counts one result and checks it against the runs. runCounts holds the number of runs and completed whether a run was
// completed, both by request ID.
func (a *Audit) add(result Result, runCounts map[string]int, completed map[string]bool) {
	a.Outcomes[result.Outcome]++
	id := result.Reply.RequestID
	name := fmt.Sprintf("%s %s request %s through %s", result.Request.Method, result.Request.Path, id, result.Request.Entry)
	switch result.Outcome {
	case outcomeNotRun:
		if runCounts[id] > 0 {
			a.FalseNotRun = append(a.FalseNotRun, name)
		}
	case OutcomeOK:
		if !completed[id] && result.Reply.Header.Get(headerReplayed) == "" {
			a.NotJournalled = append(a.NotJournalled, name)
		}
		if mismatch := result.mismatch(); mismatch != "" {
			a.WrongAnswers = append(a.WrongAnswers, name+": "+mismatch)
		}
	}
}
