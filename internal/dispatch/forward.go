package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/quarantine"
	"github.com/pimentohead/pimentohead/internal/routing"
)

// forwardedAttempt is an attempt that another entry forwarded to this one.
type forwardedAttempt struct {
	conn   *link.Conn
	submit *message.Submit
	cancel context.CancelFunc
	// creditAdded receives a value after each Credit message. Its buffer of one coalesces pending wake-ups.
	creditAdded chan struct{}
	// mu guards credit, the number of bytes that the forwarding entry still accepts.
	mu     sync.Mutex
	credit int64
	// offset is the number of body bytes sent, upstreamID the upstream that runs the request. Both are used only by the goroutine
	// that runs the attempt.
	offset     int64
	upstreamID string
}

// handleForwarded processes messages about forwarded requests and reports whether m was one. It does not block.
func (d *Dispatcher) handleForwarded(conn *link.Conn, m message.Message) bool {
	switch m := m.(type) {
	case *message.Submit:
		d.startForwarded(conn, m)
	case *message.Credit:
		if f := d.forwarded.find(m.Attempt); f.isFromPeer(conn) {
			f.addCredit(m.Bytes)
		}
	case *message.Cancel:
		f := d.forwarded.find(m.Attempt)
		if f.isFromPeer(conn) {
			f.cancel()
		} else if f == nil && conn.Peer().Role == message.RoleEntry {
			d.forwarded.queryOrRevoke(m.Attempt) // Revokes the attempt in case its Submit arrives after the Cancel.
		}
	case *message.Query:
		reply := message.QueryReply{Attempt: m.Attempt, State: message.AttemptUnknown}
		// For a forwarded attempt, AgentIncarnation is the incarnation of the entry to which it was forwarded.
		if m.AgentIncarnation == d.incarnation {
			reply = d.forwarded.queryOrRevoke(m.Attempt)
		}
		go sendControl(conn, &reply)
	default:
		return false
	}
	return true
}

// isFromPeer reports whether f was forwarded by the node at the other end of conn. It returns false for a nil f.
func (f *forwardedAttempt) isFromPeer(conn *link.Conn) bool {
	return f != nil && f.conn.Peer().NodeID == conn.Peer().NodeID
}

// startForwarded serves a forwarded attempt in a new goroutine if the registry admits it. A revoked attempt, or one beyond
// maxForwarded, is rejected; a duplicate gets no reply.
func (d *Dispatcher) startForwarded(conn *link.Conn, submit *message.Submit) {
	timeout := millis(submit.DeadlineMillis) + deadlineGrace
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	f := &forwardedAttempt{
		conn: conn, submit: submit, cancel: cancel, creditAdded: make(chan struct{}, 1), credit: message.InitialCreditBytes,
	}
	switch d.forwarded.admit(f) {
	case admissionAccepted:
		d.forwardedInFlight.Add(1)
		go d.serveForwarded(ctx, f)
		return
	case admissionRevoked:
		go f.reject(Result{Reason: message.ReasonRevoked})
	case admissionFull:
		go f.reject(Result{Reason: message.ReasonQueueFull, RetryAfter: defaultRetryAfter})
	}
	cancel()
}

// serveForwarded makes one attempt on an upstream of this entry and sends the result to the forwarding entry, which decides on
// retries.
func (d *Dispatcher) serveForwarded(ctx context.Context, f *forwardedAttempt) {
	defer d.forwardedInFlight.Add(-1)
	defer f.cancel()
	result := d.runForwardedAttempt(ctx, f)
	d.forwarded.recordOutcome(f.submit.Attempt, result.Outcome)
	if result.Rejected || result.Outcome == message.OutcomeNotRun {
		f.reject(result)
		return
	}
	if result.Reason == message.ReasonUpstreamCrash {
		// Sent before ResponseEnd, so that the forwarding entry knows of the crash before it decides on a retry.
		f.send(context.Background(), &message.CrashReport{
			Fingerprint: f.submit.Fingerprint, AgentID: f.upstreamID, UpstreamIncarnation: result.UpstreamIncarnation,
			BesideSuspect: result.BesideSuspect,
		})
	}
	f.send(context.Background(), &message.ResponseEnd{
		Attempt: f.submit.Attempt, Outcome: result.Outcome, Reason: result.Reason, Length: f.offset,
		BesideSuspect:       result.BesideSuspect,
		UpstreamIncarnation: result.UpstreamIncarnation, RetryAfterMillis: result.RetryAfter.Milliseconds(),
	})
}

