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

// Outcomes of a request as its caller sees them.
const (
	OutcomeOK = "ok"
	// OutcomeBroken is a connection that failed or a stream that ended in an error event.
	OutcomeBroken = "broken"
	// OutcomeRefused is a 4xx answer without an outcome.
	OutcomeRefused = "refused"
)

const (
	streamEnd       = "data: [DONE]"
	streamError     = "event: error\n"
	headerReplayed  = "Pimentohead-Replayed"
	outcomeNotRun   = "not-run"
	eventStreamType = "text/event-stream"
)

// Result is what the caller of one request was told.
type Result struct {
	Request Request
	Reply   Reply
	Err     error
	Outcome string
	Begin   time.Time
}

// tell classifies a reply.
func tell(r Request, reply Reply, err error, begin time.Time) Result {
	t := Result{Request: r, Reply: reply, Err: err, Begin: begin}
	stream := strings.HasPrefix(reply.Header.Get("Content-Type"), eventStreamType)
	switch {
	case reply.Outcome != "" && reply.Status >= http.StatusBadRequest:
		t.Outcome = reply.Outcome
	case err != nil, stream && strings.Contains(string(reply.Body), streamError):
		t.Outcome = OutcomeBroken
	case reply.Status >= http.StatusBadRequest:
		t.Outcome = OutcomeRefused
	default:
		t.Outcome = OutcomeOK
	}
	return t
}

// wrong returns how a successful answer differs from the whole answer to the request, or "".
func (t Result) wrong() string {
	sum := sha256.Sum256(t.Request.Body)
	switch {
	case t.Request.Path == OrderPath:
		var answer fake.OrderAnswer
		if json.Unmarshal(t.Reply.Body, &answer) != nil || answer.BodyHash != hex.EncodeToString(sum[:]) {
			return "answer to another order"
		}
	case strings.HasPrefix(t.Request.Path, StockPath):
		var answer fake.StockAnswer
		if json.Unmarshal(t.Reply.Body, &answer) != nil || StockPath+answer.Item != t.Request.Path {
			return "answer to another lookup"
		}
	case t.Request.Path == ChatPath:
		return t.wrongChat()
	}
	return ""
}

func (t Result) wrongChat() string {
	var chat fake.ChatRequest
	if err := json.Unmarshal(t.Request.Body, &chat); err != nil {
		return err.Error()
	}
	echo := strings.TrimSpace(fake.EchoText(chat.Prompt()))
	if !chat.Stream {
		if text, err := ChatText(t.Reply.Body); err != nil || !strings.Contains(text, echo) {
			return "answer to another prompt"
		}
		return ""
	}
	if !strings.HasSuffix(strings.TrimSpace(string(t.Reply.Body)), streamEnd) {
		return "stream ends early without an error"
	}
	if text := StreamText(t.Reply.Body); !strings.Contains(text, echo) {
		return "stream of another prompt"
	}
	return ""
}

// StreamText joins the text of a streamed chat answer.
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

// Results collects what callers were told. It is safe for concurrent use.
type Results struct {
	// mu guards all and changed.
	mu      sync.Mutex
	all     []Result
	changed chan struct{}
}

func newTellings() *Results { return &Results{changed: make(chan struct{})} }

func (t *Results) add(told Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, told)
	close(t.changed)
	t.changed = make(chan struct{})
}

// All returns what was told so far, in the order of the answers.
func (t *Results) All() []Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Result(nil), t.all...)
}

// Count returns the number of tellings that match.
func (t *Results) Count(match func(Result) bool) int {
	n := 0
	for _, told := range t.All() {
		if match(told) {
			n++
		}
	}
	return n
}

// Audit compares what callers were told with the journals of the upstreams. Each field but Outcomes lists violations.
type Audit struct {
	// Outcomes counts tellings by outcome.
	Outcomes map[string]int
	// Duplicated are non-idempotent requests that ran more than once.
	Duplicated []string
	// FalseNotRun are requests that ran although their caller was told that they did not.
	FalseNotRun []string
	// NotJournalled are successful answers without a completed run.
	NotJournalled []string
	// WrongAnswers are answers that are not the whole answer to their request.
	WrongAnswers []string
}

// Violations joins all violations.
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

// Audit audits the tellings.
func (b *Bed) Audit(t *Results) (Audit, error) {
	journals, err := b.Journals()
	if err != nil {
		return Audit{}, err
	}
	audit := Audit{Outcomes: make(map[string]int)}
	runs, completed := make(map[string]int), make(map[string]bool)
	bodies, keys := make(map[string][]string), make(map[string][]string)
	for upstream, entries := range journals {
		for _, e := range entries {
			runs[e.RequestID]++
			completed[e.RequestID] = completed[e.RequestID] || e.Completed
			if e.Path != OrderPath {
				continue
			}
			where := fmt.Sprintf("%s/%d key %q request %s attempt %s", upstream, e.Seq, e.OrderKey, e.RequestID, e.Attempt)
			bodies[e.BodyHash] = append(bodies[e.BodyHash], where)
			if e.OrderKey != "" {
				keys[e.OrderKey] = append(keys[e.OrderKey], where)
			}
		}
	}
	for _, where := range []map[string][]string{bodies, keys} {
		for _, list := range where {
			if len(list) > 1 {
				audit.Duplicated = append(audit.Duplicated, strings.Join(list, ", "))
			}
		}
	}
	for _, told := range t.All() {
		audit.add(told, runs, completed)
	}
	return audit, nil
}

// add compares one telling with the runs by request ID.
func (a *Audit) add(told Result, runs map[string]int, completed map[string]bool) {
	a.Outcomes[told.Outcome]++
	id := told.Reply.RequestID
	name := fmt.Sprintf("%s %s request %s through %s", told.Request.Method, told.Request.Path, id, told.Request.Entry)
	switch told.Outcome {
	case outcomeNotRun:
		if runs[id] > 0 {
			a.FalseNotRun = append(a.FalseNotRun, name)
		}
	case OutcomeOK:
		if !completed[id] && told.Reply.Header.Get(headerReplayed) == "" {
			a.NotJournalled = append(a.NotJournalled, name)
		}
		if wrong := told.wrong(); wrong != "" {
			a.WrongAnswers = append(a.WrongAnswers, name+": "+wrong)
		}
	}
}
