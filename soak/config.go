package main

import (
	"fmt"
	"slices"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// Values between which changes of the configuration alternate. Callers reuse connections that have been idle for longer than shortIdleMS.
const (
	idleMS, shortIdleMS       = 20_000, 300
	timeoutMS, shortTimeoutMS = 4000, 3500
	addedRoutes               = 200
	callerKey, spareKey       = "k", "spare"
	stockWeight, deskWeight   = 1, 3
)

// fleetConfig is the part of the configuration that changes. The zero value is the first configuration with its idle limit raised.
type fleetConfig struct {
	// shortIdle lowers the idle limit, shortTimeouts the timeouts of routes.
	shortIdle, shortTimeouts bool
	// moved sends two routes to the service "stock" instead of "desk", split a share of the requests on two others.
	moved, split bool
	// spareKey adds an API key that no caller uses, manyRoutes routes that no caller uses.
	spareKey, manyRoutes bool
	// customers is the list of customers.
	customers customerList
}

// configChange is one kind of change of the configuration. Applied again, it is undone.
type configChange struct {
	name  string
	apply func(*fleetConfig)
}

var (
	changeIdleLimit = configChange{"idle limit", func(c *fleetConfig) { c.shortIdle = !c.shortIdle }}
	configChanges   = []configChange{
		changeIdleLimit,
		{"route timeouts", func(c *fleetConfig) { c.shortTimeouts = !c.shortTimeouts }},
		{"routes moved", func(c *fleetConfig) { c.moved = !c.moved }},
		{"routes split", func(c *fleetConfig) { c.split = !c.split }},
		{"unused key", func(c *fleetConfig) { c.spareKey = !c.spareKey }},
		{"many routes", func(c *fleetConfig) { c.manyRoutes = !c.manyRoutes }},
	}
)

// configPath returns the path of the route that only one version of the configuration has.
func configPath(version int64) string { return fmt.Sprintf("/v%d/", version) }

// document returns a version of the configuration as it is written to the store. The path of one of its routes contains the version, so that
// callers can see which configuration an entry uses.
func (c fleetConfig) document(version int64, originAddress string) map[string]any {
	idle, keys := idleMS, []string{callerKey}
	if c.shortIdle {
		idle = shortIdleMS
	}
	if c.spareKey {
		keys = append(keys, spareKey)
	}
	config := map[string]any{"version": version,
		"limits": map[string]any{"idle_timeout_ms": idle},
		"routes": c.routes(version),
		"services": []any{
			map[string]any{"name": "pool", "engine": map[string]any{"slots": 16, "stride": 5, "step_ms": 1, "read_per_s": 100000,
				"chunk": 2048, "layers": standin.Layers, "chunks": standin.Chunks, "usual": map[string]any{"prompt": 100, "answer": 20},
				"models": []any{map[string]any{"name": "m", "warm_s": 0.02}}}},
			map[string]any{"name": "desk"},
			map[string]any{"name": "stock"},
			map[string]any{"name": "weights", "origin": originAddress, "zone": dataCentreName(0), "link_mbps": 100}}}
	c.customers.addTo(config, keys)
	return config
}

// routes returns the routes of a version of the configuration.
func (c fleetConfig) routes(version int64) (routes []any) {
	timeout := timeoutMS
	if c.shortTimeouts {
		timeout = shortTimeoutMS
	}
	add := func(name, prefix, kind, service string, maxAttempts int) map[string]any {
		r := map[string]any{"name": name, "host": "h.example", "prefix": prefix, "route_kind": kind, "timeout_ms": timeout,
			"target_latency_ms": 400, "service": service, "max_attempts": maxAttempts}
		if c.moved && slices.Contains([]string{"order", "parts"}, name) {
			r["service"] = "stock"
		}
		if c.split && slices.Contains([]string{"look", "slow"}, name) {
			delete(r, "service")
			r["split"] = []any{map[string]any{"service": "stock", "weight": stockWeight},
				map[string]any{"service": "desk", "weight": deskWeight}}
		}
		routes = append(routes, r)
		return r
	}
	for _, name := range []string{"stream", "long", "unframed"} {
		r := add(name, "/"+name+"/", "streaming", "pool", 2)
		r["sticky"], r["resumable"], r["target_gap_ms"] = true, true, 400
	}
	add("order", "/order/", "non_idempotent", "desk", 1)
	add("slow", "/slow/", "non_idempotent", "desk", 1)
	add("look", "/look/", "idempotent", "desk", 2)
	add("parts", "/parts/", "idempotent", "desk", 2)
	add("public", publicPath, "idempotent", "desk", 2)["public"] = true
	add("newest", configPath(version), "idempotent", "desk", 2)
	if c.manyRoutes {
		for i := range addedRoutes {
			name := fmt.Sprintf("added-%d", i)
			add(name, "/"+name+"/", "idempotent", "desk", 2)
		}
	}
	return routes
}

// writeConfig writes a version of the configuration to the store. The caller holds operatorMu.
func (fleet *testFleet) writeConfig(version int64) {
	fleet.publish(&fleet.configs, version, "op/config", fleet.config.document(version, fleet.proxies["origin"].Address()))
}

// writeNextConfig changes the idle limit.
func (fleet *testFleet) writeNextConfig() { fleet.changeConfig(changeIdleLimit) }

// changeConfig writes the next configuration to the store, with one change.
func (fleet *testFleet) changeConfig(change configChange) {
	fleet.operatorMu.Lock()
	defer fleet.operatorMu.Unlock()
	change.apply(&fleet.config)
	fleet.writeConfig(fleet.configVersion.Add(1))
}
