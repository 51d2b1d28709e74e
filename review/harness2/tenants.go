//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// noTenantCase: the operator takes the keys of the last tenant away, by a configuration with an empty list of tenants. Later than
// config_apply_ms after that, no request may run on a route that is not public.
func noTenantCase(l *lab, trouble bool) (broken bool, err error) {
	const entry = 1
	config := func(version int, tenants []any) map[string]any {
		return map[string]any{"version": version,
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
			"routes": []any{map[string]any{"name": "order", "host": requestHost, "prefix": "/order/", "route_kind": "non_idempotent",
				"timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "service": "desk", "max_attempts": 1, "public": false}},
			"services": []any{map[string]any{"name": "desk", "max_conns": 100}},
			"tenants":  tenants}
	}
	tenant := map[string]any{"name": "t", "api_keys": []string{apiKey}}
	l.store.Put("op/config", config(3, []any{tenant}))
	for i := range 3 {
		id, address := fmt.Sprintf("i-desk-%d", i), fmt.Sprintf("%s:9000", l.ip(100+i))
		if err := l.startPlainServer(id, "desk", address); err != nil {
			return false, err
		}
		l.announce(id, "desk", address, "ready", time.Now().UnixMilli())
	}
	if _, err := l.startEntry(entry, entry); err != nil {
		return false, err
	}
	if err := l.awaitReady(entry, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // The entry has run undisturbed for contact_ms.
	n := 0
	send := func(what, key string) int {
		n++
		c := call{method: "POST", path: "/order/a", id: fmt.Sprintf("k%d", n), body: "order", deadlineMS: 1000, key: key}
		a := c.send(l.callerAddress(entry))
		l.logf("%s %s: status %d, stamp %q", c.id, what, a.status, a.stamp)
		return a.status
	}
	const unknownKey = "a-key-that-no-configuration-ever-held"
	if held, unknown := send("key of t", apiKey), send("key that no configuration held", unknownKey); held != http.StatusOK ||
		unknown != http.StatusUnauthorized {
		return false, fmt.Errorf("before the change: status %d with the key of t, %d with an unknown key", held, unknown)
	}
	tenants := []any{}
	if !trouble {
		tenants = []any{map[string]any{"name": "t", "api_keys": []string{}}}
	}
	l.store.Put("op/config", config(5, tenants))
	l.logf("configuration 5 is acknowledged, tenants %v", tenants)
	time.Sleep(4 * time.Second)
	ran := 0
	for range 5 {
		for _, status := range []int{send("key of t, which was taken away", apiKey), send("key that no configuration held", unknownKey)} {
			if status == http.StatusOK {
				ran++
			}
		}
	}
	l.logf("ROUTE: %d of 10 requests ran without a key that is held", ran)
	return ran > 0, nil
}
