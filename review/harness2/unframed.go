//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
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
			attempt := req.Header.Get(wire["attempt_id"])
			if req.Header.Get(wire["expected_instance"]) != id {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
					wire["attempt_id"], attempt, wire["instance"], id, wire["not_executed"])
				return
			}
			fmt.Printf("run %s\n", attempt)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\n"+
				"Connection: close\r\n\r\n", wire["attempt_id"], attempt, wire["server_stamp"], id, attempt)
			for n := 1; n <= unframedParts; n++ {
				if _, err := fmt.Fprint(conn, part(attempt, n)); err != nil {
					return
				}
				time.Sleep(partInterval)
			}
		}()
	}
}

// leavingPhase: a server leaves and is gone 2.3 s after the store has accepted its report, as a planned shutdown allows, while it still sends
// answers without a length.
func leavingPhase(l *lab, trouble bool) (broken bool, err error) {
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	id, address := "i-desk-9", l.ip(110)+":9000"
	server, err := l.start(id, self, []string{"-server", "unframed", "-address", address, "-id", id}, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	born := time.Now().UnixMilli()
	l.announce(id, "desk", address, "ready", born)
	time.Sleep(4 * time.Second) // The entry has run undisturbed for contact_ms.
	calls := make([]call, 6)
	for i := range calls {
		calls[i] = call{method: "POST", path: "/non_idempotent/a", id: fmt.Sprintf("l%d", i), body: "order", deadlineMS: 6000}
	}
	var leave func()
	if trouble {
		leave = func() {
			time.Sleep(300 * time.Millisecond)
			l.announce(id, "desk", address, "draining", born)
			l.logf("the store has accepted that %s is draining", id)
			time.Sleep(2300 * time.Millisecond)
			server.signal(9)
			l.logf("%s is gone", id)
		}
	}
	shortened, err := l.sendAll(calls, leave)
	l.logf("MIXED, a server that leaves: %d of %d requests got a shortened answer that looks complete", shortened, len(calls))
	return shortened > 0, err
}
