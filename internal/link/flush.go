package link

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pimentohead/pimentohead/internal/pause"
)

// flushPollInterval is the time between the checks of Flush.
const flushPollInterval = 5 * time.Millisecond

// Flush waits until the peer's kernel has acknowledged all messages that were queued, until the connection is closed or until ctx ends. A
// connection that is closed earlier loses them if the peer, which may be silent for a while, sends anything after that.
func (c *Conn) Flush(ctx context.Context) {
	for c.Err() == nil && ctx.Err() == nil && (c.queued.Load() > 0 || c.unacknowledgedBytes() > 0) {
		pause.For(ctx, flushPollInterval)
	}
}

// FlushAll flushes connections until ctx ends.
func FlushAll(ctx context.Context, conns []*Conn) {
	for _, c := range conns {
		c.Flush(ctx)
	}
}

// unacknowledgedBytes returns the number of bytes in the kernel's send buffer, 0 if the connection has no file descriptor.
func (c *Conn) unacknowledgedBytes() int {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	if err := raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return unsent
}
