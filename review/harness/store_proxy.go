//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// storeProxy stands between processes and the store. It can let the channel go silent on which the list of servers is watched: the channel
// stays open and carries no more bytes.
type storeProxy struct {
	address, target string
	record          *record

	mu sync.Mutex
	// silenceNext is set when the next channel that carries a watch of the list of servers goes silent, silencedAt when one has.
	silenceNext bool
	silencedAt  time.Time
	// watchedAt is when a watch last began.
	watchedAt time.Time
}

// watches reports whether the processes watch the store now.
func (p *storeProxy) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.watchedAt) < time.Second
}

// noteWatch notes when a watch begins.
func (p *storeProxy) noteWatch(sent []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes.HasPrefix(sent, []byte(wire["watch_call"])) {
		p.watchedAt = time.Now()
	}
}

// watchOfServers is the beginning of a call that watches the list of servers.
var watchOfServers = []byte(wire["watch_of_servers"])

// newStoreProxy returns a proxy that listens on l.
func newStoreProxy(l net.Listener, target string, rec *record) *storeProxy {
	p := &storeProxy{address: l.Addr().String(), target: target, record: rec}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// silence lets the next channel go silent on which a watch of the list of servers begins, and returns when that has happened.
func (p *storeProxy) silence() time.Time {
	p.mu.Lock()
	p.silenceNext, p.silencedAt = true, time.Time{}
	p.mu.Unlock()
	for {
		time.Sleep(time.Millisecond)
		p.mu.Lock()
		at := p.silencedAt
		p.mu.Unlock()
		if !at.IsZero() {
			return at
		}
	}
}

// takesSilence reports whether the channel that carries these bytes goes silent now.
func (p *storeProxy) takesSilence(sent []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silenceNext || !bytes.HasPrefix(sent, watchOfServers) {
		return false
	}
	p.silenceNext, p.silencedAt = false, time.Now()
	p.record.printf("the channel on which an entry watches the list of servers goes silent")
	return true
}

// serve forwards the bytes of a channel.
func (p *storeProxy) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		defer func() { _ = from.Close(); _ = to.Close() }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := to.Read(buffer)
			if err != nil {
				return
			}
			if _, err := from.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	silent := false
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return // The process has closed the channel.
		}
		p.noteWatch(buffer[:n])
		if silent = silent || p.takesSilence(buffer[:n]); silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
