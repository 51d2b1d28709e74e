package faultproxy

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// conn is one relayed connection. client was accepted from the source, upstream was dialled to the target.
type conn struct {
	proxy    *Proxy
	source   Source
	client   net.Conn
	upstream net.Conn
	// ctx is cancelled when the connection is closed or reset.
	ctx    context.Context
	cancel context.CancelFunc
	// silent is cancelled by silence: from then on no data passes, but both sockets stay open.
	silent  context.Context
	silence context.CancelFunc
}

// segment is a block of data with the time of its arrival. failed is set when reading ended with an error other than EOF.
type segment struct {
	arrival time.Time
	data    []byte
	failed  bool
}

func newConn(p *Proxy, source Source, client, upstream net.Conn) *conn {
	c := &conn{proxy: p, source: source, client: client, upstream: upstream}
	c.ctx, c.cancel = context.WithCancel(p.ctx)
	c.silent, c.silence = context.WithCancel(context.Background())
	return c
}

// close closes both sockets in an orderly way.
func (c *conn) close() {
	c.cancel()
	c.silence()
	_ = c.client.Close()   // The connection may be closed already.
	_ = c.upstream.Close() // The connection may be closed already.
}

// reset closes both sockets with a TCP reset.
func (c *conn) reset() {
	c.cancel()
	resetConn(c.client)
	resetConn(c.upstream)
}

// relay copies one direction of the connection, beginning with the bytes that were already read from it. fromSource is set for the
// direction from the source, which Fault.Up limits. A separate goroutine reads ahead and records arrival times, so that a delay does
// not reduce the throughput.
func (c *conn) relay(to, from net.Conn, initial []byte, fromSource bool) {
	segments := make(chan segment, maxSegments)
	c.proxy.goroutines.Go(func() { c.readSegments(from, initial, segments) })
	for next := range segments {
		if !c.awaitForward(next, fromSource) {
			return
		}
		if _, err := to.Write(next.data); err != nil || next.failed {
			c.reset()
			return
		}
		c.proxy.countRelayed(c.source, len(next.data))
	}
	// EOF is forwarded under the same faults as data.
	if c.awaitForward(segment{arrival: time.Now()}, fromSource) {
		closeWrite(to)
	}
}

// readSegments sends the initial bytes and then all received data to the channel until EOF, an error, or the end of ctx,
// and then closes the channel.
func (c *conn) readSegments(from net.Conn, initial []byte, segments chan<- segment) {
	defer close(segments)
	next := segment{arrival: time.Now(), data: initial}
	for {
		select {
		case segments <- next:
		case <-c.ctx.Done():
			return
		}
		if next.failed {
			return
		}
		buffer := make([]byte, segmentBytes)
		n, err := from.Read(buffer)
		if errors.Is(err, io.EOF) {
			return
		}
		next = segment{arrival: time.Now(), data: buffer[:n], failed: err != nil}
	}
}

// awaitForward blocks until the faults in force allow the segment to be forwarded, and then returns true. It returns false once the
// connection has ended; on a silent connection it blocks until then.
func (c *conn) awaitForward(next segment, fromSource bool) bool {
	for {
		_, hold, delay, upLimiters, downLimiters, changed := c.proxy.effectiveFault(c.source)
		if hold {
			select {
			case <-changed:
				continue
			case <-c.silent.Done():
			case <-c.ctx.Done():
			}
		}
		limiters := downLimiters
		if fromSource {
			limiters = upLimiters
		}
		if !c.waitUntil(next.arrival.Add(delay)) || !c.waitForBandwidth(limiters, len(next.data)) {
			return false
		}
		if c.silent.Err() != nil {
			<-c.ctx.Done()
			return false
		}
		// A Hold that was set during the delay applies to this segment too.
		if _, hold, _, _, _, _ = c.proxy.effectiveFault(c.source); !hold {
			return c.ctx.Err() == nil
		}
	}
}

// waitUntil sleeps until t. It returns false when ctx is cancelled first.
func (c *conn) waitUntil(t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// waitForBandwidth waits until every limiter admits the bytes. It returns false when ctx is cancelled first.
func (c *conn) waitForBandwidth(limiters []*rate.Limiter, bytes int) bool {
	for _, limiter := range limiters {
		if limiter.WaitN(c.ctx, bytes) != nil {
			return false
		}
	}
	return true
}
