package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// Limits of a Client.
const (
	// callTimeout bounds one call from dial to the last byte of its answer.
	callTimeout = 2 * time.Second
	// dialTimeout leaves room for a second connection attempt by the caller within its own deadline.
	dialTimeout = time.Second
	// maxBudgetWait bounds how long a call over budget waits before it fails with ErrBudget.
	maxBudgetWait = 250 * time.Millisecond
	// budgetBurstSeconds is the burst in seconds of budget.
	budgetBurstSeconds = 0.5
	// maxAnswerBytes holds a transaction that reads several values of MaxValueBytes, in base64.
	maxAnswerBytes = 16 << 20
	maxIdleConns   = 8
	idleTimeout    = 30 * time.Second
)

// ErrRejected means that the service refused the call as malformed. The call had no effect.
var ErrRejected = errors.New("store: call rejected")

// Client calls the service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL   string
	transport *http.Transport
	http      *http.Client
	budget    *rate.Limiter
	calls     atomic.Uint64
	log       logr.Logger
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the service at baseURL that sends at most callsPerSecond calls.
func NewClient(baseURL string, callsPerSecond float64, log logr.Logger) *Client {
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:   maxIdleConns,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: callTimeout,
	}
	burst := int(math.Max(1, math.Ceil(callsPerSecond*budgetBurstSeconds)))
	return &Client{
		baseURL:   strings.TrimRight(baseURL, "/"),
		transport: transport,
		http:      &http.Client{Transport: transport},
		budget:    rate.NewLimiter(rate.Limit(callsPerSecond), burst),
		log:       log,
	}
}

// Calls returns the number of calls sent to the service. Calls refused by the budget are not counted.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections. Calls after Close open new ones.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// effect tells what a call that failed after it was sent may have done.
type effect int

const (
	reads effect = iota
	writes
)

// acquire takes one call from the budget.
func (c *Client) acquire(ctx context.Context) error {
	reservation := c.budget.Reserve()
	delay := reservation.Delay()
	if !reservation.OK() || delay > maxBudgetWait {
		reservation.Cancel()
		return errors.Mark(errors.WithStack(ErrBudgetExhausted), ErrUnavailable)
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			reservation.Cancel()
			return errors.Mark(errors.Mark(errors.Wrap(ctx.Err(), "store: call budget"), ErrBudgetExhausted), ErrUnavailable)
		}
	}
	c.calls.Add(1)
	return nil
}

// call sends one request and decodes its answer.
func (c *Client) call(ctx context.Context, kind effect, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.acquire(ctx); err != nil {
		return err
	}
	response, sent, err := c.post(ctx, path, request)
	if err != nil {
		return c.failure(err, kind, sent, path)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return c.failure(err, kind, true, path)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(kind, path, response.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return c.failure(errors.Wrap(err, "decode answer"), kind, true, path)
	}
	return nil
}

// post sends a request. sent tells whether the request may have reached the service when err is not nil.
func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, bool, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode request")
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "build request")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	return response, sent.Load(), err
}

// failure classifies an error of a call that got no complete answer.
func (c *Client) failure(err error, kind effect, sent bool, path string) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// Idle connections may have gone silent together with the one that timed out.
		c.transport.CloseIdleConnections()
	}
	mark := ErrUnavailable
	if sent && kind == writes {
		mark = ErrAmbiguous
	}
	c.log.V(1).Info("store call failed", "path", path, "sent", sent, "error", err.Error())
	return errors.Mark(errors.Wrapf(err, "store: %s", path), mark)
}

// statusError converts an HTTP error status.
func statusError(kind effect, path string, status int, body []byte) error {
	var detail etcdjson.ErrorResponse
	_ = json.Unmarshal(body, &detail) // A body of another form leaves the message empty.
	err := errors.Newf("store: %s: status %d: %s", path, status, detail.Message)
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return errors.Mark(err, ErrUnavailable)
	case detail.Code == etcdjson.CodeNotFound:
		return errors.Mark(err, ErrLeaseNotFound)
	case status >= http.StatusInternalServerError && kind == writes:
		return errors.Mark(err, ErrAmbiguous)
	case status >= http.StatusInternalServerError:
		return errors.Mark(err, ErrUnavailable)
	default:
		return errors.Mark(err, ErrRejected)
	}
}
