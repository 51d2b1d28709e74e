package relay

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// shutdownCode is the reason in the responses to requests that a shutdown refuses or ends.
	shutdownCode = "shutting-down"
	// shutdownRetryAfter is the Retry-After sent with refusals while the process shuts down: other entries can serve the request at once.
	shutdownRetryAfter = 100 * time.Millisecond
	// durationMargin times the longest recent duration of a request of the same class is the time that a request is expected to take, but
	// at least that duration and silenceAllowance: its upstream may fall silent and go on.
	durationMargin   = 1.5
	silenceAllowance = 1500 * time.Millisecond
	// durationWindow is the time after which the recorded durations are replaced: those of the current and of the previous window count.
	durationWindow = 30 * time.Second
)

// errShutdown is the cause with which the contexts of requests are cancelled that are in progress at the end of a shutdown.
var errShutdown = errors.New("relay: the process shuts down")

// AnswerRequests ends the requests in progress whose response has not begun: each gets a final response. A response that has begun goes on,
// because ending it would leave the caller without a complete one. It is called when the time to shut down is nearly over.
func (r *Relay) AnswerRequests() { r.answerRequests() }

// EndRequests ends all requests in progress: each gets a final response, and a response that has begun is aborted. It is called once, when
// the time to shut down is over.
func (r *Relay) EndRequests() { r.endRequests() }

// outlastsShutdown reports whether the process is shutting down and may end before the request does.
func (x *exchange) outlastsShutdown() bool {
	servedUntil := x.relay.cfg.ServedUntil()
	if servedUntil.IsZero() {
		return false
	}
	if x.relay.answering.Err() != nil {
		return true
	}
	end := x.deadline
	if longest, ok := x.relay.durations.longest(x.trafficClass()); ok {
		expected := max(time.Duration(durationMargin*float64(longest)), longest+silenceAllowance)
		end = earlier(end, x.received.Add(expected))
	}
	return end.After(servedUntil)
}

// endForShutdown responds to a request that is in progress at the end of a shutdown.
func (x *exchange) endForShutdown() {
	if x.possibleRuns > 0 || x.responseStarted.hasBegun() {
		x.respondFailure(http.StatusBadGateway, shutdownCode, "unknown", 0)
		return
	}
	x.refuse(http.StatusServiceUnavailable, shutdownCode, shutdownRetryAfter)
}

// durationTable holds the longest durations of recent requests by class. The zero value is ready for use.
type durationTable struct {
	mu sync.Mutex
	// current holds the durations since began, previous those of the window before.
	current, previous map[string]time.Duration
	began             time.Time
}

// record adds a request that has been served.
func (t *durationTable) record(class string, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	t.current[class] = max(t.current[class], duration)
}

// extend adds a request that ended before it was served, and would have taken longer. It counts only if a duration of its class is known:
// without one, requests are expected to take until their deadline.
func (t *durationTable) extend(class string, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	if known := max(t.current[class], t.previous[class]); known > 0 && elapsed > known {
		t.current[class] = elapsed
	}
}

// longest returns the longest recent duration of a class, and false if none is known.
func (t *durationTable) longest(class string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	d := max(t.current[class], t.previous[class])
	return d, d > 0
}

// rotate begins a new window if the current one is over. The caller holds mu.
func (t *durationTable) rotate() {
	age := time.Since(t.began)
	if t.current != nil && age < durationWindow {
		return
	}
	t.previous = t.current
	if age >= 2*durationWindow {
		t.previous = nil
	}
	t.current, t.began = map[string]time.Duration{}, time.Now()
}
