package h1

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBuffer is the size that LimitBuffers sets for each buffer of a socket, in bytes. The kernel doubles it for its own use. With 32 KiB
// and less, a write of 512 KiB over a loopback connection took 0.4 s, because the receiver delays acknowledgements of less than a segment;
// by default a socket whose peer does not read holds up to 4 MB.
const socketBuffer = 64 << 10

// LimitBuffers bounds what the kernel holds for each connection that is opened later. It is called before the pool is used.
func (p *Pool) LimitBuffers() { p.limitBuffers = true }

// setBuffers bounds the buffers of a socket.
func setBuffers(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
	})
}

// restoreAckTime applies tcpUserTimeout to a connection that is about to be closed. Where it was lifted, see limitAckTime, the kernel would
// hold the rest of a body for minutes that the upstream does not read. Other goroutines may use the connection meanwhile.
func (c *Conn) restoreAckTime() {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, tcpUserTimeout)
	}
}
