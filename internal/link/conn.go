package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// writeBufferBytes is the size of the write buffer. Frames are coalesced in it until the send rings are empty.
const writeBufferBytes = 64 << 10

// Handler receives the messages of one connection in order, on the connection's read goroutine. It must not block for long:
// while it runs, nothing else of this connection is read. Heartbeats are delivered too, after the link has answered probes.
type Handler func(c *Conn, m message.Message)

// Conn is an authenticated connection to another node. Its methods are safe for concurrent use.
type Conn struct {
	nc   net.Conn
	cfg  Config
	peer message.Hello

	control chan message.Message
	data    chan message.Message

	// status returns the heartbeat to send.
	status func() message.Heartbeat
	// probes asks the write goroutine for an immediate heartbeat.
	probes chan bool

	// lastRead is the time of the last received byte in nanoseconds since the epoch.
	lastRead atomic.Int64
	sent     atomic.Uint64
	received atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}
	// cause is written once before closed is closed.
	cause error
}

// Dial connects to addr and performs the handshake. status supplies heartbeats; it must not block.
// It returns ErrHandshake when the peer is not authentic, or the error of the dial.
func Dial(ctx context.Context, addr string, self message.Hello, cfg Config, status func() message.Heartbeat) (*Conn, error) {
	cfg = cfg.withDefaults()
	dialer := net.Dialer{Timeout: cfg.HandshakeTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", addr)
	}
	return newConn(nc, self, cfg, status, true)
}

// Accept performs the handshake on an accepted connection. It closes nc on failure.
func Accept(nc net.Conn, self message.Hello, cfg Config, status func() message.Heartbeat) (*Conn, error) {
	return newConn(nc, self, cfg.withDefaults(), status, false)
}

func newConn(nc net.Conn, self message.Hello, cfg Config, status func() message.Heartbeat, dialer bool) (*Conn, error) {
	peer, err := handshake(nc, self, cfg, dialer)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := &Conn{
		nc: nc, cfg: cfg, peer: peer, status: status,
		control: make(chan message.Message, cfg.ControlQueueSize),
		data:    make(chan message.Message, cfg.DataQueueSize),
		probes:  make(chan bool, 4),
		closed:  make(chan struct{}),
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c, nil
}

// Peer returns the authenticated identity of the peer.
func (c *Conn) Peer() message.Hello { return c.peer }

// Done is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Err returns why the connection was closed, or nil while it is open.
func (c *Conn) Err() error {
	select {
	case <-c.closed:
		return c.cause
	default:
		return nil
	}
}

// BytesSent and BytesReceived count frame bytes after the handshake.
func (c *Conn) BytesSent() uint64 { return c.sent.Load() }

// BytesReceived counts frame bytes received after the handshake.
func (c *Conn) BytesReceived() uint64 { return c.received.Load() }

// SilentFor returns the time since the last byte arrived.
func (c *Conn) SilentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}

// Probe asks the peer for an immediate heartbeat, so that silence is noticed sooner.
func (c *Conn) Probe() { c.requestHeartbeat(true) }

// NotifyStatus sends a heartbeat with the current status at once.
func (c *Conn) NotifyStatus() { c.requestHeartbeat(false) }

func (c *Conn) requestHeartbeat(probe bool) {
	select {
	case c.probes <- probe:
	default:
	}
}

// Send queues m and waits while the ring is full. It returns ErrClosed when the connection is closed and the context's error
// when ctx ends first; in both cases m was not queued. A nil error does not mean that the peer received m.
func (c *Conn) Send(ctx context.Context, m message.Message) error {
	ring := c.control
	if isBulk(m) {
		ring = c.data
	}
	select {
	case <-c.closed:
		return c.closedError()
	default:
	}
	select {
	case ring <- m:
		return nil
	case <-c.closed:
		return c.closedError()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isBulk selects the data ring. Submit and the response messages share one ring so that their order is kept.
func isBulk(m message.Message) bool {
	switch m.MessageType() {
	case message.TypeSubmit, message.TypeResponseHead, message.TypeResponseBody, message.TypeResponseEnd,
		message.TypeChunkReply, message.TypeManifestReply, message.TypeConfigReply, message.TypeWeightsReply:
		return true
	default:
		return false
	}
}

// Close closes the connection. Messages that are still queued are dropped.
func (c *Conn) Close() { c.fail(ErrClosed) }

func (c *Conn) fail(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.closed)
		_ = c.nc.Close()
	})
}

func (c *Conn) closedError() error {
	return errors.Mark(errors.Wrap(c.cause, "send"), ErrClosed)
}

// Serve runs the connection until it fails or ctx ends, and returns the cause. It must be called exactly once.
func (c *Conn) Serve(ctx context.Context, handle Handler) error {
	stop := context.AfterFunc(ctx, func() { c.fail(ErrClosed) })
	defer stop()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.writeLoop() }()
	go func() { defer wg.Done(); c.watchSilence() }()
	c.readLoop(handle)
	wg.Wait()
	return c.cause
}

func (c *Conn) readLoop(handle Handler) {
	reader := bufio.NewReaderSize(activityReader{c}, writeBufferBytes)
	for {
		m, size, err := ReadFrame(reader, c.cfg.MaxFrameBytes)
		if err != nil {
			if errors.Is(err, message.ErrUnknownType) {
				continue // A newer peer may send messages that this release does not know.
			}
			c.fail(err)
			return
		}
		c.received.Add(uint64(size))
		c.cfg.Traffic.received(m, size)
		if hb, ok := m.(*message.Heartbeat); ok && hb.Probe {
			c.NotifyStatus()
		}
		handle(c, m)
	}
}

// activityReader records the time of each read that returned bytes, so that a large frame on a slow link is not silence.
type activityReader struct{ c *Conn }

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.c.nc.Read(p)
	if n > 0 {
		r.c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// watchSilence wakes when the link would have been silent for the timeout, which on a healthy link is rarer than a heartbeat.
func (c *Conn) watchSilence() {
	timer := time.NewTimer(c.cfg.SilenceTimeout)
	defer timer.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-timer.C:
			left := c.cfg.SilenceTimeout - c.SilentFor()
			if left <= 0 {
				c.fail(errors.Wrapf(ErrSilent, "peer %s", c.peer.NodeID))
				return
			}
			timer.Reset(left)
		}
	}
}
