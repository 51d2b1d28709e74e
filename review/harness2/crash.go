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

// Load of the crash phase: a server of the order desk has 6 slots and accepts 110 channels from all callers together.
const (
	deskServers   = 3
	answersAtOnce = 6 * deskServers
	otherChannels = 90
	crashAfter    = 1500 * time.Millisecond
	deskDownFor   = 4500 * time.Millisecond
)

// cutCase: servers end in the middle of answers without a length, first by a crash while they are ready, then after they have reported draining.
// No caller may get a shortened answer that looks complete.
func cutCase(l *lab, trouble bool) (broken bool, err error) {
	crashed, err := crashPhase(l, trouble)
	if err != nil {
		return false, err
	}
	left, err := leavingPhase(l, trouble)
	return crashed || left, err
}

// cutEntry is the host of the entry of the case.
const cutEntry = 1

// crashPhase starts the entry and three servers, of which each crashes once and comes back.
func crashPhase(l *lab, trouble bool) (broken bool, err error) {
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	l.store.Put("op/config", cutConfig())
	if _, err := l.startEntry(cutEntry, cutEntry); err != nil {
		return false, err
	}
	type server struct {
		id, address string
		process     *process
	}
	up := func(s *server) (err error) {
		if s.process, err = l.start(s.id, self, []string{"-server", "unframed", "-address", s.address, "-id", s.id}, nil); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		l.announce(s.id, "desk", s.address, "ready", time.Now().UnixMilli())
		return nil
	}
	var servers []*server
	for n := range deskServers {
		s := &server{id: fmt.Sprintf("i-desk-%d", n+1), address: fmt.Sprintf("%s:9000", l.ip(100+n))}
		if err := up(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := l.awaitReady(cutEntry, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // The entry has run undisturbed for contact_ms.
	kinds := []string{"idempotent", "non_idempotent", "streaming"}
	shortened, sent := 0, 0
	for n, s := range servers {
		var others []net.Conn // Channels of other callers, which rest.
		for range otherChannels {
			conn, err := net.Dial("tcp", s.address)
			if err != nil {
				return false, err
			}
			others = append(others, conn)
		}
		calls := make([]call, answersAtOnce)
		for i := range calls {
			calls[i] = call{method: "POST", path: "/" + kinds[i%len(kinds)] + "/a", id: fmt.Sprintf("s%da%d", n+1, i), body: "order", deadlineMS: 6000}
		}
		var crash func()
		if trouble {
			crash = func() {
				time.Sleep(crashAfter)
				s.process.signal(9)
				l.logf("%s crashes", s.id)
			}
		}
		count, err := l.sendAll(calls, crash)
		if err != nil {
			return false, err
		}
		shortened, sent = shortened+count, sent+len(calls)
		for _, conn := range others {
			_ = conn.Close()
		}
		if trouble {
			<-s.process.done
			time.Sleep(deskDownFor - unframedParts*partInterval + crashAfter)
			if err := up(s); err != nil {
				return false, err
			}
			l.logf("%s is back", s.id)
		}
	}
	l.logf("MIXED, servers that crash: %d of %d requests got a shortened answer that looks complete", shortened, sent)
	for _, s := range servers {
		s.process.signal(9)
		<-s.process.done
		l.store.Remove("servers/" + s.id)
	}
	time.Sleep(500 * time.Millisecond)
	return shortened > 0, nil
}

// sendAll sends requests at the same time, calls meanwhile unless it is nil, and returns how many got a shortened answer that looks complete. Without
// meanwhile, each request has to get its whole answer.
func (l *lab) sendAll(calls []call, meanwhile func()) (shortened int, err error) {
	answers := make([]answer, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = c.send(l.callerAddress(cutEntry))
		}()
	}
	l.logf("%d requests sent", len(calls))
	if meanwhile != nil {
		meanwhile()
	}
	wg.Wait()
	for i, c := range calls {
		a, whole := answers[i], wholeAnswer(c.id)
		isBroken := a.complete && a.status/100 == http.StatusOK/100 && string(a.body) != whole
		l.logf("%s %s: status %d, stamp %q, %d of %d bytes, looks complete %v, error %v, MIXED broken %v", c.path, c.id, a.status, a.stamp, len(a.body),
			len(whole), a.complete, a.err, isBroken)
		if meanwhile == nil && (!a.complete || string(a.body) != whole) {
			return 0, fmt.Errorf("without the disruption, %s got %d bytes, complete %v, error %v", c.id, len(a.body), a.complete, a.err)
		}
		if isBroken {
			shortened++
		}
	}
	return shortened, nil
}

// cutConfig is the configuration of the case: one service, and a route of each kind.
func cutConfig() map[string]any {
	route := func(kind string, maxAttempts int, resumable bool) map[string]any {
		return map[string]any{"name": kind, "host": requestHost, "prefix": "/" + kind + "/", "route_kind": kind, "timeout_ms": 6000,
			"target_latency_ms": 1000, "target_gap_ms": 400, "priority": 1, "service": "desk", "max_attempts": maxAttempts, "resumable": resumable}
	}
	return map[string]any{"version": 3,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"routes":   []any{route("idempotent", 2, false), route("non_idempotent", 1, false), route("streaming", 2, true)},
		"services": []any{map[string]any{"name": "desk", "max_conns": 110}},
		"tenants":  []any{map[string]any{"name": "t", "api_keys": []string{apiKey}}}}
}
