package faultproxy

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// conn is one relayed connection.
type conn struct {
	proxy    *Proxy
	source   Source
	client   net.Conn
	upstream net.Conn
	// ctx ends when the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// silent ends when the connection is made silent.
	silent  context.Context
	silence context.CancelFunc
}

// piece is data with the time at which it arrived. broken tells that the direction ended with an error instead of an orderly end.
type piece struct {
	at     time.Time
	data   []byte
	broken bool
}

func newConn(p *Proxy, source Source, client, upstream net.Conn) *conn {
	c := &conn{proxy: p, source: source, client: client, upstream: upstream}
	c.ctx, c.cancel = context.WithCancel(p.ctx)
	c.silent, c.silence = context.WithCancel(context.Background())
	return c
}

func (c *conn) close() {
	c.cancel()
	c.silence()
	_ = c.client.Close()   // The connection may be closed already.
	_ = c.upstream.Close() // The connection may be closed already.
}

func (c *conn) reset() {
	c.cancel()
	resetConn(c.client)
	resetConn(c.upstream)
}

// relay copies one direction: a reader stamps pieces, so that a delay does not reduce the throughput.
func (c *conn) relay(to, from net.Conn, first []byte, up bool) {
	pieces := make(chan piece, maxPieces)
	c.proxy.work.Go(func() { c.read(from, first, pieces) })
	for next := range pieces {
		if !c.pass(next, up) {
			return
		}
		if _, err := to.Write(next.data); err != nil || next.broken {
			c.reset()
			return
		}
		c.proxy.count(c.source, len(next.data))
	}
	// The end of a direction is subject to the same faults as its data.
	if c.pass(piece{at: time.Now()}, up) {
		closeWrite(to)
	}
}

// read sends what arrives to pieces until the direction ends.
func (c *conn) read(from net.Conn, first []byte, pieces chan<- piece) {
	defer close(pieces)
	next := piece{at: time.Now(), data: first}
	for {
		select {
		case pieces <- next:
		case <-c.ctx.Done():
			return
		}
		if next.broken {
			return
		}
		buffer := make([]byte, pieceBytes)
		n, err := from.Read(buffer)
		if errors.Is(err, io.EOF) {
			return
		}
		next = piece{at: time.Now(), data: buffer[:n], broken: err != nil}
	}
}

// pass waits until a piece may go on. It returns false when the connection has ended or is silent; a silent connection returns
// only when it is closed.
func (c *conn) pass(next piece, up bool) bool {
	for {
		_, hold, delay, upLimits, downLimits, changed := c.proxy.effective(c.source)
		if hold {
			select {
			case <-changed:
				continue
			case <-c.silent.Done():
			case <-c.ctx.Done():
			}
		}
		limits := downLimits
		if up {
			limits = upLimits
		}
		if !c.waitUntil(next.at.Add(delay)) || !c.take(limits, len(next.data)) {
			return false
		}
		if c.silent.Err() != nil {
			<-c.ctx.Done()
			return false
		}
		// A hold that was set meanwhile applies to this piece too.
		if _, hold, _, _, _, _ = c.proxy.effective(c.source); !hold {
			return c.ctx.Err() == nil
		}
	}
}

func (c *conn) waitUntil(at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *conn) take(limits []*rate.Limiter, bytes int) bool {
	for _, limit := range limits {
		if limit.WaitN(c.ctx, bytes) != nil {
			return false
		}
	}
	return true
}
