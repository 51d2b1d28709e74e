//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// losingStore is the platform's store. While it loses answers, the writes of the system get none and are carried out late, if their conditions
// still hold then.
type losingStore struct {
	*standin.Store
	lab *lab
	// losing is set while answers to writes are lost, lateBy is when those writes are carried out.
	losing atomic.Bool
	lateBy time.Duration
	// writes counts the writes of the system, lost those without an answer.
	writes, lost atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *losingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire["transaction_path"] {
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.writes.Add(1)
	perform := func(w http.ResponseWriter) {
		again, _ := http.NewRequest(http.MethodPost, wire["transaction_path"], bytes.NewReader(body))
		s.Store.ServeHTTP(w, again)
	}
	if !s.losing.Load() {
		perform(w)
		return
	}
	s.lost.Add(1)
	s.lab.logf("store: a write of the system gets no answer, and is carried out in %v: %.90s", s.lateBy, body)
	time.AfterFunc(s.lateBy, func() {
		answer := httptest.NewRecorder()
		perform(answer)
		s.lab.logf("store: the late write of the system is done, status %d (412: its condition no longer holds)", answer.Code)
	})
	<-r.Context().Done() // The channel returns nothing further.
	panic(http.ErrAbortHandler)
}

// plainServer serves requests at once and tells which service ran them.
func (l *lab) startPlainServer(id, service, address string) error {
	return l.serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(wire["attempt_id"])
		w.Header().Set(wire["attempt_id"], attempt)
		if r.Header.Get(wire["expected_instance"]) != id {
			w.Header().Set(wire["instance"], id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(wire["server_stamp"], id+"."+attempt)
		_, _ = io.WriteString(w, service)
	}))
}

// lostConfigCase: the store loses answers to writes and carries these out late, among them one of the operator's configuration 5. The operator
// writes configuration 6, which is acknowledged. One second later all entries are killed, and start again. Configuration 6 has to stay in force.
func lostConfigCase(l *lab, trouble bool) (broken bool, err error) {
	entries := []int{1, 2, 3}
	const (
		lateBy       = 5 * time.Second
		configLateBy = 1900 * time.Millisecond
	)
	store := &losingStore{Store: l.store, lab: l, lateBy: lateBy}
	l.storeAddr = l.ip(251) + ":8007"
	if err := l.serve(l.storeAddr, store); err != nil {
		return false, err
	}
	config := func(version int, service string) map[string]any {
		route := func(name, prefix, service string) map[string]any {
			return map[string]any{"name": name, "host": requestHost, "prefix": prefix, "route_kind": "idempotent", "timeout_ms": 1000,
				"target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": 2}
		}
		return map[string]any{"version": version,
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
			"routes":   []any{route("stock", "/stock/", service), route("newest", fmt.Sprintf("/v%d/", version), service)},
			"services": []any{map[string]any{"name": "desk", "max_conns": 100}, map[string]any{"name": "new-desk", "max_conns": 100}},
			"tenants":  []any{map[string]any{"name": "t", "api_keys": []string{apiKey}}}}
	}
	l.store.Put("op/config", config(4, "desk"))
	type server struct{ id, service, address string }
	var servers []server
	for i := range 6 {
		service := []string{"desk", "new-desk"}[i%2]
		s := server{fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("%s:9000", l.ip(100+i))}
		if err := l.startPlainServer(s.id, s.service, s.address); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	born, heartbeats := time.Now().UnixMilli(), 0
	beat := func() {
		for _, s := range servers {
			l.announce(s.id, s.service, s.address, "ready", born)
			heartbeats++
		}
	}
	beat()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				beat()
			}
		}
	}()
	running := map[int]*process{}
	startAll := func() error {
		for _, host := range entries {
			if running[host], err = l.startEntry(host, entries[0]); err != nil {
				return err
			}
		}
		for _, host := range entries {
			if err := l.awaitReady(host, 10*time.Second); err != nil {
				return err
			}
		}
		return nil
	}
	if err := startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // Entries have run undisturbed for contact_ms, and have stored what they store at their start.

	writesBefore, heartbeatsBefore := store.writes.Load(), heartbeats
	if trouble {
		store.losing.Store(true)
		l.logf("store: answers to writes are lost from now on")
		l.logf("operator: writes configuration 5, which gets no answer and is carried out in %v", configLateBy)
		time.AfterFunc(configLateBy, func() {
			l.store.Put("op/config", config(5, "desk"))
			l.logf("store: the late write of configuration 5 is done")
		})
	} else {
		l.store.Put("op/config", config(5, "desk"))
		l.logf("operator: configuration 5 is acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	l.store.Put("op/config", config(6, "new-desk"))
	acknowledged := time.Now()
	l.logf("operator: configuration 6 is acknowledged")
	time.Sleep(time.Second)
	for _, host := range entries {
		running[host].signal(9)
	}
	l.logf("all entries are killed")
	for _, host := range entries {
		<-running[host].done
	}
	if trouble {
		store.losing.Store(false)
		l.logf("store: answers are lost no more: %d of %d writes of the system and 1 of 2 of the operator, beside %d of servers", store.lost.Load(),
			store.writes.Load()-writesBefore, heartbeats-heartbeatsBefore)
	}
	time.Sleep(700 * time.Millisecond)
	if err := startAll(); err != nil {
		return false, err
	}
	l.logf("all entries have started again and are ready")
	// Late writes are done, and entries and store are undisturbed for contact_ms, long before the check begins.
	time.Sleep(time.Until(acknowledged.Add(12 * time.Second)))
	handledAsOld := 0
	for i := range 12 {
		host := entries[i%len(entries)]
		path, want := "/stock/x", "new-desk"
		if i%2 == 1 {
			path = "/v6/x"
		}
		c := call{method: "GET", path: path, id: fmt.Sprintf("c%d", i), deadlineMS: 1000}
		a := c.send(l.callerAddress(host))
		old := a.status == http.StatusNotFound || a.status == http.StatusOK && string(a.body) != want
		l.logf("entry %d, %s %s: status %d, run by %q, as only an older configuration allows: %v", host, c.id, path, a.status,
			strings.TrimSpace(string(a.body)), old)
		if old {
			handledAsOld++
		} else if a.status != http.StatusOK {
			return false, fmt.Errorf("%s: status %d, %v", c.id, a.status, a.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.logf("CONFIG: %d of 12 requests, sent over %d ms after the acknowledgement of configuration 6, were handled as only an older one allows",
		handledAsOld, 12000)
	return handledAsOld > 0, nil
}
