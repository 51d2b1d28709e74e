// Package callerconn tracks the connections of callers to an HTTP server and closes idle ones. It closes no connection on which a part
// of a request has been read: net/http reports a connection as idle until it has parsed the head of the next request, so its ConnState
// hook alone cannot tell whether a request has arrived.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// IdleMargin is how long a connection is kept beyond its idle limit, so that a request that a caller sends just before the limit
	// still arrives in time.
	IdleMargin = time.Second
	// MaxIdleHold bounds how long a connection is kept because of an idle limit that is no longer in force.
	MaxIdleHold = time.Minute
	// firstRequestWait is how long CloseIdle waits for the first request on a new connection.
	firstRequestWait = 2 * time.Second
	// headWait is how long a connection counts as in use after bytes of a request have been read on it, until the request is complete.
	// It is not shorter than the ReadHeaderTimeout of the servers.
	headWait = 15 * time.Second
	// drainPollInterval is the time between the checks of Drain.
	drainPollInterval = 20 * time.Millisecond
)

// Tracker tracks the connections of one server: Listener and ConnState have to be used together. It is safe for concurrent use.
type Tracker struct {
	// limit returns the idle limit in force, 0 if there is none.
	limit func() time.Duration

	// limitBuffers is set by LimitBuffers.
	limitBuffers bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closedIdle counts the connections without a request that the Tracker has closed.
	closedIdle atomic.Int64
}

// NewTracker returns a Tracker. limit returns the idle limit in force, 0 if there is none.
func NewTracker(limit func() time.Duration) *Tracker {
	return &Tracker{limit: limit, conns: map[*conn]struct{}{}}
}

// Listener returns l with connections that the Tracker tracks.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{Listener: l, tracker: t} }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		return nil, err
	case err != nil:
		return nil, acceptError{err}
	}
	c := newConn(nc)
	if l.tracker.limitBuffers {
		c.limitBuffers()
	}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = struct{}{}
	return c, nil
}

// acceptError is the error of a listener that is open. It is a temporary net.Error, after which http.Server goes on. Serve would return
// otherwise when the kernel is out of buffers, and the process would end with its requests.
type acceptError struct{ error }

// Unwrap returns the error of the listener.
func (e acceptError) Unwrap() error { return e.error }

// Temporary implements net.Error.
func (acceptError) Temporary() bool { return true }

// Timeout implements net.Error.
func (acceptError) Timeout() bool { return false }

// ConnState is the ConnState hook of the server.
func (t *Tracker) ConnState(nc net.Conn, state http.ConnState) {
	address, ok := nc.RemoteAddr().(trackedAddr)
	if !ok {
		return
	}
	c := address.conn
	if state == http.StateClosed || state == http.StateHijacked {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c)
		return
	}
	c.setState(state, t.limit())
}

// all returns the tracked connections.
func (t *Tracker) all() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

// CloseExpired closes connections that have been idle for longer than the longest limit that was in force since the last request on them
// began, plus IdleMargin. Callers reuse connections according to the limit that they know, which may be an earlier one.
func (t *Tracker) CloseExpired() {
	limit := t.limit()
	for _, c := range t.all() {
		if c.closeIf(func() bool { return c.expired(limit) }) {
			t.closedIdle.Add(1)
		}
	}
}

// ClosedIdle returns the number of connections without a request that the Tracker has closed.
func (t *Tracker) ClosedIdle() int64 { return t.closedIdle.Load() }

// Drain closes the connections as their requests end, until none is left or ctx ends. It returns the number of connections in use.
func (t *Tracker) Drain(ctx context.Context) (inUse int) {
	for {
		inUse = t.CloseIdle()
		if inUse == 0 || ctx.Err() != nil {
			return inUse
		}
		pause.For(ctx, drainPollInterval)
	}
}

// CloseIdle closes the connections without a request and returns the number of those that are in use.
func (t *Tracker) CloseIdle() (inUse int) {
	for _, c := range t.all() {
		if c.closeIf(c.unused) {
			t.closedIdle.Add(1)
		} else {
			inUse++
		}
	}
	return inUse
}
