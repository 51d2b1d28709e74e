package dispatch

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// reconnectTimeout is how long a node may take to reconnect after its link was lost.
	reconnectTimeout = 2 * time.Second
	// idempotentReconnectTimeout applies to requests that may be sent to another upstream instead. It is short because urgent
	// requests have a first-byte target of about 500 ms, and most nodes whose link is lost are dead.
	idempotentReconnectTimeout = 100 * time.Millisecond
	// queryTimeout bounds the wait for a QueryReply after the node has reconnected.
	queryTimeout = time.Second
)

// recoverOutcome determines the outcome of an attempt whose link was lost before its result arrived. It waits for the node to
// reconnect and queries it. It returns the context's error when ctx ends first.
func (d *Dispatcher) recoverOutcome(ctx context.Context, c *call) (Result, error) {
	unknown := Result{Outcome: message.OutcomeUnknown, Reason: ReasonLinkLost}
	if c.responseStarted() {
		return unknown, nil
	}
	wait, stop := context.WithTimeout(ctx, c.reconnectTimeout)
	defer stop()
	old := c.target.Conn
	for {
		conn, ok := d.awaitReconnect(wait, c.target, old)
		if !ok {
			return unknown, ctx.Err()
		}
		if conn == nil {
			return unknown, nil // The restarted process has no record of the attempt.
		}
		result, resolved, err := c.queryOutcome(ctx, conn)
		if err != nil || resolved {
			return result, err
		}
		old = conn
	}
}

// awaitReconnect waits for a connection to the target other than old. It returns a nil connection and true when the node's
// process has restarted, and false when ctx ends first.
func (d *Dispatcher) awaitReconnect(ctx context.Context, target Target, old *link.Conn) (*link.Conn, bool) {
	changes, unsubscribe := d.table.Subscribe()
	defer unsubscribe()
	for {
		conn, incarnation, ok := d.lookupTarget(target)
		if ok && incarnation != target.Incarnation {
			return nil, true
		}
		if ok && conn != old && conn.Err() == nil {
			return conn, true
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// lookupTarget returns the current connection and incarnation of the target's node.
func (d *Dispatcher) lookupTarget(target Target) (*link.Conn, uint64, bool) {
	if !target.Entry {
		u, ok := d.table.Upstream(target.NodeID)
		return u.Conn, u.Node.Incarnation, ok
	}
	for _, e := range d.table.Entries() {
		if e.Node.NodeID == target.NodeID {
			return e.Conn, e.Node.Incarnation, true
		}
	}
	return nil, 0, false
}

// queryOutcome queries the outcome of the attempt on a new connection. resolved is false when that connection was lost too.
func (c *call) queryOutcome(ctx context.Context, conn *link.Conn) (result Result, resolved bool, err error) {
	sendControl(conn, &message.Query{Attempt: c.attempt, AgentIncarnation: c.target.Incarnation})
	timeout := time.NewTimer(queryTimeout)
	defer timeout.Stop()
	for {
		if result, ok := c.recoveredResult(conn); ok {
			return result, true, nil
		}
		select {
		case <-c.wake:
		case <-conn.Done():
			return Result{}, false, nil
		case <-timeout.C:
			return Result{Outcome: message.OutcomeUnknown, Reason: ReasonLinkLost}, true, nil
		case <-ctx.Done():
			return Result{Outcome: message.OutcomeUnknown, Reason: ReasonLinkLost}, true, ctx.Err()
		}
	}
}

// recoveredResult returns the result that follows from the QueryReply or from a result that arrived late, and false when neither
// has arrived. A late OutcomeOK is ignored, because the head and the body of the response are not recovered.
func (c *call) recoveredResult(conn *link.Conn) (Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown := Result{Outcome: message.OutcomeUnknown, Reason: ReasonLinkLost}
	if c.result != nil && c.result.Outcome != message.OutcomeOK {
		return *c.result, true
	}
	if c.queryReply == nil {
		return Result{}, false
	}
	switch c.queryReply.State {
	case message.AttemptRevoked:
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonRevoked}, true
	case message.AttemptDone:
		if o := c.queryReply.Outcome; o == message.OutcomeNotRun || o == message.OutcomeFailed {
			return Result{Outcome: o, Reason: ReasonLinkLost}, true
		}
		return unknown, true // The attempt ran, but its response is lost.
	case message.AttemptRunning:
		go c.cancel(conn)
		return unknown, true
	default:
		return unknown, true
	}
}
