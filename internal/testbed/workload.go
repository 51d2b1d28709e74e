package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// readyCheckInterval is the time between two readiness checks of all entries.
const readyCheckInterval = 100 * time.Millisecond

// maxConcurrentRepeats limits the number of orders that RepeatOrders sends at the same time.
const maxConcurrentRepeats = 16

// Workload describes concurrent clients, each of which sends one request after the other.
type Workload struct {
	// Callers is the number of concurrent clients. It is independent of the callers in the configuration, whose names are in
	// Request.Caller.
	Callers int
	// Pause is the time between a response and the client's next request.
	Pause time.Duration
	// RequestBuilders build the requests. They are used in turn. n is the number of the request, from 0. The workload then sets
	// Request.Entry.
	RequestBuilders []func(n int) Request
	// RepeatOneIn is the average number of requests per repeat; 0 means no repeats. A repeat sends an earlier keyed order again,
	// with the same key and body, through another entry if there is one.
	RepeatOneIn int
	// ReadyEntriesOnly is set if only entries that report ready receive requests, as with the load balancer of the platform.
	ReadyEntriesOnly bool
	// Seed seeds the random choice of entries and repeats.
	Seed int64
}

// Load is a running workload with the results so far.
type Load struct {
	*Results
	cluster  *Cluster
	workload Workload
	// built is the number of requests that were built.
	built   atomic.Int64
	stop    context.CancelFunc
	callers sync.WaitGroup
	// mu guards ready and orders.
	mu sync.Mutex
	// ready holds the IDs of the entries that receive requests.
	ready []string
	// orders holds the keyed orders that can be repeated.
	orders []Request
}

// KeyedOrder returns a builder of orders to the service pool, each with its own idempotency key. prefix distinguishes them from the
// orders of other builders.
func KeyedOrder(prefix string) func(n int) Request {
	return func(n int) Request {
		r := PlainOrder(prefix + "-keyed")(n)
		r.IdempotencyKey = fmt.Sprintf("%s-%d", prefix, n)
		return r
	}
}

// PlainOrder returns a builder of orders without an idempotency key.
func PlainOrder(prefix string) func(n int) Request {
	return func(n int) Request {
		return Request{
			Method: http.MethodPost, Path: OrderPath, Caller: callerName(n), Body: fmt.Appendf(nil, `{"item":"%s-%d"}`, prefix, n),
		}
	}
}

// StockLookup returns a builder of stock lookups, which are idempotent.
func StockLookup(prefix string) func(n int) Request {
	return func(n int) Request {
		return Request{Method: http.MethodGet, Path: fmt.Sprintf("%s%s-%d", StockPath, prefix, n), Caller: callerName(n)}
	}
}

// Chat returns a builder of chat requests to the model pool, with at most the given number of tokens.
func Chat(prefix string, tokens int, stream bool) func(n int) Request {
	return func(n int) Request {
		body := ChatBody(fmt.Sprintf("%s prompt %d", prefix, n), tokens, stream)
		return Request{Method: http.MethodPost, Path: ChatPath, Caller: callerName(n), Body: body}
	}
}

// callerName returns the name of the small caller that sends request n.
func callerName(n int) string { return fmt.Sprintf("small-%d", n%SmallCallers+1) }

// StartLoad starts a workload. It runs until Stop is called or ctx is done.
func (c *Cluster) StartLoad(ctx context.Context, w Workload) *Load {
	ctx, stop := context.WithCancel(ctx)
	l := &Load{Results: newResults(), cluster: c, workload: w, stop: stop}
	for _, e := range c.Nodes(message.RoleEntry) {
		l.ready = append(l.ready, e.ID)
	}
	if w.ReadyEntriesOnly {
		go l.trackReadyEntries(ctx)
	}
	for i := range w.Callers {
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			l.runCaller(ctx, rand.New(rand.NewPCG(uint64(w.Seed), uint64(i))))
		}()
	}
	return l
}

// Stop ends the workload, waits for the responses to all requests that were sent and returns the results.
func (l *Load) Stop() *Results {
	l.stop()
	l.callers.Wait()
	return l.Results
}

