//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func baseConfig(version int, idle int, extra ...map[string]any) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": requestHost, "prefix": prefix, "route_kind": kind, "timeout_ms": 3000,
			"target_latency_ms": 150, "priority": 1, "service": "desk", "max_attempts": 2}
	}
	routes := []any{route("stock", "/stock/", "idempotent"), route("order", "/order/", "non_idempotent")}
	return map[string]any{"version": version,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": idle},
		"routes": routes, "services": []any{map[string]any{"name": "desk", "max_conns": 1000}},
		"tenants": []any{map[string]any{"name": "t", "api_keys": []string{apiKey}}}}
}

// scratchTerm: SIGTERM under load.
func scratchTerm(l *lab, trouble bool) (broken bool, err error) {
	l.store.Put("op/config", baseConfig(4, 3000))
	var ran sync.Map
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		addr := fmt.Sprintf("%s:9000", l.ip(100+i))
		if err := l.serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a := r.Header.Get("X-Pimentohead-Attempt-Id")
			_, _ = io.ReadAll(r.Body)
			w.Header().Set("X-Pimentohead-Attempt-Id", a)
			if n, loaded := ran.LoadOrStore(a, 1); loaded {
				ran.Store(a, n.(int)+1)
			}
			time.Sleep(time.Duration(5+rand.IntN(60)) * time.Millisecond)
			w.Header().Set("X-Pimentohead-Server-Stamp", "s."+a)
			_, _ = io.WriteString(w, "done "+a)
		})); err != nil {
			return false, err
		}
		l.announce(id, "desk", addr, "ready", time.Now().UnixMilli())
	}
	// servers accept any expected instance in this scratch
	p, err := l.startEntry(1, 1)
	if err != nil {
		return false, err
	}
	if err := l.awaitReady(1, 10*time.Second); err != nil {
		return false, err
	}
	var seq atomic.Int64
	var mu sync.Mutex
	outcome := map[string]int{}
	note := func(s string) { mu.Lock(); outcome[s]++; mu.Unlock() }
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(keep bool) {
		defer wg.Done()
		for {
			conn, err := net.DialTimeout("tcp", l.callerAddress(1), time.Second)
			if err != nil {
				note("dial failed")
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				continue
			}
			br := bufio.NewReader(conn)
			for {
				select {
				case <-stop:
					_ = conn.Close()
					return
				default:
				}
				kind := []string{"/stock/a", "/order/a"}[rand.IntN(2)]
				id := fmt.Sprintf("r%d", seq.Add(1))
				c := call{method: "POST", path: kind, id: id, body: "x", deadlineMS: 3000}
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				if _, err := io.WriteString(conn, c.bytes()); err != nil {
					note("write failed")
					break
				}
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					_, did := ran.Load(id)
					time.Sleep(100 * time.Millisecond)
					if !did {
						_, did = ran.Load(id)
					}
					note(fmt.Sprintf("no answer, ran %v, keep %v", did, keep))
					if did {
						l.logf("LOST %s %s keep=%v err=%v", id, kind, keep, err)
					}
					break
				}
				b, err := io.ReadAll(resp.Body)
				_, did := ran.Load(id)
				if resp.StatusCode == 200 && (err != nil || string(b) != "done "+id) {
					l.logf("MIXED %s %q %v", id, b, err)
					note("mixed")
				}
				if (resp.StatusCode == 503 || resp.StatusCode == 429) && did && kind == "/order/a" {
					l.logf("REFUSED %s ran", id)
					note("refused")
				}
				note(fmt.Sprintf("status %d", resp.StatusCode))
				if resp.Close || !keep {
					break
				}
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
			_ = conn.Close()
		}
	}
	for i := range 150 {
		wg.Add(1)
		go client(i < 110)
	}
	time.Sleep(2 * time.Second)
	for range 3 {
		p.signal(syscall.SIGTERM)
		<-p.done
		if p, err = l.startEntry(1, 1); err != nil {
			return false, err
		}
		if err := l.awaitReady(1, 10*time.Second); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	close(stop)
	wg.Wait()
	twice := 0
	ran.Range(func(k, v any) bool {
		if v.(int) > 1 {
			twice++
		}
		return true
	})
	l.logf("outcome %v, run more than once %d", outcome, twice)
	return false, nil
}
