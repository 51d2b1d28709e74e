// Package origin is the client of the origin of weights and of the weight store, a second source for when the origin fails. Both speak the
// same protocol. platform.Origin is a client for another protocol.
package origin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/platform/bodyread"
)

const (
	// headerTimeout is longer than bodyread.IdleTimeout, because an origin under load queues requests before it responds.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection is kept without a call: chunks that are read one after the other share it. Sources limit the
	// connections of all agents together, and those of an instance that loses power stay open there.
	idleTimeout = 500 * time.Millisecond
	// maxManifestBytes bounds a manifest. It is enough for about 400,000 chunks.
	maxManifestBytes = 32 << 20
	// burstSeconds is the burst of the rate limiter, in seconds at the full rate.
	burstSeconds = 0.1
)

// Errors of a Client.
var (
	// ErrNotFound means that the service does not have the version or chunk.
	ErrNotFound = errors.New("origin: not found")
	// ErrRateLimited marks a *RateLimitedError.
	ErrRateLimited = errors.New("origin: rate limited")
	// ErrUnavailable means that the service could not be reached or failed.
	ErrUnavailable = errors.New("origin: unavailable")
	// ErrStalled means that a response body made no progress within bodyread.IdleTimeout. Such an error is marked ErrUnavailable too.
	ErrStalled = bodyread.ErrStalled
	// ErrTooLarge means that a response body is larger than its limit.
	ErrTooLarge = bodyread.ErrTooLarge
)

// RateLimitedError is returned when the service rejects a request because of its rate limit.
type RateLimitedError struct {
	// RetryAfter is the delay that the service requests before the next attempt, 0 if it names none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "origin: rate limited, retry after " + e.RetryAfter.String()
}

// Delay returns the time to wait before the next attempt.
func (e *RateLimitedError) Delay() time.Duration { return e.RetryAfter }

// Client reads manifests and chunks. It does not verify digests. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// NewClient returns a client that reads at most bytesPerSecond in all its calls together; 0 means unlimited.
func NewClient(baseURL string, bytesPerSecond int64) *Client {
	transport := &http.Transport{ResponseHeaderTimeout: headerTimeout, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 16,
		MaxResponseHeaderBytes: bodyread.MaxHeadBytes}
	client := &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: transport}}
	if bytesPerSecond > 0 {
		burst := max(bodyread.ReadBufferBytes, int(float64(bytesPerSecond)*burstSeconds))
		client.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return client
}

// Manifest reads the encoded manifest of a version, which is given as a digest. It returns ErrNotFound, ErrRateLimited,
// ErrUnavailable or ErrTooLarge.
func (c *Client) Manifest(ctx context.Context, version string) ([]byte, error) {
	return c.get(ctx, "/versions/"+version+"/manifest", maxManifestBytes)
}

// Chunk reads the chunk with the given hash (BLAKE3-256 in hex), of at most maxBytes. It returns ErrNotFound, ErrRateLimited,
// ErrUnavailable or ErrTooLarge.
func (c *Client) Chunk(ctx context.Context, hash string, maxBytes int64) ([]byte, error) {
	return c.get(ctx, "/chunks/"+hash, maxBytes)
}

func (c *Client) get(ctx context.Context, path string, maxBytes int64) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "origin"), ErrUnavailable)
	}
	response, err := c.http.Do(request)
	if err != nil {
		// The fault that made this connection fail may affect the idle connections too.
		c.http.CloseIdleConnections()
		return nil, errors.Mark(errors.Wrap(err, "origin"), ErrUnavailable)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	body, err := bodyread.ReadAll(ctx, cancel, response.Body, maxBytes, c.limiter)
	if errors.Is(err, ErrTooLarge) {
		return nil, errors.Wrapf(err, "origin: %s", path)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "origin: %s", path), ErrUnavailable)
	}
	return body, nil
}

// statusError converts the status of a response to an error, nil for 200.
func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errors.WithStack(ErrNotFound)
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // A missing or malformed value is 0.
		return errors.Mark(errors.WithStack(&RateLimitedError{RetryAfter: time.Duration(seconds) * time.Second}), ErrRateLimited)
	default:
		return errors.Mark(errors.Newf("origin: status %d", response.StatusCode), ErrUnavailable)
	}
}
