// Package faultproxy is a TCP relay that injects faults between processes under test.
//
// The relay is our own because the library that was considered (toxiproxy) applies faults to all connections of a proxy. It
// cannot silence existing connections while new ones work, nor tell the sources of connections to one listener apart.
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
	// pieceBytes is the unit of relayed data; a limiter of a Fault must allow a burst of at least this size.
	pieceBytes = 16 << 10
	// maxPieces bounds the data held by one direction of a connection.
	maxPieces   = 64
	dialTimeout = 2 * time.Second
)

// Source describes who opened a connection.
type Source struct {
	Node       string
	DataCentre string
	Region     string
}

// Fault is what happens to the connections that a rule matches. The zero value relays unchanged.
type Fault struct {
	// Refuse resets new connections.
	Refuse bool
	// Hold stops data in both directions, without loss, until the rule is cleared.
	Hold bool
	// Delay is added in each direction.
	Delay time.Duration
	// Up and Down limit bytes a second from and to the source. Proxies may share a limiter. nil is no limit.
	Up, Down *rate.Limiter
}

// rule applies a fault to matching connections.
type rule struct {
	match func(Source) bool
	fault Fault
}

// Proxy relays the connections to one address.
type Proxy struct {
	listen   string
	target   string
	identify func(net.Conn) (Source, []byte, error)
	ctx      context.Context
	cancel   context.CancelFunc
	// work counts the goroutines of the proxy.
	work sync.WaitGroup

	// mu guards all fields below.
	mu       sync.Mutex
	listener net.Listener
	rules    map[string]rule
	conns    map[*conn]struct{}
	// changed is closed and replaced on each change of rules.
	changed chan struct{}
	// carried counts the relayed bytes by source.
	carried map[Source]int64
}

// Bandwidth returns a limiter of bytes a second for a Fault.
func Bandwidth(bytesPerSecond int64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)
}

// Any matches all sources.
func Any(Source) bool { return true }

// New starts a proxy on the address listen whose connections all come from source.
func New(listen, target string, source Source) (*Proxy, error) {
	return start(listen, target, func(net.Conn) (Source, []byte, error) { return source, nil, nil })
}

func start(listen, target string, identify func(net.Conn) (Source, []byte, error)) (*Proxy, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		listen: listen, target: target, identify: identify, ctx: ctx, cancel: cancel,
		rules: make(map[string]rule), conns: make(map[*conn]struct{}), changed: make(chan struct{}),
		carried: make(map[Source]int64),
	}
	if err := p.Listen(); err != nil {
		cancel()
		return nil, err
	}
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listen }

// Listen opens the listener; nothing happens when it is open.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ctx.Err() != nil {
		return errors.Wrap(p.ctx.Err(), "faultproxy")
	}
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return errors.Wrap(err, "faultproxy")
	}
	p.listener, p.listen = listener, listener.Addr().String()
	p.work.Go(func() { p.acceptLoop(listener) })
	return nil
}

// StopListening closes the listener, so that new connections are refused. Existing ones go on.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close() // Closing a listener again is harmless.
		p.listener = nil
	}
}

// Set puts a fault in force for the connections that match; it replaces the rule of the same name.
func (p *Proxy) Set(name string, match func(Source) bool, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules[name] = rule{match: match, fault: fault}
	p.notify()
}

// Clear removes a rule.
func (p *Proxy) Clear(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rules, name)
	p.notify()
}

// notify wakes connections after a change. The caller holds mu.
func (p *Proxy) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Break resets the existing connections that match. New ones work.
func (p *Proxy) Break(match func(Source) bool) {
	for _, c := range p.matching(match) {
		c.reset()
	}
}

// Silence makes the existing connections that match silent for ever, without closing them. New ones work.
func (p *Proxy) Silence(match func(Source) bool) {
	for _, c := range p.matching(match) {
		c.silence()
	}
}

// Cut refuses new connections and resets existing ones until Accept.
func (p *Proxy) Cut() {
	p.StopListening()
	p.Break(Any)
}

// RelayedBytes returns the bytes relayed in both directions over connections that match.
func (p *Proxy) RelayedBytes(match func(Source) bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum int64
	for source, bytes := range p.carried {
		if match(source) {
			sum += bytes
		}
	}
	return sum
}

func (p *Proxy) count(source Source, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carried[source] += int64(bytes)
}

// Connections returns the number of open connections that match.
func (p *Proxy) Connections(match func(Source) bool) int { return len(p.matching(match)) }

// Close ends the proxy and its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.cancel()
	p.Cut()
	p.work.Wait()
}

func (p *Proxy) matching(match func(Source) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*conn
	for c := range p.conns {
		if match(c.source) {
			out = append(out, c)
		}
	}
	return out
}

// effective combines the faults of all rules that match, and returns a channel that is closed on the next change.
func (p *Proxy) effective(source Source) (refuse, hold bool, delay time.Duration, up, down []*rate.Limiter, changed <-chan struct{}) {
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

func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.serve(client) })
	}
}

// serve relays one connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	ended := context.AfterFunc(p.ctx, func() { resetConn(client) })
	defer ended()
	source, first, err := p.identify(client)
	if err != nil {
		resetConn(client)
		return
	}
	if refuse, _, _, _, _, _ := p.effective(source); refuse {
		resetConn(client)
		return
	}
	upstream, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	c := newConn(p, source, client, upstream)
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.remove(c)
	var relays sync.WaitGroup
	relays.Go(func() { c.relay(upstream, client, first, true) })
	relays.Go(func() { c.relay(client, upstream, nil, false) })
	relays.Wait()
	c.close()
}

// add registers a connection. It returns false when the proxy is closed.
func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// resetConn closes a connection with a reset instead of an orderly end.
func resetConn(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The connection may be closed already.
	}
	_ = nc.Close() // The connection may be closed already.
}

// closeWrite passes on the end of one direction.
func closeWrite(w io.Writer) {
	if tcp, ok := w.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // The connection may be closed already.
	}
}
