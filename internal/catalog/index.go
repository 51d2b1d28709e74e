package catalog

import (
	"strings"
	"time"
)

// Index provides look-ups in one configuration. It is immutable and safe for concurrent use.
type Index struct {
	Config    *Config
	byHost    map[string][]*Route
	byKey     map[string]*Customer
	byService map[string]*Service
	// routesByName and customersByName hold all that have a name, in the order of the configuration. Names need not be unique.
	routesByName    map[string][]*Route
	customersByName map[string][]*Customer
	// latencyTargets holds the shortest latency target of the routes to each service.
	latencyTargets map[string]time.Duration
}

// NewIndex returns an index of a configuration, which must not change afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{Config: c, byHost: map[string][]*Route{}, byKey: map[string]*Customer{}, byService: map[string]*Service{},
		routesByName: map[string][]*Route{}, customersByName: map[string][]*Customer{}, latencyTargets: map[string]time.Duration{}}
	for i := range c.Routes {
		host := canonicalHost(c.Routes[i].Host)
		x.byHost[host] = append(x.byHost[host], &c.Routes[i])
		x.routesByName[c.Routes[i].Name] = append(x.routesByName[c.Routes[i].Name], &c.Routes[i])
		for _, t := range c.Routes[i].Targets {
			if shortest := x.latencyTargets[t.Service]; c.Routes[i].LatencyTarget > 0 &&
				(shortest == 0 || c.Routes[i].LatencyTarget < shortest) {
				x.latencyTargets[t.Service] = c.Routes[i].LatencyTarget
			}
		}
	}
	for i := range c.Customers {
		x.customersByName[c.Customers[i].Name] = append(x.customersByName[c.Customers[i].Name], &c.Customers[i])
		for _, key := range c.Customers[i].Keys {
			if key != "" { // The key of a request without one.
				x.byKey[key] = &c.Customers[i]
			}
		}
	}
	for i := range c.Services {
		x.byService[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Route returns the route of a host with the longest prefix that matches path, or nil.
func (x *Index) Route(host, path string) *Route {
	var best *Route
	for _, r := range x.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Customer returns the owner of an API key, or nil. No customer owns the empty key, which stands for a request without a key.
func (x *Index) Customer(key string) *Customer { return x.byKey[key] }

// RoutesNamed and CustomersNamed return all routes and customers with a name. The slices must not be changed.
func (x *Index) RoutesNamed(name string) []*Route { return x.routesByName[name] }

// CustomersNamed is described at RoutesNamed.
func (x *Index) CustomersNamed(name string) []*Customer { return x.customersByName[name] }

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.byService[name] }

// ShortestLatencyTarget returns the shortest latency target of the routes to a service, or 0 if none is set.
func (x *Index) ShortestLatencyTarget(service string) time.Duration { return x.latencyTargets[service] }

// PickService selects a service of the route by weight. draw is uniform in [0, 1). It returns an empty name if the route has no
// targets.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * total
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// canonicalHost returns a host name in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
