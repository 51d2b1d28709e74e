package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/fake"
)

// Request is one request of a caller.
type Request struct {
	Entry  string
	Method string
	Path   string
	// Caller is a name of DefaultConfig; APIKey replaces its API key.
	Caller, APIKey string
	OrderKey       string
	Priority       string
	Body           []byte
}

// Reply is what the caller got.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	Outcome   string
	// FirstByte and Total count from the start of the request; FirstByte is when the header arrived.
	FirstByte, Total time.Duration
}

// Call sends a request to an entry. It returns an error when the connection failed; the reply then holds what had arrived.
func (b *Bed) Call(ctx context.Context, r Request) (Reply, error) {
	var reply Reply
	request, err := http.NewRequestWithContext(ctx, r.Method, b.CallerURL(r.Entry)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return reply, errors.Wrap(err, "testbed")
	}
	key := r.APIKey
	if key == "" {
		key = CallerKey(r.Caller)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if r.OrderKey != "" {
		request.Header.Set(fake.HeaderOrderKey, r.OrderKey)
	}
	if r.Priority != "" {
		request.Header.Set("Pimentohead-Priority", r.Priority)
	}
	begin := time.Now()
	response, err := b.client.Do(request)
	reply.FirstByte = time.Since(begin)
	if err != nil {
		return reply, errors.Wrap(err, "testbed")
	}
	defer func() { _ = response.Body.Close() }()
	reply.Status, reply.Header = response.StatusCode, response.Header
	reply.RequestID, reply.Outcome = response.Header.Get(fake.HeaderRequestID), response.Header.Get("Pimentohead-Outcome")
	reply.Body, err = io.ReadAll(response.Body)
	reply.Total = time.Since(begin)
	return reply, errors.Wrap(err, "testbed")
}

// CallerURL returns the base URL of an entry for callers.
func (b *Bed) CallerURL(entry string) string { return "http://" + b.Node(entry).CallerAddress }

// UpstreamURL returns the base URL of an upstream itself, for comparison with the way through entries and agents.
func (b *Bed) UpstreamURL(upstream string) string { return "http://" + b.fakes[upstream] }

// ChatBody returns the body of a chat request.
func ChatBody(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(fake.ChatRequest{
		Model: ModelName, MaxTokens: tokens, Stream: stream, Messages: []fake.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // Strings and numbers are always encoded.
	}
	return body
}

// ChatText returns the text of a chat answer that was not streamed.
func ChatText(body []byte) (string, error) {
	var answer fake.ChatAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", errors.Wrap(err, "testbed")
	}
	if len(answer.Choices) != 1 || answer.Choices[0].Message == nil {
		return "", errors.Newf("testbed: not a chat answer: %.200s", body)
	}
	return answer.Choices[0].Message.Content, nil
}
