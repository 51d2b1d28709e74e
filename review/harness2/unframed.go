//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The answer of the plain server has no length and ends with its connection, which the pages allow: parts, one each partInterval.
const (
	unframedParts = 40
	partInterval  = 100 * time.Millisecond
)

// part returns one part of the answer to a request: an event of a stream.
func part(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// wholeAnswer returns the whole body of the answer to a request.
func wholeAnswer(id string) string {
	var b strings.Builder
	for n := 1; n <= unframedParts; n++ {
		b.WriteString(part(id, n))
	}
	return b.String()
}

// serveUnframed is the process of a server whose answers have no length. It prints each run.
func serveUnframed(address, id string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = conn.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			attempt := req.Header.Get("X-Pimentohead-Attempt-Id")
			if req.Header.Get("X-Pimentohead-Expect-Instance") != id {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Pimentohead-Attempt-Id: %s\r\nX-Pimentohead-Instance-Id: %s\r\n"+
					"X-Pimentohead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt, id)
				return
			}
			fmt.Printf("run %s\n", attempt)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Pimentohead-Attempt-Id: %s\r\nX-Pimentohead-Server-Stamp: %s.%s\r\n"+
				"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
			for n := 1; n <= unframedParts; n++ {
				if _, err := fmt.Fprint(conn, part(attempt, n)); err != nil {
					return
				}
				time.Sleep(partInterval)
			}
		}()
	}
}

// unframedCase: a server leaves and is gone 2.3 s after the store has accepted its report, as a planned shutdown allows, while it still sends
// answers without a length. No caller may get a shortened answer that looks complete.
func unframedCase(l *lab, trouble bool) (broken bool, err error) {
	const entry = 1
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	l.store.Put("op/config", map[string]any{"version": 3,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"routes": []any{
			map[string]any{"name": "draft", "host": requestHost, "prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 6000,
				"target_latency_ms": 1000, "target_gap_ms": 400, "priority": 1, "service": "desk", "max_attempts": 1},
			map[string]any{"name": "order", "host": requestHost, "prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 6000,
				"target_latency_ms": 1000, "priority": 1, "service": "desk", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "desk", "max_conns": 100}},
		"tenants":  []any{map[string]any{"name": "t", "api_keys": []string{apiKey}}}})
	if _, err := l.startEntry(entry, entry); err != nil {
		return false, err
	}
	leaving := endedServer{lab: l, self: self, entry: entry, id: "i-desk-1", address: l.ip(100) + ":9000", drains: true, ends: trouble}
	if broken, err = leaving.play(); err != nil {
		return false, err
	}
	if !trouble {
		return broken, nil
	}
	// For comparison: the end of a server that has not said that it leaves.
	crashing := endedServer{lab: l, self: self, entry: entry, id: "i-desk-2", address: l.ip(101) + ":9000", ends: true}
	crashed, err := crashing.play()
	l.logf("for comparison, a server that ends while it is ready: broken %v", crashed)
	return broken, err
}

// endedServer plays the end of one server in the middle of its answers.
type endedServer struct {
	*lab
	self        string
	entry       int
	id, address string
	// drains is set if the server reports draining before it ends, ends if it ends before its answers do.
	drains, ends bool
}

// play starts the server, sends requests and reports whether a shortened answer looked complete to a caller.
func (e endedServer) play() (broken bool, err error) {
	l, id := e.lab, e.id
	server, err := l.start(id, e.self, []string{"-server", "unframed", "-address", e.address, "-id", id}, nil)
	if err != nil {
		return false, err
	}
	born := time.Now().UnixMilli()
	l.announce(id, "desk", e.address, "ready", born)
	if err := l.awaitReady(e.entry, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // The entry has run undisturbed for contact_ms.

	type result struct {
		call
		answer
	}
	results := make([]result, 6)
	var wg sync.WaitGroup
	for i := range results {
		path := []string{"/draft/a", "/order/a"}[i%2]
		results[i].call = call{method: "POST", path: path, id: fmt.Sprintf("a%d", i), body: "order", deadlineMS: 6000}
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.logf("sent %s %s", results[i].path, results[i].id)
			results[i].answer = results[i].send(l.callerAddress(e.entry))
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if e.drains {
		l.announce(id, "desk", e.address, "draining", born)
		l.logf("the store has accepted that %s is draining", id)
	}
	if e.ends {
		time.Sleep(2300 * time.Millisecond)
		server.signal(9)
		<-server.done
		if e.drains {
			l.store.Remove("servers/" + id) // The entry of a server that crashes is removed after three heartbeats of silence only.
		}
		l.logf("%s is gone", id)
	}
	wg.Wait()
	for _, r := range results {
		whole := wholeAnswer(r.id)
		l.logf("answered %s %s: status %d, stamp %q, %d of %d bytes, looks complete %v, error %v", r.path, r.id, r.status, r.stamp, len(r.answer.body),
			len(whole), r.complete, r.err)
		if !e.ends && (!r.complete || string(r.answer.body) != whole) {
			return false, fmt.Errorf("without the disruption, %s got %d bytes, complete %v, error %v", r.id, len(r.answer.body), r.complete, r.err)
		}
		if r.complete && r.status/100 == 2 && string(r.answer.body) != whole {
			l.logf("MIXED broken: %s got a success with a body that is not the server's whole body", r.id)
			broken = true
		}
	}
	return broken, nil
}
