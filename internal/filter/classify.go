package filter

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
)

const (
	headerPriority         = "Pimentohead-Priority"
	headerIdempotencyKey   = "Idempotency-Key"
	maxIdempotencyKeyBytes = 255
	defaultRequestTimeout  = 30 * time.Second
)

// Classify finds the route of a request. It sets the route, pool, priority, first-byte target, idempotency key, stream flag, cost,
// prompt prefix and deadline of the exchange.
type Classify struct{}

// Apply implements Filter.
func (f Classify) Apply(ctx context.Context, x *Exchange, next Handler) error {
	cfg := x.Active.Config
	route, ok := findRoute(cfg.Routes, x.Request.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, "no-route", "no route for this path")
	}
	methods := route.Methods
	if len(methods) == 0 {
		methods = []string{http.MethodGet, http.MethodPost}
	}
	if !slices.Contains(methods, x.Request.Method) {
		failure := refuse(http.StatusMethodNotAllowed, "method-not-allowed", "the route does not allow this method")
		failure.Allow = strings.Join(methods, ", ")
		return failure
	}
	x.Route = route
	for _, pool := range cfg.Pools {
		if pool.Name == route.Pool {
			x.Pool = pool
		}
	}
	if err := setPriority(x, cfg); err != nil {
		return err
	}
	if err := setIdempotencyKey(x); err != nil {
		return err
	}
	inspectBody(x)
	timeout := orDefault(cfg.Limits.RequestTimeout.Std(), defaultRequestTimeout)
	x.Deadline = x.Start.Add(timeout)
	return next(ctx, x)
}

// findRoute returns the route whose path equals path, or else the one with the longest matching prefix. A route whose path ends in
// a slash matches as a prefix. The bool reports whether a route was found.
func findRoute(routes []config.Route, path string) (config.Route, bool) {
	best, found := config.Route{}, false
	for _, route := range routes {
		if route.Path == path {
			return route, true
		}
		prefix := strings.HasSuffix(route.Path, "/") && strings.HasPrefix(path, route.Path)
		if prefix && len(route.Path) > len(best.Path) {
			best, found = route, true
		}
	}
	return best, found
}

// setPriority sets the priority that the request's header names, or else the route's default. A caller that may not use the
// default gets the least urgent priority that it may use. A caller that requests a priority that it may not use is refused.
func setPriority(x *Exchange, cfg *config.Config) error {
	name, requested := x.Route.Priority, x.Request.Header.Get(headerPriority)
	allowed := x.Caller.Priorities
	if requested != "" {
		name = requested
	}
	if len(allowed) > 0 && !slices.Contains(allowed, name) {
		if requested != "" {
			return refuse(http.StatusForbidden, "priority-not-allowed", "the caller may not use this priority")
		}
		name = leastUrgent(cfg.Priorities, allowed)
	}
	for i, priority := range cfg.Priorities {
		if priority.Name == name {
			x.Priority, x.PriorityName = i, name
			if target := priority.Target.Std(); target > 0 {
				x.FirstByteTarget = x.Start.Add(target)
			}
			return nil
		}
	}
	return refuse(http.StatusBadRequest, "unknown-priority", "the priority is not known")
}

// leastUrgent returns the last of priorities that is among allowed, or "". Priorities are ordered from the most to the least
// urgent.
func leastUrgent(priorities []config.Priority, allowed []string) string {
	for _, priority := range slices.Backward(priorities) {
		if slices.Contains(allowed, priority.Name) {
			return priority.Name
		}
	}
	return ""
}

// setIdempotencyKey sets the key from the Idempotency-Key header. On an idempotent route the key is ignored, because the request
// may be repeated. A key of more than 255 bytes is refused on every route.
func setIdempotencyKey(x *Exchange) error {
	key := x.Request.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return refuse(http.StatusBadRequest, "key-too-long", "Idempotency-Key has more than 255 bytes")
	}
	if !x.Route.Idempotent {
		x.IdempotencyKey = key
	}
	return nil
}
