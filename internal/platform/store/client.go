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

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
	"github.com/pimentohead/pimentohead/internal/platform/store/etcdjson"
)

// Limits of a Client.
const (
	// callTimeout bounds one call from the dial to the last byte of the response.
	callTimeout = 2 * time.Second
	// dialTimeout is shorter than callTimeout so that the caller can make a second connection attempt within its own deadline.
	dialTimeout = time.Second
	// maxBudgetWait is the longest time that a call waits for the call budget. A call that would wait longer fails with
	// ErrBudgetExhausted.
	maxBudgetWait = 250 * time.Millisecond
	// budgetBurstSeconds is the burst of the call budget, in seconds at the full rate.
	budgetBurstSeconds = 0.5
	// maxResponseBytes bounds a response. It is enough for a transaction that reads several values of MaxValueBytes, in base64.
	maxResponseBytes = 16 << 20
	maxIdleConns     = 8
	idleTimeout      = 30 * time.Second
)

// ErrRejected means that the service refused the call as malformed. The call had no effect.
var ErrRejected = errors.New("store: call rejected")

// Client calls the service over the etcd v3 JSON gateway. It implements Store and is safe for concurrent use.
type Client struct {
	baseURL   string
	transport *http.Transport
	http      *http.Client
	budget    *rate.Limiter
	calls     atomic.Uint64
	log       logr.Logger

	restorations restorationDetector
}

var (
	_ Store              = (*Client)(nil)
	_ RestorationCounter = (*Client)(nil)
)

// NewClient returns a client of the service at baseURL that sends at most callsPerSecond calls.
func NewClient(baseURL string, callsPerSecond float64, log logr.Logger) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  callTimeout,
		MaxResponseHeaderBytes: bodyread.MaxHeadBytes,
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

// Restorations implements RestorationCounter.
func (c *Client) Restorations() uint64 { return c.restorations.position().restorations }

// observe passes the header of a response to the detector of restorations. before is what was known before the call.
func (c *Client) observe(before storePosition, header etcdjson.Header) {
	if c.restorations.observe(before, header) {
		c.log.Info("store was restored from an earlier copy", "revision", header.Revision, "last_revision", before.revision)
	}
}

// Close closes idle connections. Calls after Close open new ones.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// callKind determines the error of a call that failed after it was sent: ErrAmbiguous for a writeCall, which may have taken effect, and
// ErrUnavailable for a readCall, which can be repeated.
type callKind int

const (
	// The order matters: a transaction has the largest kind of its operations.
	readCall callKind = iota
	writeCall
)

// acquire takes one call from the budget and counts it, after a wait of at most maxBudgetWait. It returns ErrBudgetExhausted if the wait
// would be longer or ctx ends first.
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

// call sends one request and decodes the response into result.
func (c *Client) call(ctx context.Context, kind callKind, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.acquire(ctx); err != nil {
		return err
	}
	response, sent, err := c.post(ctx, path, request)
	if err != nil {
		return c.classifyError(err, kind, sent, path)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return c.classifyError(err, kind, true, path)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(kind, path, response.StatusCode, body)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return c.classifyError(errors.Wrap(err, "decode response"), kind, true, path)
	}
	return nil
}

// post sends a request. If it fails, the bool reports whether the request may have reached the service.
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

// classifyError marks the error of a call without a complete response as ErrUnavailable or ErrAmbiguous. sent reports whether the request
// may have reached the service.
func (c *Client) classifyError(err error, kind callKind, sent bool, path string) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// The fault that made this connection time out may affect the idle connections too.
		c.transport.CloseIdleConnections()
	}
	mark := ErrUnavailable
	if sent && kind == writeCall {
		mark = ErrAmbiguous
	}
	c.log.V(1).Info("store call failed", "path", path, "sent", sent, "error", err.Error())
	return errors.Mark(errors.Wrapf(err, "store: %s", path), mark)
}

// statusError converts an HTTP error status to ErrUnavailable, ErrLeaseNotFound, ErrAmbiguous or ErrRejected.
func statusError(kind callKind, path string, status int, body []byte) error {
	var detail etcdjson.ErrorResponse
	if status < http.StatusContinue {
		body = nil // net/http accepts a status of 000. The body of such a response may be anything.
	}
	_ = json.Unmarshal(body, &detail) // The message stays empty if the body has another format.
	err := errors.Newf("store: %s: status %d: %s", path, status, detail.Message)
	failed := status >= http.StatusInternalServerError || status < http.StatusContinue
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return errors.Mark(err, ErrUnavailable)
	case detail.Code == etcdjson.CodeNotFound:
		return errors.Mark(err, ErrLeaseNotFound)
	case failed && kind == writeCall:
		return errors.Mark(err, ErrAmbiguous)
	case failed:
		return errors.Mark(err, ErrUnavailable)
	default:
		return errors.Mark(err, ErrRejected)
	}
}
