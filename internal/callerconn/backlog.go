package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pimentohead/pimentohead/internal/pause"
)

// acceptPollInterval is the time between checks for connections that wait to be accepted.
const acceptPollInterval = 2 * time.Millisecond

// CloseListener closes a listener once the server has accepted all connections that the kernel has established, or when ctx ends. Closing
// it resets those that wait, with the requests that callers have sent on them. Connections without a request are closed meanwhile, as the
// server may have a limit of connections. l is the listener without the Tracker's wrapper.
func (t *Tracker) CloseListener(ctx context.Context, l net.Listener) error {
	for hasBacklog(l) && ctx.Err() == nil {
		t.CloseIdle()
		pause.For(ctx, acceptPollInterval)
	}
	return l.Close()
}

// hasBacklog reports whether established connections wait to be accepted. It returns false if the listener has no file descriptor.
func hasBacklog(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		waiting = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}
