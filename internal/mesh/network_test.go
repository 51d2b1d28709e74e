package mesh_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// network connects nodes in memory, so that they run on virtual time. The address of a node is its ID.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	random    *rand.Rand
	// lossShare is the share of writes that arrive lossDelay late, as with a lost packet that is sent again.
	lossShare float64
	// silent holds the directions in which nothing arrives, as pairs of sender and receiver.
	silent map[[2]string]bool
}

const lossDelay = 200 * time.Millisecond

func newNetwork(seed uint64) *network {
	return &network{listeners: map[string]*memoryListener{}, random: rand.New(rand.NewPCG(seed, 0)), silent: map[[2]string]bool{}}
}

// setSilent makes the direction from one node to another silent, or ends that.
func (n *network) setSilent(from, to string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[[2]string{from, to}] = silent
}

func (n *network) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[[2]string{from, to}]
}

// delay returns for how long a write is held up.
func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random.Float64() < n.lossShare {
		return lossDelay
	}
	return 0
}

func (n *network) listen(id string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{network: n, id: id, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[id] = l
	return l
}

// dialer returns the function with which a node dials others.
func (n *network) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		listener := n.listeners[to]
		n.mu.Unlock()
		if listener == nil {
			return nil, errors.New("connection refused")
		}
		if n.isSilent(from, to) || n.isSilent(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		select {
		case listener.accepted <- n.newConn(far, to, from):
			return n.newConn(near, from, to), nil
		case <-listener.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// memoryListener is the listener of one node.
type memoryListener struct {
	network   *network
	id        string
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.id] == l {
			delete(l.network.listeners, l.id)
		}
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.id) }

// memoryAddr is the address of a node.
type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// memoryConn is one end of a connection. Writes are buffered.
type memoryConn struct {
	net.Conn
	network              *network
	from, to             string
	writes               chan []byte
	closed               chan struct{}
	startOnce, closeOnce sync.Once
}

// maxBufferedWrites bounds the writes that the other end has not read yet.
const maxBufferedWrites = 256

func (n *network) newConn(pipe net.Conn, from, to string) *memoryConn {
	return &memoryConn{Conn: pipe, network: n, from: from, to: to, writes: make(chan []byte, maxBufferedWrites), closed: make(chan struct{})}
}

// transfer passes the buffered writes to the other end until the connection is closed.
func (c *memoryConn) transfer() {
	for {
		select {
		case <-c.closed:
			return
		case data := <-c.writes:
			if c.network.isSilent(c.from, c.to) {
				continue
			}
			if d := c.network.delay(); d > 0 {
				time.Sleep(d)
			}
			_ = c.SetWriteDeadline(time.Time{}) // The deadlines of the caller are those of Write.
			if _, err := c.Conn.Write(data); err != nil {
				_ = c.Close()
			}
		}
	}
}

func (c *memoryConn) Write(data []byte) (int, error) {
	c.startOnce.Do(func() { go c.transfer() })
	select {
	case c.writes <- append([]byte(nil), data...):
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
