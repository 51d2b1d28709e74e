package dispatch

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// reconnectWait is how long a lost link's node may take to connect again.
	reconnectWait = 2 * time.Second
	// idempotentReconnectWait applies to requests that may be sent to another upstream instead: an urgent one has a target of
	// about 500 ms, and most nodes whose link is lost are dead.
	idempotentReconnectWait = 100 * time.Millisecond
	// queryWait bounds the wait for a QueryReply after that.
	queryWait = time.Second
)

// recover finds out what became of an attempt whose link was lost before it was answered. It returns the context's error when
// ctx ends first.
func (d *Dispatcher) recover(ctx context.Context, c *call) (Result, error) {
	unknown := Result{Outcome: message.OutcomeUnknown, Reason: ReasonLinkLost}
	if c.started() {
		return unknown, nil
	}
	wait, stop := context.WithTimeout(ctx, c.reconnectWait)
	defer stop()
	old := c.target.Conn
	for {
		conn, ok := d.reconnected(wait, c.target, old)
		if !ok {
			return unknown, ctx.Err()
		}
		if conn == nil {
			return unknown, nil // Another incarnation knows nothing of the attempt.
		}
		result, answered, err := c.queryOn(ctx, conn)
		if err != nil || answered {
			return result, err
		}
		old = conn
	}
}

// reconnected waits for a connection of the target other than old. It returns nil and true for another incarnation.
func (d *Dispatcher) reconnected(ctx context.Context, target Target, old *link.Conn) (*link.Conn, bool) {
	changes, unsubscribe := d.table.Subscribe()
	defer unsubscribe()
	for {
		conn, incarnation, ok := d.lookup(target)
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

func (d *Dispatcher) lookup(target Target) (*link.Conn, uint64, bool) {
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

// queryOn asks for the attempt's outcome on a new connection. answered is false when that connection failed too.
func (c *call) queryOn(ctx context.Context, conn *link.Conn) (result Result, answered bool, err error) {
	sendControl(conn, &message.Query{Attempt: c.attempt, AgentIncarnation: c.target.Incarnation})
	timeout := time.NewTimer(queryWait)
	defer timeout.Stop()
	for {
		if result, ok := c.verdict(conn); ok {
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

// verdict returns the result that the QueryReply, or a late answer, allows.
func (c *call) verdict(conn *link.Conn) (Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown := Result{Outcome: message.OutcomeUnknown, Reason: ReasonLinkLost}
	if c.result != nil && c.result.Outcome != message.OutcomeOK {
		return *c.result, true
	}
	if c.query == nil {
		return Result{}, false
	}
	switch c.query.State {
	case message.AttemptRevoked:
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonRevoked}, true
	case message.AttemptDone:
		if o := c.query.Outcome; o == message.OutcomeNotRun || o == message.OutcomeFailed {
			return Result{Outcome: o, Reason: ReasonLinkLost}, true
		}
		return unknown, true // It ran, but its answer is lost.
	case message.AttemptRunning:
		go c.cancel(conn)
		return unknown, true
	default:
		return unknown, true
	}
}
