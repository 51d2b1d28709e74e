package callerconn

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// socketBuffer is the size that LimitBuffers sets for each buffer of a connection, in bytes. The kernel doubles it for its own use.
	// With 32 KiB and less, a write of 512 KiB over a loopback connection took 0.4 s, because the receiver delays acknowledgements of less
	// than a segment; by default a connection whose caller does not read holds up to 4 MB.
	socketBuffer = 64 << 10
	// unreadTimeout is how long the kernel holds a part of a response, of which a caller reads nothing, before it ends the connection. It
	// is the longest deadline of a request and counts after a close, too.
	unreadTimeout = 30 * time.Second
)

// LimitBuffers bounds what the kernel holds for each connection that is accepted later, and for how long. It is called before the listener
// is used.
func (t *Tracker) LimitBuffers() { t.limitBuffers = true }

// limitBuffers bounds what the kernel holds for the connection.
func (c *conn) limitBuffers() {
	if c.raw == nil {
		return
	}
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unreadTimeout.Milliseconds()))
	})
}

// unread returns the number of bytes that were written to the connection and that the caller has not acknowledged, 0 if that is not known.
func (c *conn) unread() (n int) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// Unread returns the number of bytes that were written to the tracked connections and that callers have not acknowledged.
func (t *Tracker) Unread() (n int64) {
	for _, c := range t.all() {
		n += int64(c.unread())
	}
	return n
}

// Unread returns the number of bytes that were written to the connection to whose requests ctx belongs and that the caller has not
// acknowledged: what the caller's kernel has no space for, and what is on its way. It is 0 if the connection is not tracked.
func Unread(ctx context.Context) int {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	return c.unread()
}
