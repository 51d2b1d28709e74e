// Package loadgen sends HTTP requests to entries on an open-loop schedule and records what callers observe.
//
// An open loop sends at the scheduled times whether or not earlier answers have arrived, so that a slow system does not
// reduce its own load. Latency is counted from the scheduled time.
package loadgen

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stream describes the requests of one caller at one priority.
type Stream struct {
	// Targets are the base URLs of entries, used in turn.
	Targets []string
	// Method and Path select the route.
	Method string
	Path   string
	// Key is the caller's API key.
	Key string
	// Priority is sent as Pimentohead-Priority when it is not empty.
	Priority string
	// Body builds the body of request n.
	Body func(n int) []byte
	// IdempotencyKey builds the Idempotency-Key of request n; nil sends none.
	IdempotencyKey func(n int) string
	// Rate is the mean number of requests a second. Gaps are exponentially distributed.
	Rate float64
	// FirstByteTarget is the time within which the first byte counts as in time.
	FirstByteTarget time.Duration
	// MaxOutstanding bounds requests in progress; further ones are counted as Skipped. Default 2000.
	MaxOutstanding int
	// Check inspects a whole successful answer and returns false when it is not the answer to request n.
	Check func(n int, header http.Header, body []byte) bool
	// Stop ends the schedule early; requests in progress are answered. nil never ends it.
	Stop <-chan struct{}
	// Observe is called with each result; it must be safe for concurrent use.
	Observe func(Result)
}

// Result is what the caller of one request observed.
type Result struct {
	N              int
	Target         string
	RequestID      string
	IdempotencyKey string
	Status         int
	// Outcome is the outcome header, "ok" for a whole answer, and "broken" when the connection ended early.
	Outcome string
	Version string
	// Scheduled is when the request should have been sent. FirstByte and Total count from it.
	Scheduled time.Time
	FirstByte time.Duration
	Total     time.Duration
	Mismatch  bool
	Body      []byte
}

// Summary aggregates the results of one stream.
type Summary struct {
	Sent, OK, InTime, NotRun, Failed, Unknown, Broken, Skipped, Mismatched int64
	// FirstByte and Total are histograms of successful answers in microseconds.
	FirstByte, Total *hdrhistogram.Histogram
}

// Bounds of the histograms in microseconds and their precision in digits.
const (
	minRecordedMicros     = 1
	maxRecordedMicros     = 120_000_000
	significantDigits     = 3
	defaultMaxOutstanding = 2000
)

// InTimeShare is the share of sent requests that succeeded within the target.
func (s *Summary) InTimeShare() float64 {
	if s.Sent+s.Skipped == 0 {
		return 0
	}
	return float64(s.InTime) / float64(s.Sent+s.Skipped)
}

// FirstByteQuantile returns a quantile of the time to first byte, q in 0..100.
func (s *Summary) FirstByteQuantile(q float64) time.Duration {
	return time.Duration(s.FirstByte.ValueAtQuantile(q)) * time.Microsecond
}

// TotalQuantile returns a quantile of the time to the whole answer, q in 0..100.
func (s *Summary) TotalQuantile(q float64) time.Duration {
	return time.Duration(s.Total.ValueAtQuantile(q)) * time.Microsecond
}

// Client sends requests over a shared connection pool.
type Client struct {
	http *http.Client
}

// NewClient returns a client with up to connections idle connections per entry.
func NewClient(connections int, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: connections, MaxIdleConns: 0, DisableCompression: true}
	return &Client{http: &http.Client{Transport: transport, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the stream's requests for the duration and waits for the answers. It returns early when ctx ends.
func (c *Client) Run(ctx context.Context, s Stream, duration time.Duration, seed int64) *Summary {
	rng := rand.New(rand.NewPCG(uint64(seed), uint64(len(s.Key)+len(s.Path))))
	sum := newRecorder()
	var wg sync.WaitGroup
	var outstanding atomic.Int64
	limit := int64(s.MaxOutstanding)
	if limit == 0 {
		limit = defaultMaxOutstanding
	}
	start := time.Now()
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.Sub(start) > duration || !sleepUntil(ctx, s.Stop, next) {
			break
		}
		if outstanding.Load() >= limit {
			sum.skip()
			continue
		}
		outstanding.Add(1)
		wg.Add(1)
		go func(n int, scheduled time.Time) {
			defer wg.Done()
			defer outstanding.Add(-1)
			result := c.Do(ctx, &s, n, scheduled)
			sum.add(&s, result)
		}(n, next)
	}
	wg.Wait()
	return sum.summary
}

func sleepUntil(ctx context.Context, stop <-chan struct{}, t time.Time) bool {
	timer := time.NewTimer(max(0, time.Until(t)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-stop:
		return false
	case <-ctx.Done():
		return false
	}
}
