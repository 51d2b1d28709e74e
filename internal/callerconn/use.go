package callerconn

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// Use describes how a connection has been used, for logs.
type Use struct {
	// Requests is the number of requests on the connection, the current one included.
	Requests int
	// IdleBefore is how long the connection was idle before the current request.
	IdleBefore time.Duration
	// ClosedHere is set if this process has closed the connection.
	ClosedHere bool
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ConnContext is the ConnContext hook of the server. It is needed for UseOf, LogValues and Abort only.
func (t *Tracker) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if address, ok := nc.RemoteAddr().(trackedAddr); ok {
		return context.WithValue(ctx, connKey{}, address.conn)
	}
	return ctx
}

// LogValues returns the use of the connection to whose requests ctx belongs as key/value pairs for a log line, none if it is not tracked.
func LogValues(ctx context.Context) []any {
	use, ok := UseOf(ctx)
	if !ok {
		return nil
	}
	return []any{"conn_requests", use.Requests, "conn_idle_ms", use.IdleBefore.Milliseconds(), "conn_closed_here", use.ClosedHere}
}

// UseOf returns the use of the connection to whose requests ctx belongs, and false if it is not tracked.
func UseOf(ctx context.Context) (Use, bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return Use{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return Use{Requests: c.requests, IdleBefore: c.idleBefore, ClosedHere: c.closedHere}, true
}

// Abort ends the response to a request without completing it. It panics with http.ErrAbortHandler, by which net/http closes the connection.
// If the response has begun and ends with its connection, as those to HTTP/1.0 do, a regular end would complete it: the caller then receives
// a reset instead.
func Abort(r *http.Request, begun bool) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && begun && !r.ProtoAtLeast(1, 1) {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection with a reset. It closes it below TLS, which would announce a regular end.
func (c *conn) reset() {
	if c.raw == nil {
		return
	}
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	_ = c.Close()
}
