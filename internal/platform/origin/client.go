// Package origin is the client of the origin of weights and of the weight store, which share one protocol.
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
	// headerTimeout is longer than the idle timeout: a loaded origin queues requests before it answers.
	headerTimeout = 5 * time.Second
	// maxManifestBytes holds about 400,000 chunks.
	maxManifestBytes = 32 << 20
	// burstSeconds is the burst of the rate limit in seconds.
	burstSeconds = 0.1
)

// Errors of a Client.
var (
	// ErrNotFound means that the service does not hold the version or chunk.
	ErrNotFound = errors.New("origin: not found")
	// ErrRateLimited marks a *RateLimitedError.
	ErrRateLimited = errors.New("origin: rate limited")
	// ErrUnavailable means that the service could not be reached or failed.
	ErrUnavailable = errors.New("origin: unavailable")
	// ErrStalled means that a body stopped. It is marked ErrUnavailable too.
	ErrStalled = bodyread.ErrStalled
	// ErrTooLarge means that an answer exceeds the bound.
	ErrTooLarge = bodyread.ErrTooLarge
)

// RateLimitedError tells when to try again.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "origin: rate limited, retry after " + e.RetryAfter.String()
}

// Delay returns how long to wait before the next try.
func (e *RateLimitedError) Delay() time.Duration { return e.RetryAfter }

// Client reads manifests and chunks. It does not verify digests. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// NewClient returns a client that reads at most bytesPerSecond over all calls; 0 is unlimited.
func NewClient(baseURL string, bytesPerSecond int64) *Client {
	transport := &http.Transport{ResponseHeaderTimeout: headerTimeout, IdleConnTimeout: time.Minute, MaxIdleConnsPerHost: 16}
	client := &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: transport}}
	if bytesPerSecond > 0 {
		burst := max(bodyread.ReadBufferBytes, int(float64(bytesPerSecond)*burstSeconds))
		client.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return client
}

// Manifest reads the manifest of a version.
func (c *Client) Manifest(ctx context.Context, version string) ([]byte, error) {
	return c.get(ctx, "/versions/"+version+"/manifest", maxManifestBytes)
}

// Chunk reads a chunk of at most maxBytes.
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
