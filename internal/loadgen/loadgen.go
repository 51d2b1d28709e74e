// Package loadgen sends HTTP requests to entries on an open-loop schedule and records what callers observe.
//
// An open-loop generator sends each request at its scheduled time whether or not earlier answers have arrived, so that a slow
// system does not reduce the load on itself. Latency is measured from the scheduled time.
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
	// Targets are the base URLs of entries, used round-robin.
	Targets []string
	// Method and Path select the route.
	Method string
	Path   string
	// Key is the caller's API key, sent as a bearer token.
	Key string
	// Priority is sent as Pimentohead-Priority when it is not empty.
	Priority string
	// Body builds the body of request n; nil sends none.
	Body func(n int) []byte
	// IdempotencyKey builds the Idempotency-Key of request n; nil sends none.
	IdempotencyKey func(n int) string
	// Rate is the mean number of requests per second. Intervals between requests are exponentially distributed.
	Rate float64
	// FirstByteTarget is the latency of the first byte up to which a successful answer counts as in time; 0 counts all of them.
	FirstByteTarget time.Duration
	// MaxOutstanding bounds the requests in progress; requests above it are counted as Skipped. 0 means 2000.
	MaxOutstanding int
	// Check reports whether a complete successful answer is the answer to request n; nil checks nothing.
	Check func(n int, header http.Header, body []byte) bool
	// Stop ends the schedule early when it is closed; Run still waits for requests in progress. May be nil.
	Stop <-chan struct{}
	// Observe is called with each result; it must be safe for concurrent use. May be nil.
	Observe func(Result)
}

// Result is what the caller of one request observed.
type Result struct {
	// N is the number of the request within its stream, from 0.
	N int
	// Target is the base URL of the entry to which the request was sent.
	Target         string
	RequestID      string
	IdempotencyKey string
	// Status is the HTTP status code, 0 when no response arrived.
	Status int
	// Outcome is the value of the outcome header or, without that header, one of the Outcome constants.
	Outcome string
	// Version is the model version that served the request, as the upstream names it in the response.
	Version string
	// Scheduled is the time at which the request was due. FirstByte and Total are measured from it.
	Scheduled time.Time
	FirstByte time.Duration
	Total     time.Duration
	// Mismatch is set when Stream.Check rejected the answer.
	Mismatch bool
	Body     []byte
}

// Summary aggregates the results of one stream.
type Summary struct {
	// Sent counts all requests except the Skipped ones. Each of them is also counted by its outcome: OK, NotRun, Unknown, Broken, or
	// Failed for any other. InTime and Mismatched are subsets of OK.
	Sent, OK, InTime, NotRun, Failed, Unknown, Broken, Skipped, Mismatched int64
	// FirstByte and Total are latency histograms of successful answers in microseconds.
	FirstByte, Total *hdrhistogram.Histogram
}

// Range of the histograms in microseconds, their precision in significant digits, and the default of Stream.MaxOutstanding.
const (
	minRecordedMicros     = 1
	maxRecordedMicros     = 120_000_000
	significantDigits     = 3
	defaultMaxOutstanding = 2000
)

// InTimeShare returns the fraction, from 0 to 1, of scheduled requests, skipped ones included, that succeeded within the target.
func (s *Summary) InTimeShare() float64 {
	if s.Sent+s.Skipped == 0 {
		return 0
	}
	return float64(s.InTime) / float64(s.Sent+s.Skipped)
}

// FirstBytePercentile returns the percentile q, from 0 to 100, of the time to first byte.
func (s *Summary) FirstBytePercentile(q float64) time.Duration {
	return time.Duration(s.FirstByte.ValueAtQuantile(q)) * time.Microsecond
}

// TotalPercentile returns the percentile q, from 0 to 100, of the time to the complete answer.
func (s *Summary) TotalPercentile(q float64) time.Duration {
	return time.Duration(s.Total.ValueAtQuantile(q)) * time.Microsecond
}

// Client sends requests over a shared connection pool.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps up to the given number of idle connections per entry. timeout bounds a whole request.
func NewClient(connections int, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: connections, MaxIdleConns: 0, DisableCompression: true}
	return &Client{http: &http.Client{Transport: transport, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the stream's requests for the duration and waits for the answers. It returns early when ctx ends. The intervals
// between requests are determined by the seed and by the lengths of the stream's key and path.
func (c *Client) Run(ctx context.Context, s Stream, duration time.Duration, seed int64) *Summary {
	rng := rand.New(rand.NewPCG(uint64(seed), uint64(len(s.Key)+len(s.Path))))
	rec := newRecorder()
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
			rec.countSkipped()
			continue
		}
		outstanding.Add(1)
		wg.Add(1)
		go func(n int, scheduled time.Time) {
			defer wg.Done()
			defer outstanding.Add(-1)
			result := c.Do(ctx, &s, n, scheduled)
			rec.record(&s, result)
		}(n, next)
	}
	wg.Wait()
	return rec.summary
}

// sleepUntil waits until t. It reports whether t was reached before stop was closed or ctx ended.
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
