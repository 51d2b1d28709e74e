package h1

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout closes a connection whose sent bytes or keep-alive probes are not acknowledged in time, such as behind a network
	// partition. An upstream that stands still for 1.5 s and goes on has to stay connected. As probes are sent every second, a connection
	// without sent bytes is closed after 3 s. It does not apply to long bodies, see limitAckTime.
	tcpUserTimeout = 2500 * time.Millisecond
	// maxIdleTime bounds how long a connection may be idle and still be reused. If the upstream advertises an idle timeout, the
	// limit is at most the fraction idleTimeoutShare of it.
	maxIdleTime      = 4 * time.Second
	idleTimeoutShare = 0.7
	// maxIdleConns bounds the idle connections to one upstream. An upstream limits the connections of all nodes together.
	maxIdleConns = 8
)

// Pool keeps idle connections for reuse, by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	// idle maps an address to its idle connections, the most recently used last. It is guarded by mu.
	idle map[string][]*Conn
	// limitBuffers is set by LimitBuffers.
	limitBuffers bool
	// opened counts the connections opened since the pool was created. It is guarded by mu.
	opened uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: map[string][]*Conn{}}
	p.dialer = net.Dialer{
		// Keep-alive probes detect the loss of the upstream while no sent bytes await acknowledgement, for example while a response
		// is awaited.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if p.limitBuffers {
				setBuffers(raw)
			}
			return setUserTimeout(raw, tcpUserTimeout)
		},
	}
	return p
}

// Get returns a connection to addr. It reuses an idle connection unless forceNew is set. The error is marked ErrNotSent if no
// connection can be opened within dialTimeout.
func (p *Pool) Get(ctx context.Context, addr string, forceNew bool, dialTimeout time.Duration) (*Conn, error) {
	for !forceNew {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleLimit && c.noPendingInput() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.dial(ctx, addr)
}

// dial opens a connection. The error is marked ErrNotSent.
func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "h1: dial"), ErrNotSent)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(nc, addr), nil
}

// setUserTimeout sets the TCP user timeout of a connection, 0 being the kernel's default.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// limitAckTime applies tcpUserTimeout to the connection, or lifts it. The kernel counts the time in which the receive window is closed, too,
// so that it would end a request whose long body a live upstream does not read yet. Without the limit, keep-alive probes and the deadline of
// the request detect the loss of the upstream.
func (c *Conn) limitAckTime(limited bool) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok || c.ackTimeUnlimited == !limited {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // The connection is closed, which the next write reports.
	}
	timeout := tcpUserTimeout
	if !limited {
		timeout = 0
	}
	_ = setUserTimeout(raw, timeout)
	c.ackTimeUnlimited = !limited
}

// Opened returns the number of connections opened since the pool was created.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// popIdle removes and returns the most recently used idle connection to addr, nil if there is none.
func (p *Pool) popIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	if len(list) == 1 {
		delete(p.idle, addr)
	}
	return c
}

// Put returns a connection to the pool after a complete response. It closes the connection if it cannot be reused or if maxIdleConns
// connections to the same address are idle already. idleTimeout is the upstream's idle timeout, 0 if not advertised.
func (p *Pool) Put(c *Conn, idleTimeout time.Duration) {
	c.idleLimit = maxIdleTime
	if idleTimeout > 0 {
		c.idleLimit = min(maxIdleTime, time.Duration(float64(idleTimeout)*idleTimeoutShare))
	}
	if !c.reusable() {
		c.Close()
		return
	}
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdleConns {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseExpired closes the connections that have been idle for longer than their limit.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// HasInput reports whether bytes have arrived that were not read yet, or the connection has ended.
func (c *Conn) HasInput() bool { return !c.noPendingInput() }

// maxPeekBytes bounds what PeekBytes returns.
const maxPeekBytes = 16 << 10

// PeekBytes returns bytes that have arrived on the connection since the last read from it, and leaves them there. Bytes in the buffer are not
// among them: a read that waits for the rest of a line leaves the beginning there.
func (c *Conn) PeekBytes() []byte {
	waiting, _ := c.peek(make([]byte, maxPeekBytes))
	return waiting
}

// noPendingInput reports whether a connection is open and has no unread data. Data that arrives while the connection is idle belongs to
// no request.
func (c *Conn) noPendingInput() bool {
	waiting, open := c.peek(make([]byte, 1))
	return open && len(waiting) == 0 && c.br.Buffered() == 0
}

// peek returns bytes that wait to be read from the connection, as far as they fit into p, and whether it is open. If there are bytes, it counts
// as open.
func (c *Conn) peek(p []byte) (waiting []byte, open bool) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil, true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, false
	}
	err = raw.Control(func(fd uintptr) { // Unlike Read, it does not fail after a read timeout.
		n, _, peekErr := unix.Recvfrom(int(fd), p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = p[:max(n, 0)]
		open = len(waiting) > 0 || errors.Is(peekErr, unix.EAGAIN)
	})
	if err != nil {
		return nil, false
	}
	return waiting, open
}
