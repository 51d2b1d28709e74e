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
)

// balancerInterval is the time between two health checks of the balancer's stand-in.
const balancerInterval = 100 * time.Millisecond

// repeaters is the number of callers that repeat orders at the same time.
const repeaters = 16

// Workload describes callers that send requests one after the other.
type Workload struct {
	// Callers is the number of concurrent callers.
	Callers int
	// Pause is the time between an answer and the next request of a caller.
	Pause time.Duration
	// RequestBuilders build the requests; each request takes the next one. Entry is filled in.
	RequestBuilders []func(n int) Request
	// RepeatOneIn repeats the key and body of an earlier order through another entry, once in so many requests; 0 is never.
	RepeatOneIn int
	// ReadyEntriesOnly leaves out entries that do not report ready, as the platform's balancer does.
	ReadyEntriesOnly bool
	// Seed selects entries and repeats.
	Seed int64
}

// Load is a running workload.
type Load struct {
	*Results
	bed      *Bed
	workload Workload
	sent     atomic.Int64
	stop     context.CancelFunc
	done     sync.WaitGroup
	// mu guards ready and orders.
	mu     sync.Mutex
	ready  []string
	orders []Request
}

// KeyedOrder builds orders of the service pool with a key each. prefix makes them unique.
func KeyedOrder(prefix string) func(n int) Request {
	return func(n int) Request {
		r := PlainOrder(prefix + "-keyed")(n)
		r.OrderKey = fmt.Sprintf("%s-%d", prefix, n)
		return r
	}
}

// PlainOrder builds orders without a key.
func PlainOrder(prefix string) func(n int) Request {
	return func(n int) Request {
		return Request{
			Method: http.MethodPost, Path: OrderPath, Caller: caller(n), Body: fmt.Appendf(nil, `{"item":"%s-%d"}`, prefix, n),
		}
	}
}

// StockLookup builds idempotent lookups.
func StockLookup(prefix string) func(n int) Request {
	return func(n int) Request {
		return Request{Method: http.MethodGet, Path: fmt.Sprintf("%s%s-%d", StockPath, prefix, n), Caller: caller(n)}
	}
}

// Chat builds requests of the model pool.
func Chat(prefix string, tokens int, stream bool) func(n int) Request {
	return func(n int) Request {
		body := ChatBody(fmt.Sprintf("%s prompt %d", prefix, n), tokens, stream)
		return Request{Method: http.MethodPost, Path: ChatPath, Caller: caller(n), Body: body}
	}
}

func caller(n int) string { return fmt.Sprintf("small-%d", n%SmallCallers+1) }

// StartLoad starts a workload. It runs until Stop.
func (b *Bed) StartLoad(ctx context.Context, w Workload) *Load {
	ctx, stop := context.WithCancel(ctx)
	l := &Load{Results: newTellings(), bed: b, workload: w, stop: stop}
	for _, e := range b.Nodes(message.RoleEntry) {
		l.ready = append(l.ready, e.ID)
	}
	if w.ReadyEntriesOnly {
		go l.balance(ctx)
	}
	for i := range w.Callers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.run(ctx, rand.New(rand.NewPCG(uint64(w.Seed), uint64(i))))
		}()
	}
	return l
}

// Stop sends no further requests and waits for the answers of those that were sent.
func (l *Load) Stop() *Results {
	l.stop()
	l.done.Wait()
	return l.Results
}

// AwaitAnswers waits until n more requests that match were answered.
func (l *Load) AwaitAnswers(ctx context.Context, n int, match func(Result) bool) error {
	start := l.Count(match)
	for {
		l.Results.mu.Lock()
		changed := l.changed
		l.Results.mu.Unlock()
		if l.Count(match)-start >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("testbed: %d of %d answers before the end: %v", l.Count(match)-start, n, ctx.Err())
		}
	}
}

// SucceededAfter matches whole answers to requests sent after a time.
func SucceededAfter(after time.Time) func(Result) bool {
	return func(t Result) bool { return t.Outcome == OutcomeOK && t.Begin.After(after) }
}

// run sends the requests of one caller. A request outlives ctx, so that its answer is known.
func (l *Load) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		r, ok := l.next(random)
		if ok {
			begin := time.Now()
			reply, err := l.bed.Call(context.WithoutCancel(ctx), r)
			l.add(tell(r, reply, err, begin))
		}
		if l.workload.Pause > 0 || !ok {
			select {
			case <-ctx.Done():
			case <-time.After(max(l.workload.Pause, time.Millisecond)):
			}
		}
	}
}

// next builds the next request. It returns false when no entry is ready.
func (l *Load) next(random *rand.Rand) (Request, bool) {
	n := int(l.sent.Add(1)) - 1
	r := l.workload.RequestBuilders[n%len(l.workload.RequestBuilders)](n)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return r, false
	}
	if one := l.workload.RepeatOneIn; one > 0 && len(l.orders) > 0 && random.IntN(one) == 0 {
		r = l.orders[max(0, len(l.orders)-1-random.IntN(min(len(l.orders), 50)))]
		r.Entry = l.otherEntry(r.Entry, random)
		return r, true
	}
	r.Entry = l.ready[random.IntN(len(l.ready))]
	if r.OrderKey != "" {
		l.orders = append(l.orders, r)
	}
	return r, true
}

// otherEntry selects a ready entry other than one where possible. The caller holds mu.
func (l *Load) otherEntry(not string, random *rand.Rand) string {
	i := random.IntN(len(l.ready))
	if l.ready[i] == not {
		i = (i + 1) % len(l.ready)
	}
	return l.ready[i]
}

// balance keeps the list of ready entries.
func (l *Load) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []string
		for _, e := range l.bed.Nodes(message.RoleEntry) {
			if l.bed.answersOK(ctx, "http://"+e.AdminAddress+"/readyz") {
				ready = append(ready, e.ID)
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(balancerInterval):
		}
	}
}

// RepeatOrders sends every order with a key again through another entry and adds what its callers are told.
func (b *Bed) RepeatOrders(ctx context.Context, t *Results) {
	entries := b.Nodes(message.RoleEntry)
	repeated := make(map[string]bool)
	var group errgroup.Group
	group.SetLimit(repeaters)
	for i, told := range t.All() {
		r := told.Request
		if r.OrderKey == "" || repeated[r.OrderKey] || told.Outcome == OutcomeOK && i%10 != 0 {
			continue // A tenth of the answered orders is enough.
		}
		repeated[r.OrderKey] = true
		for j, e := range entries {
			if e.ID == r.Entry {
				r.Entry = entries[(j+1)%len(entries)].ID
				break
			}
		}
		group.Go(func() error {
			begin := time.Now()
			reply, err := b.Call(ctx, r)
			t.add(tell(r, reply, err, begin))
			return nil
		})
	}
	_ = group.Wait() // No function returns an error.
}

// ConfigWithTimeout returns DefaultConfig with a request timeout that lets tests wait for hung requests.
func ConfigWithTimeout(timeout time.Duration) func(version string) string {
	return func(version string) string {
		return strings.Replace(DefaultConfig(version), `"30s"`, fmt.Sprintf("%q", timeout), 1)
	}
}
