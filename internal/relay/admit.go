package relay

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/membudget"
	"github.com/pimentohead/pimentohead/internal/residency"
)

// admit resolves the route, customer, rank, service and deadline of the request and reads its body. It refuses a request that cannot be
// served and returns false.
func (x *exchange) admit() bool {
	x.snapshot = x.relay.cfg.State.Snapshot()
	if !x.snapshot.Ready() {
		x.refuse(http.StatusServiceUnavailable, "starting", startingRetryAfter)
		return false
	}
	index := x.snapshot.Index
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	x.route = index.Route(x.req.Host, path)
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no-route", 0)
		return false
	}
	if !x.authorise(index) {
		x.refuse(http.StatusUnauthorized, "unknown-key", 0)
		return false
	}
	x.regions = residency.NewRule(x.relay.cfg.Regions, index, x.route, index.Customer(x.meta.Key))
	x.rank = x.effectiveRank(index)
	x.useService(x.route.PickService(rand.Float64()))
	x.limitWrites(x.deadline)
	if !x.readBody(index.Config.Limits.MaxBodyBytes) {
		return false
	}
	x.recognise()
	return true
}

// useService sets the service, its engine and the deadline of the request.
func (x *exchange) useService(service string) {
	x.service, x.engine = service, nil
	if s := x.snapshot.Index.Service(service); s != nil {
		x.engine = s.Engine
	}
	x.deadline = x.received.Add(defaultDeadline)
	for _, limit := range []time.Duration{x.route.Timeout, x.meta.Timeout} {
		if limit > 0 {
			x.deadline = earlier(x.deadline, x.received.Add(limit))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// authorise resolves the customer from the API key. It reports whether the request is allowed: with a known key, on a public
// route, or if the configuration requires no key.
func (x *exchange) authorise(index *catalog.Index) bool {
	if c := index.Customer(x.meta.Key); c != nil {
		x.customer = c.Name
		return true
	}
	return x.route.Public || !index.Config.RequiresKey()
}

// effectiveRank returns the scheduling rank, from 0, the most urgent, to 8. Requests rank by the priority of the customer, or of the
// route if the customer has none, and among equals by the priority of the route.
func (x *exchange) effectiveRank(index *catalog.Index) int {
	priority := x.route.Priority
	if c := index.Customer(x.meta.Key); c != nil && c.HasPriority {
		priority = c.Priority
	}
	last := priorityLevels - 1
	return min(max(priority, 0), last)*priorityLevels + min(max(x.route.Priority, 0), last)
}

// priorityLevels is the number of priorities that are distinguished; less urgent ones count as the last. An upstream accepts ranks 0 to
// 9, of which the combinations of customer and route priority take 0 to 8. Late requests share the last rank of their customer
// priority, see upstreamRank.
const priorityLevels = 3

// readBody reads the body, limited to limit bytes; 0 or less selects defaultMaxBody. It refuses a larger body, one that does not fit into the
// memory budget, and one that has not arrived at the deadline of the request, and returns false then. If the caller's connection fails, it
// panics with http.ErrAbortHandler.
func (x *exchange) readBody(limit int) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.req.ContentLength > int64(limit) {
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	if x.req.ContentLength == 0 {
		x.body = []byte{}
		return true
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.deadline) // A caller that does not send what it announced holds its part of the budget no longer.
	body, err := x.bodyHeld.ReadAll(http.MaxBytesReader(x.w, x.req.Body, int64(limit)), int(x.req.ContentLength), limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.body = []byte{} // The rest is not awaited: the read deadline stays.
		x.bodyHeld.Release()
		x.refuse(http.StatusServiceUnavailable, "timeout", declinedRetryAfter)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, membudget.ErrExhausted):
		x.bodyHeld.Release()
		x.logMemory("body")
		x.refuse(http.StatusServiceUnavailable, memoryCode, memoryRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		x.bodyHeld.Release() // The refusal first reads and discards the rest of the body.
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	case err != nil:
		x.relay.cfg.Log.Info("request body could not be read", "request", x.meta.ID, "cause", err.Error())
		x.recordOutcome(reasonUnread, 0)
		x.leaveUnanswered(reasonUnread)
	}
	x.body = body
	return true
}