// runForwardedAttempt selects an upstream of this entry, submits the attempt to it and forwards the response.
func (d *Dispatcher) runForwardedAttempt(ctx context.Context, f *forwardedAttempt) Result {
	receivedAt := time.Now()
	level := d.quarantine.Level(f.submit.Fingerprint)
	if level == quarantine.Refused {
		return Result{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonQuarantined, RetryAfter: d.quarantine.Retention(),
		}
	}
	u, err := d.router.Pick(f.routingRequest(d.router.Kind(f.submit.Pool)))
	if err != nil {
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonNoUpstream}
	}
	f.upstreamID = u.Node.NodeID
	c := newCall(f.submit.Attempt, upstreamTarget(u), f.submit.Idempotent)
	d.pendingCalls.add(c)
	defer d.pendingCalls.remove(c)
	submit := *f.submit
	submit.Suspect = submit.Suspect || level == quarantine.Suspect
	submit.DeadlineMillis = max(submit.DeadlineMillis-time.Since(receivedAt).Milliseconds(), 1)
	if !d.submit(ctx, c, &submit) {
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonNotServing}
	}
	return d.forwardResponse(ctx, f, c)
}

func (f *forwardedAttempt) routingRequest(kind config.PoolKind) routing.Request {
	request := routing.Request{Pool: f.submit.Pool, Kind: kind}
	if kind == config.KindModel {
		request.Prefix = filter.PromptPrefix(f.submit.Body)
	}
	if f.submit.IdempotencyKey != "" {
		request.IdempotencyKey = perCallerKey(f.submit.Caller, f.submit.IdempotencyKey)
	}
	return request
}

// forwardResponse passes the response to the forwarding entry as its credit allows, and returns the result of the attempt.
func (d *Dispatcher) forwardResponse(ctx context.Context, f *forwardedAttempt, c *call) Result {
	for {
		ev, err := d.nextEvent(ctx, c)
		if err == nil && ev.data != nil {
			err = f.sendBody(ctx, ev.data)
		}
		if err != nil {
			go c.cancel(c.target.Conn)
			return Result{Outcome: message.OutcomeUnknown, Reason: message.ReasonTimeout}
		}
		switch {
		case ev.head != nil:
			f.send(ctx, ev.head)
		case ev.data != nil:
			c.grantCredit(ctx, len(ev.data))
		default:
			d.reportResult(c, f.submit.Fingerprint, *ev.result)
			if ev.result.Reason == ReasonIncomplete || ev.result.Reason == ReasonProtocol {
				go c.cancel(c.target.Conn)
			}
			return *ev.result
		}
	}
}

// sendBody sends body bytes as credit allows. When the link is lost, an idempotent request is abandoned, because the forwarding
// entry repeats it. For any other request the bytes are discarded, so that the upstream can finish and this entry learns the
// outcome.
func (f *forwardedAttempt) sendBody(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n := f.takeCredit(len(data))
		if n == 0 {
			select {
			case <-f.creditAdded:
				continue
			case <-f.conn.Done():
				return f.linkLostError()
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		f.send(ctx, &message.ResponseBody{Attempt: f.submit.Attempt, Offset: f.offset, Data: data[:n]})
		f.offset += int64(n)
		data = data[n:]
	}
	return nil
}

// linkLostError returns the link's error for an idempotent request, and nil for any other.
func (f *forwardedAttempt) linkLostError() error {
	if f.submit.Idempotent {
		return f.conn.Err()
	}
	return nil
}

// takeCredit deducts up to n bytes from the credit and returns the number deducted.
func (f *forwardedAttempt) takeCredit(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := int(min(int64(n), f.credit))
	f.credit -= int64(taken)
	return taken
}

// addCredit adds the bytes of a Credit message and wakes sendBody.
func (f *forwardedAttempt) addCredit(bytes int64) {
	f.mu.Lock()
	// Capped so that a faulty peer cannot make the sum overflow.
	f.credit = min(f.credit+max(bytes, 0), message.InitialCreditBytes)
	f.mu.Unlock()
	select {
	case f.creditAdded <- struct{}{}:
	default:
	}
}

// send queues a message for the forwarding entry and waits for space in the send queue until ctx ends, or for resultSendTimeout when
// ctx has no deadline. The forwarding entry detects a lost message as a gap in the response, or queries the outcome when the link
// is lost.
func (f *forwardedAttempt) send(ctx context.Context, m message.Message) {
	if _, bounded := ctx.Deadline(); !bounded {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, resultSendTimeout)
		defer stop()
	}
	_ = f.conn.Send(ctx, m)
}

func (f *forwardedAttempt) reject(result Result) {
	f.send(context.Background(), &message.Reject{
		Attempt: f.submit.Attempt, Reason: result.Reason, RetryAfterMillis: result.RetryAfter.Milliseconds(),
	})
}

// ForwardedInFlight returns the number of requests from other entries that are in progress here, until their results are queued.
func (d *Dispatcher) ForwardedInFlight() int { return int(d.forwardedInFlight.Load()) }
