//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// deskWork is how long a server of the order desk works on an order, at most the 220 ms of the site file.
const deskWork = 200 * time.Millisecond

// serveDesk is the process of a server that takes orders. It prints each run.
func serveDesk(address, id string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(wire["attempt_id"])
		w.Header().Set(wire["attempt_id"], attempt)
		if r.Header.Get(wire["expected_instance"]) != id {
			w.Header().Set(wire["instance"], id)
			w.Header().Set(wire["not_executed"], "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		fmt.Printf("run %s\n", attempt)
		time.Sleep(deskWork)
		w.Header().Set(wire["server_stamp"], id+"."+attempt)
		w.WriteHeader(http.StatusOK)
	}))
}

// deskServer is a server of the order desk that can crash and come back.
type deskServer struct {
	id, address string
	process     *process
	born        int64
}

// verdictCase: three servers of the order desk crash, one after the other, and come back. Then all entries are killed and start again. 12 s later
// (recover_s), orders have to be served as before.
func verdictCase(l *lab, trouble bool) (broken bool, err error) {
	const (
		entryCount   = 2
		ordersPerS   = 80
		downFor      = 4500 * time.Millisecond
		recoverAfter = 12 * time.Second
	)
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	l.store.Put("op/config", map[string]any{"version": 3,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"routes": []any{map[string]any{"name": "order", "host": requestHost, "prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 1000,
			"target_latency_ms": 150, "priority": 1, "service": "order-desk", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "order-desk", "max_conns": 110}},
		"tenants":  []any{map[string]any{"name": "t", "api_keys": []string{apiKey}}}})
	var mu sync.Mutex
	var servers []*deskServer
	up := func(s *deskServer) error {
		p, err := l.start(s.id, self, []string{"-server", "desk", "-address", s.address, "-id", s.id}, nil)
		if err != nil {
			return err
		}
		mu.Lock()
		s.process, s.born = p, time.Now().UnixMilli()
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		l.announce(s.id, "order-desk", s.address, "ready", s.born)
		return nil
	}
	for i := range 3 {
		s := &deskServer{id: fmt.Sprintf("i-desk-%d", i+1), address: fmt.Sprintf("%s:9000", l.ip(100+i))}
		if err := up(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			for _, s := range servers {
				mu.Lock()
				running, born := !s.process.ended(), s.born
				mu.Unlock()
				if running {
					l.announce(s.id, "order-desk", s.address, "ready", born)
				}
			}
		}
	}()
	running := map[int]*process{}
	startAll := func() error {
		for host := 1; host <= entryCount; host++ {
			if running[host], err = l.startEntry(host, 1); err != nil {
				return err
			}
		}
		for host := 1; host <= entryCount; host++ {
			if err := l.awaitReady(host, 10*time.Second); err != nil {
				return err
			}
		}
		return nil
	}
	if err := startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // Entries have run undisturbed for contact_ms.

	// tally counts the answers to the orders of one phase by their status, 0 for none.
	type tally struct {
		sent   int
		status map[int]int
	}
	var wg sync.WaitGroup
	next := 0
	orders := func(phase string, duration time.Duration) *tally {
		t := &tally{status: map[int]int{}}
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Second / ordersPerS) {
			next++
			c := call{method: "POST", path: "/order/web", id: fmt.Sprintf("o%d", next), body: `{"sku":"fusible-web-90","qty":1}`, deadlineMS: 1000}
			host := 1 + next%entryCount
			t.sent++
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := c.send(l.callerAddress(host))
				mu.Lock()
				defer mu.Unlock()
				t.status[a.status]++
			}()
		}
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		l.logf("%s: %d orders sent, answers by status %v", phase, t.sent, t.status)
		return t
	}
	before := []*tally{orders("before", 2*time.Second)}
	for _, s := range servers {
		if trouble {
			time.AfterFunc(time.Second, func() {
				mu.Lock()
				p := s.process
				mu.Unlock()
				p.signal(9)
				l.logf("%s crashes", s.id)
				time.AfterFunc(downFor, func() {
					if err := up(s); err == nil {
						l.logf("%s is back", s.id)
					}
				})
			})
		}
		before = append(before, orders("with the crash of "+s.id, 7*time.Second))
	}
	for host := range running {
		running[host].signal(9)
	}
	l.logf("all entries are killed")
	for host := range running {
		<-running[host].done
	}
	time.Sleep(700 * time.Millisecond)
	if err := startAll(); err != nil {
		return false, err
	}
	l.logf("all entries have started again and are ready")
	time.Sleep(recoverAfter)
	after := orders("later than recover_s after that", 4*time.Second)
	sent, served := 0, 0
	for _, t := range before {
		sent, served = sent+t.sent, served+t.status[http.StatusOK]
	}
	l.logf("RECOVER: served before the final fault %d of %d, later than recover_s after it %d of %d", served, sent, after.status[http.StatusOK], after.sent)
	if 4*served < sent {
		return false, fmt.Errorf("only %d of %d orders were served before the final fault", served, sent)
	}
	direct := call{method: "POST", path: "/order/web", id: "last", body: `{"sku":"fusible-web-90","qty":2}`, deadlineMS: 1000}.send(l.callerAddress(1))
	l.logf("an order of another quantity, at the same time: status %d", direct.status)
	return 4*after.status[http.StatusOK] < after.sent, nil
}
