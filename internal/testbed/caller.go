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

// Request is a request that a caller sends.
type Request struct {
	// Entry is the ID of the entry that receives the request.
	Entry  string
	Method string
	Path   string
	// Caller is the name of a caller in DefaultConfig, whose API key is sent. A non-empty APIKey is sent instead.
	Caller, APIKey string
	// IdempotencyKey is the Idempotency-Key header of an order; empty sends none.
	IdempotencyKey string
	// Priority is the value of the priority header; empty sends none.
	Priority string
	Body     []byte
}

// Reply is the response as the caller received it.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	// Outcome is the value of the Pimentohead-Outcome header, or empty.
	Outcome string
	// FirstByte is the time from sending the request to the response header, Total the time to the end of the body.
	FirstByte, Total time.Duration
}

// Call sends a request to an entry. If the connection fails, it returns an error and the part of the reply that was received.
func (c *Cluster) Call(ctx context.Context, r Request) (Reply, error) {
	var reply Reply
	request, err := http.NewRequestWithContext(ctx, r.Method, c.CallerURL(r.Entry)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return reply, errors.Wrap(err, "testbed: build the request")
	}
	key := r.APIKey
	if key == "" {
		key = CallerKey(r.Caller)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if r.IdempotencyKey != "" {
		request.Header.Set(fake.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.Priority != "" {
		request.Header.Set("Pimentohead-Priority", r.Priority)
	}
	begin := time.Now()
	response, err := c.client.Do(request)
	reply.FirstByte = time.Since(begin)
	if err != nil {
		return reply, errors.Wrap(err, "testbed: send the request")
	}
	defer func() { _ = response.Body.Close() }()
	reply.Status, reply.Header = response.StatusCode, response.Header
	reply.RequestID, reply.Outcome = response.Header.Get(fake.HeaderRequestID), response.Header.Get("Pimentohead-Outcome")
	reply.Body, err = io.ReadAll(response.Body)
	reply.Total = time.Since(begin)
	return reply, errors.Wrap(err, "testbed: read the response")
}

// CallerURL returns the base URL of an entry's listener for callers.
func (c *Cluster) CallerURL(entry string) string { return "http://" + c.Node(entry).CallerAddress }

// UpstreamURL returns the base URL of an upstream, bypassing entries and agents. It serves to compare direct requests with
// requests through the fleet.
func (c *Cluster) UpstreamURL(upstream string) string { return "http://" + c.fakeAddresses[upstream] }

// ChatBody returns the JSON body of a chat request for at most the given number of tokens.
func ChatBody(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(fake.ChatRequest{
		Model: ModelName, MaxTokens: tokens, Stream: stream, Messages: []fake.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // Encoding strings, numbers and booleans cannot fail.
	}
	return body
}

// ChatText returns the text of a chat response that was not streamed.
func ChatText(body []byte) (string, error) {
	var answer fake.ChatAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", errors.Wrap(err, "testbed: decode the chat response")
	}
	if len(answer.Choices) != 1 || answer.Choices[0].Message == nil {
		return "", errors.Newf("testbed: not a chat response: %.200s", body)
	}
	return answer.Choices[0].Message.Content, nil
}
