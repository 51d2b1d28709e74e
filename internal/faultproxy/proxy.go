// Package faultproxy is a TCP relay that injects faults between processes under test.
//
// It exists because toxiproxy applies faults to all connections of a proxy: it can neither silence existing connections while new
// ones work, nor distinguish the sources of connections to one listener.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// segmentBytes is the largest size of a relayed segment. A limiter in a Fault must allow a burst of at least this size.
	segmentBytes = 16 << 10
	// maxSegments bounds the segments that are buffered for each direction of a connection.
	maxSegments = 64
	// dialTimeout bounds the connection attempt to the target.
	dialTimeout = 2 * time.Second
)

// Source describes the node that opened a connection.
type Source struct {
	// Node is the node's ID.
	Node       string
	DataCentre string
	Region     string
}

// Fault is applied to the connections that a rule matches. The zero value has no effect.
type Fault struct {
	// Refuse resets new connections.
	Refuse bool
	// Hold delays data in both directions, without loss, until the rule is cleared.
	Hold bool
	// Delay is the latency added in each direction.
	Delay time.Duration
	// Up and Down limit the bytes per second from and to the source. Proxies may share a limiter. nil means no limit.
	Up, Down *rate.Limiter
}

// rule applies a fault to matching connections.
type rule struct {
	match func(Source) bool
	fault Fault
}

// Proxy relays connections to one target address.
type Proxy struct {
	// listen is the listen address, with the actual port after the first Listen.
	listen string
	target string
	// identify returns the source of a new connection. It may read from the connection to do so; the bytes that it read are returned
	// and must be relayed first.
	identify func(net.Conn) (Source, []byte, error)
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// goroutines tracks the goroutines of the proxy, for Close to wait for.
	goroutines sync.WaitGroup

	// mu guards all fields below.
	mu sync.Mutex
	// listener is nil while the proxy does not listen.
	listener net.Listener
	// rules holds the faults in force by name.
	rules map[string]rule
	conns map[*conn]struct{}
	// changed is closed and replaced on each change of rules.
	changed chan struct{}
	// relayed counts the relayed bytes by source.
	relayed map[Source]int64
}

// Bandwidth returns a limiter for Fault.Up or Fault.Down. Its burst is 16 KiB, the largest segment.
func Bandwidth(bytesPerSecond int64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), segmentBytes)
}

// Any matches every source.
func Any(Source) bool { return true }

// New starts a proxy that listens on the address listen and relays to the address target. Every connection is attributed to source.
func New(listen, target string, source Source) (*Proxy, error) {
	return start(listen, target, func(net.Conn) (Source, []byte, error) { return source, nil, nil })
}

// start returns a listening proxy.
func start(listen, target string, identify func(net.Conn) (Source, []byte, error)) (*Proxy, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		listen: listen, target: target, identify: identify, ctx: ctx, cancel: cancel,
		rules: make(map[string]rule), conns: make(map[*conn]struct{}), changed: make(chan struct{}),
		relayed: make(map[Source]int64),
	}
	if err := p.Listen(); err != nil {
		cancel()
		return nil, err
	}
	return p, nil
}

// Address returns the proxy's listen address. It stays the same when the proxy stops listening and listens again.
func (p *Proxy) Address() string { return p.listen }

// Listen opens the listener again after StopListening or Cut. It does nothing when the listener is open, and returns an error when the
// proxy is closed or the address cannot be bound.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ctx.Err() != nil {
		return errors.Wrap(p.ctx.Err(), "faultproxy: proxy is closed")
	}
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return errors.Wrap(err, "faultproxy: open listener")
	}
	p.listener, p.listen = listener, listener.Addr().String()
	p.goroutines.Go(func() { p.acceptLoop(listener) })
	return nil
}

// StopListening closes the listener, so that new connections are refused. Existing connections stay open.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close() // Closing a listener again is harmless.
		p.listener = nil
	}
}

// Set applies a fault to the connections whose source matches, existing and new. It replaces the rule of the same name.
func (p *Proxy) Set(name string, match func(Source) bool, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules[name] = rule{match: match, fault: fault}
	p.notifyChange()
}

// Clear removes the named rule.
func (p *Proxy) Clear(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rules, name)
	p.notifyChange()
}

// notifyChange wakes the connections that wait for a change of the rules. The caller must hold mu.
func (p *Proxy) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Break resets the existing connections that match. New connections are not affected.
func (p *Proxy) Break(match func(Source) bool) {
	for _, c := range p.matchingConns(match) {
		c.reset()
	}
}

// Silence stops all data on the existing connections that match, for good and without closing them. New connections are not
// affected.
func (p *Proxy) Silence(match func(Source) bool) {
	for _, c := range p.matchingConns(match) {
		c.silence()
	}
}

// Cut resets all connections and refuses new ones until Listen.
func (p *Proxy) Cut() {
	p.StopListening()
	p.Break(Any)
}

// RelayedBytes returns the bytes relayed so far, in both directions, over connections that match.
func (p *Proxy) RelayedBytes(match func(Source) bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum int64
	for source, bytes := range p.relayed {
		if match(source) {
			sum += bytes
		}
	}
	return sum
}

// countRelayed adds to the bytes relayed for source.
func (p *Proxy) countRelayed(source Source, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayed[source] += int64(bytes)
}

// Connections returns the number of open connections that match.
func (p *Proxy) Connections(match func(Source) bool) int { return len(p.matchingConns(match)) }

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.cancel()
	p.Cut()
	p.goroutines.Wait()
}

func (p *Proxy) matchingConns(match func(Source) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var matching []*conn
	for c := range p.conns {
		if match(c.source) {
			matching = append(matching, c)
		}
	}
	return matching
}

// effectiveFault combines the faults of all rules that match: refuse and hold are set when any rule sets them, delays add up, and every
// limiter applies. changed is closed on the next change of the rules.
func (p *Proxy) effectiveFault(source Source) (refuse, hold bool, delay time.Duration, up, down []*rate.Limiter, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rules {
		if !r.match(source) {
			continue
		}
		refuse, hold, delay = refuse || r.fault.Refuse, hold || r.fault.Hold, delay+r.fault.Delay
		if r.fault.Up != nil {
			up = append(up, r.fault.Up)
		}
		if r.fault.Down != nil {
			down = append(down, r.fault.Down)
		}
	}
	return refuse, hold, delay, up, down, p.changed
}

// acceptLoop serves each new connection in a goroutine until the listener is closed.
func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(client) })
	}
}

// serve identifies and relays one connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	stop := context.AfterFunc(p.ctx, func() { resetConn(client) })
	defer stop()
	source, initial, err := p.identify(client)
	if err != nil {
		resetConn(client)
		return
	}
	if refuse, _, _, _, _, _ := p.effectiveFault(source); refuse {
		resetConn(client)
		return
	}
	upstream, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	c := newConn(p, source, client, upstream)
	if !p.register(c) {
		c.reset()
		return
	}
	defer p.unregister(c)
	var relays sync.WaitGroup
	relays.Go(func() { c.relay(upstream, client, initial, true) })
	relays.Go(func() { c.relay(client, upstream, nil, false) })
	relays.Wait()
	c.close()
}

// register adds a connection. It returns false when the proxy is closed.
func (p *Proxy) register(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) unregister(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// resetConn closes a connection with a TCP reset instead of an orderly shutdown.
func resetConn(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The connection may be closed already.
	}
	_ = nc.Close() // The connection may be closed already.
}

// closeWrite closes the sending side of a TCP connection, which the peer reads as EOF.
func closeWrite(w io.Writer) {
	if tcp, ok := w.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // The connection may be closed already.
	}
}
