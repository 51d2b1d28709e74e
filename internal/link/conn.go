package link

import (
	"bufio"
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// bufferBytes is the size of the read buffer and of the write buffer. Frames are coalesced in the write buffer until the send
// queues are empty.
const bufferBytes = 64 << 10

// Handler receives the messages of one connection in order, on the connection's read goroutine. It must not block for long,
// because nothing else is read from the connection meanwhile. Heartbeats are delivered too; the link itself answers those that
// are probes.
type Handler func(c *Conn, m message.Message)

// Conn is an authenticated connection to another node. Its methods are safe for concurrent use.
type Conn struct {
	nc   net.Conn
	cfg  Config
	peer message.Hello

	// control and data are the send queues. usesDataQueue selects between them.
	control chan message.Message
	data    chan message.Message

	// status returns the heartbeat to send.
	status func() message.Heartbeat
	// heartbeatRequests asks the write goroutine for an immediate heartbeat. The value is the heartbeat's Probe field. Requests
	// beyond its small capacity are dropped.
	heartbeatRequests chan bool

	// queued counts the messages that Send has queued and that are not flushed to the connection yet.
	queued atomic.Int64
	// lastRead is the time of the last received byte in nanoseconds since the Unix epoch.
	lastRead atomic.Int64
	// sent and received count frame bytes after the handshake.
	sent     atomic.Uint64
	received atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}
	// cause is why the connection was closed. It is written once, before closed is closed.
	cause error
}

// Dial connects to addr and performs the handshake. status supplies heartbeats; it must not block.
// It returns ErrHandshake when the handshake fails, or the error of the dial.
func Dial(ctx context.Context, addr string, self message.Hello, cfg Config, status func() message.Heartbeat) (*Conn, error) {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, cfg.HandshakeTimeout)
	defer cancel()
	nc, err := cfg.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", addr)
	}
	return newConn(nc, self, cfg, status, true)
}

// Accept performs the handshake on an accepted connection. status supplies heartbeats; it must not block. When the handshake fails,
// Accept closes nc and returns ErrHandshake.
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
		control:           make(chan message.Message, cfg.ControlQueueSize),
		data:              make(chan message.Message, cfg.DataQueueSize),
		heartbeatRequests: make(chan bool, 4),
		closed:            make(chan struct{}),
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c, nil
}

// Peer returns the authenticated identity of the peer.
func (c *Conn) Peer() message.Hello { return c.peer }

// Done returns a channel that is closed when the connection is closed.
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

// BytesSent returns the number of frame bytes sent after the handshake.
func (c *Conn) BytesSent() uint64 { return c.sent.Load() }

// BytesReceived returns the number of frame bytes received after the handshake.
func (c *Conn) BytesReceived() uint64 { return c.received.Load() }

// SilentFor returns the time since the last byte arrived.
func (c *Conn) SilentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}

// Probe asks the peer for an immediate heartbeat, so that a lost connection is detected sooner.
func (c *Conn) Probe() { c.requestHeartbeat(true) }

// NotifyStatus sends a heartbeat with the current status without waiting for the heartbeat interval.
func (c *Conn) NotifyStatus() { c.requestHeartbeat(false) }

// requestHeartbeat asks the write goroutine for a heartbeat. It does nothing if several requests are pending already.
func (c *Conn) requestHeartbeat(probe bool) {
	select {
	case c.heartbeatRequests <- probe:
	default:
	}
}

// Send queues m and blocks while the queue is full. It returns ErrClosed when the connection is closed, and the context's error
// when ctx ends first; in both cases m was not queued. A nil error does not mean that the peer received m.
func (c *Conn) Send(ctx context.Context, m message.Message) error {
	queue := c.control
	if usesDataQueue(m) {
		queue = c.data
	}
	select {
	case <-c.closed:
		return c.closedError()
	default:
	}
	c.queued.Add(1)
	select {
	case queue <- m:
		return nil
	case <-c.closed:
		c.queued.Add(-1)
		return c.closedError()
	case <-ctx.Done():
		c.queued.Add(-1)
		return ctx.Err()
	}
}

// usesDataQueue reports whether m is sent through the data queue instead of the control queue. Submit and the response messages
// share one queue to preserve their order.
func usesDataQueue(m message.Message) bool {
	switch m.MessageType() {
	case message.TypeSubmit, message.TypeResponseHead, message.TypeResponseBody, message.TypeResponseEnd,
		message.TypeChunkReply, message.TypeManifestReply, message.TypeConfigReply, message.TypeWeightsReply:
		return true
	default:
		return false
	}
}

// Close closes the connection. Messages that are still queued are dropped; Flush waits for them.
func (c *Conn) Close() { c.fail(ErrClosed) }

// fail closes the connection with the given cause. Later calls have no effect.
func (c *Conn) fail(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.closed)
		_ = c.nc.Close()
	})
}

// closedError returns the cause, marked as ErrClosed. The connection must be closed.
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

// readLoop passes received messages to handle until the connection fails.
func (c *Conn) readLoop(handle Handler) {
	reader := bufio.NewReaderSize(activityReader{c}, bufferBytes)
	for {
		m, size, err := ReadFrame(reader, c.cfg.MaxFrameBytes)
		if err != nil {
			if errors.Is(err, message.ErrUnknownType) {
				continue // A peer of a newer release may send messages of types that this release does not support.
			}
			c.fail(err)
			return
		}
		c.received.Add(uint64(size))
		c.cfg.Traffic.received(m, size)
		if heartbeat, ok := m.(*message.Heartbeat); ok && heartbeat.Probe {
			c.NotifyStatus()
		}
		if err := c.handleMessage(handle, m); err != nil {
			c.fail(err)
			return
		}
	}
}

// handleMessage passes a message to handle. A panic ends the link and not the process, which serves other nodes and callers; the error contains
// the stack, and the owner of the link logs it as the cause of the loss.
func (c *Conn) handleMessage(handle Handler, m message.Message) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Wrapf(ErrHandlerPanic, "%s from %s: %v\n%s", m.MessageType(), c.peer.NodeID, r, debug.Stack())
		}
	}()
	handle(c, m)
	return nil
}

// activityReader reads from the connection and records the time of each read that returned bytes, so that the silence timeout
// does not expire while a large frame arrives over a slow link.
type activityReader struct{ c *Conn }

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.c.nc.Read(p)
	if n > 0 {
		r.c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// watchSilence closes the connection when nothing has arrived within the silence timeout. Its timer is set to the earliest time
// at which the timeout can expire, so on a healthy link it fires less often than heartbeats arrive.
func (c *Conn) watchSilence() {
	timer := time.NewTimer(c.cfg.SilenceTimeout)
	defer timer.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-timer.C:
			remaining := c.cfg.SilenceTimeout - c.SilentFor()
			if remaining <= 0 {
				c.fail(errors.Wrapf(ErrSilent, "peer %s", c.peer.NodeID))
				return
			}
			timer.Reset(remaining)
		}
	}
}
