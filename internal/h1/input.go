package h1

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// inputReader reads from a connection. It can limit the number of bytes that it reads.
type inputReader struct {
	nc net.Conn
	// limited is set while remaining is the number of bytes that may still be read.
	limited   bool
	remaining int
	// onTimeout is as in Conn.OnReadTimeout.
	onTimeout func() time.Duration
	// until is when reads fail whatever onTimeout says; zero if there is no such time.
	until time.Time
	// lastInput is when bytes were last read, or when the connection was opened.
	lastInput time.Time
}

// limit lets n more bytes be read. Later reads fail with errHeadTooLarge.
func (r *inputReader) limit(n int) { r.limited, r.remaining = true, n }

// removeLimit lets any number of bytes be read.
func (r *inputReader) removeLimit() { r.limited = false }

// Read implements io.Reader.
func (r *inputReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// expired reports whether until has passed.
func (r *inputReader) expired() bool { return !r.until.IsZero() && !time.Now().Before(r.until) }

// read reads from the connection, and goes on after a timeout for as long as onTimeout says.
func (r *inputReader) read(p []byte) (int, error) {
	for {
		n, err := r.nc.Read(p)
		if n > 0 {
			r.lastInput = time.Now()
		}
		if errors.Is(err, io.EOF) && r.isLost() {
			err = &net.OpError{Op: "read", Net: "tcp", Addr: r.nc.RemoteAddr(), Err: syscall.ECONNRESET}
		}
		if n > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) || r.expired() {
			return n, err
		}
		called := time.Now()
		wait := r.onTimeout()
		if wait <= 0 {
			return n, err
		}
		if !r.until.IsZero() {
			r.until = r.until.Add(time.Since(called)) // Nothing was read meanwhile.
		}
		_ = r.nc.SetReadDeadline(earlierDeadline(r.until, time.Now().Add(wait)))
	}
}

// tcpStateClosed is the state of a TCP connection in TCP_INFO after a reset or a timeout. One that the peer has closed waits for the close of
// this side instead.
const tcpStateClosed = 7

// isLost reports whether the connection was reset or has timed out. The kernel reports that as an error once, to whichever call comes next: a
// peek or a write may have received it, and a read then ends as if the peer had closed the connection. A reset that follows a regular close,
// as of an upstream that has not read the whole request, counts too: some of its response may have been discarded.
func (r *inputReader) isLost() bool {
	sc, ok := r.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // The connection is closed on this side, which is no end of the peer's data.
	}
	lost := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		lost = infoErr == nil && info.State == tcpStateClosed
	})
	return err == nil && lost
}
