package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Names of headers between callers and entries.
const (
	headerRequestID      = "Pimentohead-Request-Id"
	headerOutcome        = "Pimentohead-Outcome"
	headerPriority       = "Pimentohead-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerVersion        = "X-Model-Version"
)

// Outcomes that the load generator derives from a response without an outcome header.
const (
	// OutcomeOK is a complete answer with a status below 400.
	OutcomeOK = "ok"
	// OutcomeBroken is a request that received no complete answer.
	OutcomeBroken = "broken"
	// OutcomeRefused is a complete answer with a status of 400 or above.
	OutcomeRefused = "refused"
)

// streamTerminator is the last line of a complete server-sent event stream.
const streamTerminator = "data: [DONE]"

// Do sends request n of the stream, which was due at scheduled, and reads the whole response.
func (c *Client) Do(ctx context.Context, s *Stream, n int, scheduled time.Time) Result {
	result := Result{N: n, Target: s.Targets[n%len(s.Targets)], Scheduled: scheduled}
	req, err := c.newRequest(ctx, s, &result)
	if err != nil {
		result.Outcome = OutcomeBroken
		return result
	}
	resp, err := c.http.Do(req)
	if err != nil {
		result.Outcome, result.Total = OutcomeBroken, time.Since(scheduled)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	readAnswer(&result, resp, scheduled)
	if result.Outcome == OutcomeOK && s.Check != nil {
		result.Mismatch = !s.Check(n, resp.Header, result.Body)
	}
	return result
}

// newRequest builds the request and stores its idempotency key in result.
func (c *Client) newRequest(ctx context.Context, s *Stream, result *Result) (*http.Request, error) {
	var body io.Reader
	if s.Body != nil {
		body = bytes.NewReader(s.Body(result.N))
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, result.Target+s.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("Content-Type", "application/json")
	if s.Priority != "" {
		req.Header.Set(headerPriority, s.Priority)
	}
	if s.IdempotencyKey != nil {
		result.IdempotencyKey = s.IdempotencyKey(result.N)
		req.Header.Set(headerIdempotencyKey, result.IdempotencyKey)
	}
	return req, nil
}

// readAnswer reads the response to its end and fills in the latencies and the outcome.
func readAnswer(result *Result, resp *http.Response, scheduled time.Time) {
	result.Status = resp.StatusCode
	result.RequestID = resp.Header.Get(headerRequestID)
	result.Version = resp.Header.Get(headerVersion)
	reader := bufio.NewReader(resp.Body)
	_, _ = reader.Peek(1) // Waits for the first byte.
	result.FirstByte = time.Since(scheduled)
	body, err := io.ReadAll(reader)
	result.Body = body
	result.Total = time.Since(scheduled)
	result.Outcome = observedOutcome(resp, body, err)
}

// observedOutcome returns the outcome header, or else derives the outcome from the status and from the completeness of the body.
func observedOutcome(resp *http.Response, body []byte, readErr error) string {
	eventStream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case resp.Header.Get(headerOutcome) != "":
		return resp.Header.Get(headerOutcome)
	case readErr != nil:
		return OutcomeBroken
	case resp.StatusCode >= http.StatusBadRequest:
		return OutcomeRefused
	case eventStream && !bytes.HasSuffix(bytes.TrimSpace(body), []byte(streamTerminator)):
		return OutcomeBroken
	default:
		return OutcomeOK
	}
}
