package h1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection on which sent bytes are not acknowledged, such as behind a partition.
	userTimeout = 1500 * time.Millisecond
	// maxIdle is how long a connection is kept if the upstream names no limit, idleShare the part of a limit that is used.
	maxIdle   = 4 * time.Second
	idleShare = 0.7
	// maxIdleConns bounds the idle connections to one upstream. Upstreams bound connections of all nodes together.
	maxIdleConns = 8
)

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	// idle is guarded by mu.
	idle map[string][]*Conn
	// opened counts connections.
	opened uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle: map[string][]*Conn{},
		dialer: net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
				})
			},
		},
	}
}

// Get returns a connection to addr, an idle one unless fresh is set. It returns ErrNotSent when none can be opened in time.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool, dialWait time.Duration) (*Conn, error) {
	for !fresh {
		c := p.take(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleFor && c.quiet() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "h1: dial"), ErrNotSent)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr}, nil
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *Pool) take(addr string) *Conn {
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

// Put takes a connection back after a whole answer. limit is the upstream's limit for idle connections, 0 if it names none.
func (p *Pool) Put(c *Conn, limit time.Duration) {
	c.idleFor = maxIdle
	if limit > 0 {
		c.idleFor = min(maxIdle, time.Duration(float64(limit)*idleShare))
	}
	if !c.finished() {
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

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleFor {
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

// quiet tells whether an idle connection is open and nothing has arrived on it. What has arrived belongs to no request.
func (c *Conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
