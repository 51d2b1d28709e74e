package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// probeInterval is how long a call waits without a message before it checks whether the link is silent.
	probeInterval = 500 * time.Millisecond
	// maxUnansweredProbes is the number of probes of a silent link after which a call closes it, one probeInterval after the last of them.
	// The time before the first probe does not count: the peer had no reason to send anything, and a sound peer may pause for 1.5 s.
	maxUnansweredProbes = 4
	// creditBatch is the number of consumed bytes after which more credit is sent to the peer.
	creditBatch = message.InitialCreditBytes / 4
	// controlSendTimeout bounds the wait for space in the link's send queue for Cancel, Query and QueryReply.
	controlSendTimeout = time.Second
)

// Target is the node to which an attempt is sent.
type Target struct {
	Conn   *link.Conn
	NodeID string
	// Incarnation identifies the run of the node's process; it changes when the process restarts.
	Incarnation uint64
	// Entry is set when the node is another entry, which forwards the request to one of its own upstreams.
	Entry bool
}

// responseEvent is the next part of a response. Exactly one field is set.
type responseEvent struct {
	head   *message.ResponseHead
	data   []byte
	result *Result
}

// call is one attempt that is waiting for its response. The link's read goroutine stores arriving messages with handleMessage;
// the request's goroutine retrieves them with nextEvent.
//
// Invariant: buffered holds at most InitialCreditBytes. A ResponseBody that exceeds this ends the attempt with ReasonProtocol; a peer
// that sends only as much as its credit allows never sends one.
type call struct {
	attempt message.Attempt
	target  Target
	// reconnectTimeout bounds the wait for the node to reconnect after its link was lost.
	reconnectTimeout time.Duration
	// wake receives a value after each change of state. It has a buffer of one, so pending wake-ups coalesce.
	wake chan struct{}
	// uncredited counts bytes consumed since the last Credit. Used by the request's goroutine only.
	uncredited int64

	// mu guards the fields below.
	mu            sync.Mutex
	head          *message.ResponseHead
	headReturned  bool
	buffered      []byte
	receivedBytes int64
	queryReply    *message.QueryReply
	result        *Result
}

// newCall returns a call. resendable reports whether the request may be sent again while the outcome of this attempt is unknown.
func newCall(attempt message.Attempt, target Target, resendable bool) *call {
	c := &call{attempt: attempt, target: target, reconnectTimeout: reconnectTimeout, wake: make(chan struct{}, 1)}
	if resendable {
		c.reconnectTimeout = idempotentReconnectTimeout
	}
	return c
}

// handleMessage applies a message of this attempt and wakes the waiting goroutine. It does not block.
func (c *call) handleMessage(m message.Message) {
	c.mu.Lock()
	if c.result == nil {
		c.apply(m)
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// apply updates the state with a message. The caller holds mu.
func (c *call) apply(m message.Message) {
	switch m := m.(type) {
	case *message.ResponseHead:
		if c.head != nil {
			c.setResult(Result{Outcome: message.OutcomeUnknown, Reason: ReasonProtocol})
			return
		}
		c.head = m
	case *message.ResponseBody:
		c.applyBody(m)
	case *message.ResponseEnd:
		c.setResult(endResult(m, c.head != nil, c.receivedBytes))
	case *message.Reject:
		if c.head != nil {
			c.setResult(Result{Outcome: message.OutcomeUnknown, Reason: ReasonProtocol})
			return
		}
		c.setResult(rejectResult(m))
	case *message.QueryReply:
		c.queryReply = m
	}
}

func (c *call) applyBody(m *message.ResponseBody) {
	switch {
	case c.head == nil || len(c.buffered)+len(m.Data) > message.InitialCreditBytes:
		c.setResult(Result{Outcome: message.OutcomeUnknown, Reason: ReasonProtocol})
	case m.Offset != c.receivedBytes:
		c.setResult(Result{Outcome: message.OutcomeUnknown, Reason: ReasonIncomplete})
	default:
		c.buffered = append(c.buffered, m.Data...)
		c.receivedBytes += int64(len(m.Data))
	}
}

// setResult sets the result unless it is already set. The caller holds mu.
func (c *call) setResult(result Result) {
	if c.result == nil {
		c.result = &result
	}
}

// takeEvent returns and removes the next event that has arrived: the head, then data, then the result. The result is not removed.
func (c *call) takeEvent() (responseEvent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.head != nil && !c.headReturned:
		c.headReturned = true
		return responseEvent{head: c.head}, true
	case len(c.buffered) > 0:
		data := c.buffered
		c.buffered = nil
		return responseEvent{data: data}, true
	case c.result != nil:
		return responseEvent{result: c.result}, true
	default:
		return responseEvent{}, false
	}
}

// responseStarted reports whether the head of the response has arrived.
func (c *call) responseStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil
}

// nextEvent waits for the next event. It returns an error when ctx ends, and sets linkLost when the link is lost without a
// result.
func (c *call) nextEvent(ctx context.Context) (ev responseEvent, linkLost bool, err error) {
	timer := time.NewTimer(probeInterval)
	defer timer.Stop()
	unansweredProbes := 0
	for {
		if ev, ok := c.takeEvent(); ok {
			return ev, false, nil
		}
		select {
		case <-c.wake:
			timer.Reset(probeInterval)
		case <-ctx.Done():
			return responseEvent{}, false, ctx.Err()
		case <-c.target.Conn.Done():
			ev, ok := c.takeEvent()
			return ev, !ok, nil
		case <-timer.C:
			unansweredProbes = c.probeLink(unansweredProbes)
			timer.Reset(probeInterval)
		}
	}
}

// probeLink requests a heartbeat on a silent link, or closes the link when earlier probes were not answered. It returns the
// number of unanswered probes.
func (c *call) probeLink(unansweredProbes int) int {
	if c.target.Conn.SilentFor() < probeInterval {
		return 0
	}
	if unansweredProbes >= maxUnansweredProbes {
		c.target.Conn.Close()
		return unansweredProbes
	}
	c.target.Conn.Probe()
	return unansweredProbes + 1
}

// grantCredit records that n bytes have been passed on, and sends the peer new credit once creditBatch bytes have accumulated. It waits for
// space in the send queue until ctx ends or the link is closed: the response would never continue without the credit.
func (c *call) grantCredit(ctx context.Context, n int) {
	c.uncredited += int64(n)
	if c.uncredited < creditBatch {
		return
	}
	if c.target.Conn.Send(ctx, &message.Credit{Attempt: c.attempt, Bytes: c.uncredited}) == nil {
		c.uncredited = 0
	}
}

// cancel sends the peer a Cancel, because the response is no longer needed.
func (c *call) cancel(conn *link.Conn) {
	sendControl(conn, &message.Cancel{Attempt: c.attempt})
}

// sendControl sends a control message and waits at most controlSendTimeout for space in the send queue. Errors are ignored: the
// request's deadline, queryTimeout or a Query on a new link covers a lost message.
func sendControl(conn *link.Conn, m message.Message) {
	ctx, stop := context.WithTimeout(context.Background(), controlSendTimeout)
	defer stop()
	_ = conn.Send(ctx, m)
}
