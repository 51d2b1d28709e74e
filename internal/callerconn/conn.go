package callerconn

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// conn is a tracked connection. Its lock makes reading bytes and deciding to close the connection atomic to each other.
type conn struct {
	net.Conn
	// raw gives access to the file descriptor; nil if the connection has none.
	raw syscall.RawConn

	mu sync.Mutex
	// state is the last state that the server reported, since the time from which the idle time is counted.
	state http.ConnState
	since time.Time
	// limit is the longest idle limit in force since the last request on the connection began.
	limit time.Duration
	// inputAt is when bytes were last read after the last write; zero if none were. While the server reports the connection as idle, such
	// bytes belong to the next request.
	inputAt time.Time
	// awaitsInput is set when the server has found no bytes to read since the state last changed. Before that it may hold a whole request that
	// it has read together with the one before.
	awaitsInput bool
	closing     bool
	// requests counts the requests that have begun, idleBefore is how long the connection was idle before the last of them.
	requests   int
	idleBefore time.Duration
	// closedHere is set once this process has closed the connection.
	closedHere bool
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, state: http.StateNew, since: time.Now()}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// trackedAddr is the remote address of a tracked connection.
type trackedAddr struct {
	net.Addr
	conn *conn
}

// RemoteAddr implements net.Conn. The address leads the Tracker to the connection, also if it is wrapped, for example by TLS.
func (c *conn) RemoteAddr() net.Addr { return trackedAddr{c.Conn.RemoteAddr(), c} }

// Read implements net.Conn. It takes no bytes from a connection that is being closed.
func (c *conn) Read(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		return c.readUnlocked(p)
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, readErr = c.readNow(int(fd), p)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, asReadError(err)
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow reads the bytes that have arrived, or returns EAGAIN.
func (c *conn) readNow(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, p)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if n > 0 {
			c.inputAt = time.Now()
		}
		c.awaitsInput = errors.Is(err, unix.EAGAIN)
		return max(n, 0), err
	}
}

// readUnlocked reads from a connection without a file descriptor. A connection that is closed meanwhile discards what was read.
func (c *conn) readUnlocked(p []byte) (int, error) {
	c.mu.Lock()
	c.awaitsInput = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsInput = false
	if c.closing {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.inputAt = time.Now()
	}
	return n, err
}

// asReadError gives an error of RawConn.Read the operation name of net.Conn.Read, by which net/http recognises failed connections.
func asReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		renamed := *op
		renamed.Op = "read"
		return &renamed
	}
	return err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.inputAt = time.Time{}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closedHere = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side. net/http uses it before it closes a connection with unread input.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setState records a change of the state that the server reports. limit is the idle limit in force.
func (c *conn) setState(state http.ConnState, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		c.requests++
		c.idleBefore = time.Since(c.since)
	}
	c.state, c.since, c.awaitsInput = state, time.Now(), false
	if state == http.StateActive {
		c.limit = limit
	}
	c.limit = max(c.limit, limit)
}

// expired reports whether the connection has been idle for too long. limit is the idle limit in force; without one, the time does not
// count. The caller holds mu.
func (c *conn) expired(limit time.Duration) bool {
	if c.state != http.StateIdle {
		return false
	}
	if limit <= 0 {
		c.since = time.Now()
		return false
	}
	c.limit = max(c.limit, limit)
	return c.unused() && time.Since(c.since) > max(limit, min(c.limit, MaxIdleHold))+IdleMargin
}

// unused reports whether no request is being read or served on the connection. The caller holds mu.
func (c *conn) unused() bool {
	switch {
	case c.state == http.StateActive || !c.awaitsInput:
		return false
	case !c.inputAt.IsZero() && time.Since(c.inputAt) < headWait:
		return false
	case c.state == http.StateNew && time.Since(c.since) < firstRequestWait:
		return false
	}
	return !c.hasPendingInput()
}

// hasPendingInput reports whether bytes have arrived that were not read yet.
func (c *conn) hasPendingInput() bool {
	if c.raw == nil {
		return false
	}
	pending := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// closeIf closes the connection if condition holds, which is evaluated while no bytes can be read, and reports whether it is closed.
func (c *conn) closeIf(condition func() bool) bool {
	c.mu.Lock()
	c.closing = c.closing || condition()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close() // Not under mu: Close waits for a Read in progress.
	}
	return closing
}
