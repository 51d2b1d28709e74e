package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// probeAfter is how long a call sees no message before it probes a silent link.
	probeAfter = 500 * time.Millisecond
	// deadAfter closes a link on which nothing arrived for so long although a call has probed it at least minProbes times.
	deadAfter = 2 * time.Second
	minProbes = 2
	// creditBatch is the number of consumed bytes after which the window is extended.
	creditBatch = message.InitialCreditBytes / 4
	// controlSendTimeout bounds the wait for room in the ring for Credit, Cancel and Query.
	controlSendTimeout = time.Second
)

// Target is the node to which an attempt is sent.
type Target struct {
	Conn   *link.Conn
	NodeID string
	// Incarnation is that of the node's process.
	Incarnation uint64
	// Entry tells that the node is another entry, which forwards to an upstream of its own.
	Entry bool
}

// event is one step of an answer. Exactly one field is set.
type event struct {
	head   *message.ResponseHead
	data   []byte
	result *Result
}

// call is one attempt that waits for its answer. The link's read goroutine stores what arrives; the request's goroutine takes
// it with next.
//
// Invariant: buffered holds at most InitialCreditBytes, because the peer may only send what credit allows.
type call struct {
	attempt message.Attempt
	target  Target
	// reconnectWait bounds the wait for the node's next connection when the link is lost.
	reconnectWait time.Duration
	// wake receives after each change.
	wake chan struct{}
	// uncredited counts bytes consumed since the last Credit. Used by the request's goroutine only.
	uncredited int64

	// mu guards the fields below.
	mu        sync.Mutex
	head      *message.ResponseHead
	headTaken bool
	buffered  []byte
	received  int64
	query     *message.QueryReply
	result    *Result
}

// newCall returns a call. repeatable tells that the request may be sent again without knowing what became of this attempt.
func newCall(attempt message.Attempt, target Target, repeatable bool) *call {
	c := &call{attempt: attempt, target: target, reconnectWait: reconnectWait, wake: make(chan struct{}, 1)}
	if repeatable {
		c.reconnectWait = idempotentReconnectWait
	}
	return c
}

// accept stores a message of this attempt. It does not block.
func (c *call) accept(m message.Message) {
	c.mu.Lock()
	if c.result == nil {
		c.store(m)
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// store updates the state. The caller holds mu.
func (c *call) store(m message.Message) {
	switch m := m.(type) {
	case *message.ResponseHead:
		if c.head != nil {
			c.finish(Result{Outcome: message.OutcomeUnknown, Reason: ReasonProtocol})
			return
		}
		c.head = m
	case *message.ResponseBody:
		c.storeBody(m)
	case *message.ResponseEnd:
		c.finish(ended(m, c.head != nil, c.received))
	case *message.Reject:
		if c.head != nil {
			c.finish(Result{Outcome: message.OutcomeUnknown, Reason: ReasonProtocol})
			return
		}
		c.finish(rejected(m))
	case *message.QueryReply:
		c.query = m
	}
}

func (c *call) storeBody(m *message.ResponseBody) {
	switch {
	case c.head == nil || len(c.buffered)+len(m.Data) > message.InitialCreditBytes:
		c.finish(Result{Outcome: message.OutcomeUnknown, Reason: ReasonProtocol})
	case m.Offset != c.received:
		c.finish(Result{Outcome: message.OutcomeUnknown, Reason: ReasonIncomplete})
	default:
		c.buffered = append(c.buffered, m.Data...)
		c.received += int64(len(m.Data))
	}
}

// finish sets the result once. The caller holds mu.
func (c *call) finish(result Result) {
	if c.result == nil {
		c.result = &result
	}
}

// take returns the next event that has arrived: head, then data, then the result.
func (c *call) take() (event, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.head != nil && !c.headTaken:
		c.headTaken = true
		return event{head: c.head}, true
	case len(c.buffered) > 0:
		data := c.buffered
		c.buffered = nil
		return event{data: data}, true
	case c.result != nil:
		return event{result: c.result}, true
	default:
		return event{}, false
	}
}

// started tells whether the upstream has begun to answer.
func (c *call) started() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil
}

// next waits for the next event. It returns an error when ctx ends, or lost set to true when the link is lost without a result.
func (c *call) next(ctx context.Context) (ev event, lost bool, err error) {
	timer := time.NewTimer(probeAfter)
	defer timer.Stop()
	probes := 0
	for {
		if ev, ok := c.take(); ok {
			return ev, false, nil
		}
		select {
		case <-c.wake:
			timer.Reset(probeAfter)
		case <-ctx.Done():
			return event{}, false, ctx.Err()
		case <-c.target.Conn.Done():
			ev, ok := c.take()
			return ev, !ok, nil
		case <-timer.C:
			probes = c.probe(probes)
			timer.Reset(probeAfter)
		}
	}
}

// probe asks a silent link for a heartbeat, and closes it when earlier probes were not answered.
func (c *call) probe(probes int) int {
	silent := c.target.Conn.SilentFor()
	if silent < probeAfter {
		return 0
	}
	if probes >= minProbes && silent > deadAfter {
		c.target.Conn.Close()
		return probes
	}
	c.target.Conn.Probe()
	return probes + 1
}

// consumed extends the window of the peer for n bytes that have left the buffer for good.
func (c *call) consumed(n int) {
	c.uncredited += int64(n)
	if c.uncredited < creditBatch {
		return
	}
	sendControl(c.target.Conn, &message.Credit{Attempt: c.attempt, Bytes: c.uncredited})
	c.uncredited = 0
}

// cancel tells the peer that nobody waits for the answer.
func (c *call) cancel(conn *link.Conn) {
	sendControl(conn, &message.Cancel{Attempt: c.attempt})
}

// sendControl sends a control message when the ring has room soon. A lost one is made good by the deadline or by Query.
func sendControl(conn *link.Conn, m message.Message) {
	ctx, stop := context.WithTimeout(context.Background(), controlSendTimeout)
	defer stop()
	_ = conn.Send(ctx, m)
}