// AwaitAnswers waits until n results for which match returns true have been added since the call. It returns an error if ctx is
// done first.
func (l *Load) AwaitAnswers(ctx context.Context, n int, match func(Result) bool) error {
	initial := l.Count(match)
	for {
		l.Results.mu.Lock()
		changed := l.changed
		l.Results.mu.Unlock()
		if l.Count(match)-initial >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("testbed: received %d of %d matching results: %v", l.Count(match)-initial, n, ctx.Err())
		}
	}
}

// SucceededAfter returns a function that matches successful results of requests sent after a time.
func SucceededAfter(after time.Time) func(Result) bool {
	return func(r Result) bool { return r.Outcome == OutcomeOK && r.Begin.After(after) }
}

// runCaller sends the requests of one client until ctx is done. The end of ctx does not cancel a request in flight, so that its
// result is known.
func (l *Load) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		r, ok := l.nextRequest(random)
		if ok {
			begin := time.Now()
			reply, err := l.cluster.Call(context.WithoutCancel(ctx), r)
			l.add(newResult(r, reply, err, begin))
		}
		if l.workload.Pause > 0 || !ok {
			select {
			case <-ctx.Done():
			case <-time.After(max(l.workload.Pause, time.Millisecond)):
			}
		}
	}
}

// nextRequest builds the next request. It returns false if no entry is ready.
func (l *Load) nextRequest(random *rand.Rand) (Request, bool) {
	n := int(l.built.Add(1)) - 1
	r := l.workload.RequestBuilders[n%len(l.workload.RequestBuilders)](n)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return r, false
	}
	if oneIn := l.workload.RepeatOneIn; oneIn > 0 && len(l.orders) > 0 && random.IntN(oneIn) == 0 {
		// One of the last 50 keyed orders is repeated.
		r = l.orders[max(0, len(l.orders)-1-random.IntN(min(len(l.orders), 50)))]
		r.Entry = l.otherEntry(r.Entry, random)
		return r, true
	}
	r.Entry = l.ready[random.IntN(len(l.ready))]
	if r.IdempotencyKey != "" {
		l.orders = append(l.orders, r)
	}
	return r, true
}

// otherEntry selects a ready entry, not the excluded one unless it is the only one. The caller must hold mu.
func (l *Load) otherEntry(excluded string, random *rand.Rand) string {
	i := random.IntN(len(l.ready))
	if l.ready[i] == excluded {
		i = (i + 1) % len(l.ready)
	}
	return l.ready[i]
}

// trackReadyEntries updates the list of ready entries until ctx is done.
func (l *Load) trackReadyEntries(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []string
		for _, e := range l.cluster.Nodes(message.RoleEntry) {
			if l.cluster.answersOK(ctx, "http://"+e.AdminAddress+"/readyz") {
				ready = append(ready, e.ID)
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
		pause.For(ctx, readyCheckInterval)
	}
}

// RepeatOrders sends keyed orders again and adds the results: all orders that did not succeed and about a tenth of those that did.
// Each order goes through another entry if there is one. Each idempotency key is sent once.
func (c *Cluster) RepeatOrders(ctx context.Context, results *Results) {
	entries := c.Nodes(message.RoleEntry)
	repeated := make(map[string]bool)
	var group errgroup.Group
	group.SetLimit(maxConcurrentRepeats)
	for i, result := range results.All() {
		r := result.Request
		if r.IdempotencyKey == "" || repeated[r.IdempotencyKey] || result.Outcome == OutcomeOK && i%10 != 0 {
			continue // A tenth of the successful orders is enough.
		}
		repeated[r.IdempotencyKey] = true
		for j, e := range entries {
			if e.ID == r.Entry {
				r.Entry = entries[(j+1)%len(entries)].ID
				break
			}
		}
		group.Go(func() error {
			begin := time.Now()
			reply, err := c.Call(ctx, r)
			results.add(newResult(r, reply, err, begin))
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
}

// ConfigWithTimeout returns a function for Fleet.Config that returns DefaultConfig with another request timeout. A short timeout
// lets tests wait until requests that hang have timed out.
func ConfigWithTimeout(timeout time.Duration) func(version string) string {
	return func(version string) string {
		return strings.Replace(DefaultConfig(version), `"30s"`, fmt.Sprintf("%q", timeout), 1)
	}
}
