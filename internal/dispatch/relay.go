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

// relay is one attempt that another entry forwarded to this one.
type relay struct {
	conn   *link.Conn
	submit *message.Submit
	cancel context.CancelFunc
	// more receives after each Credit.
	more chan struct{}
	// mu guards credit, the bytes that the other entry still accepts.
	mu     sync.Mutex
	credit int64
	// offset counts the bytes sent, agent is the upstream that runs the request. Used by the relay's goroutine only.
	offset int64
	agent  string
}

// handleForwarded takes messages about forwarded requests. It does not block.
func (d *Dispatcher) handleForwarded(conn *link.Conn, m message.Message) bool {
	switch m := m.(type) {
	case *message.Submit:
		d.startRelay(conn, m)
	case *message.Credit:
		if l := d.relays.find(m.Attempt); l.servesPeerOf(conn) {
			l.extend(m.Bytes)
		}
	case *message.Cancel:
		l := d.relays.find(m.Attempt)
		if l.servesPeerOf(conn) {
			l.cancel()
		} else if l == nil && conn.Peer().Role == message.RoleEntry {
			d.relays.query(m.Attempt) // Revokes a Submit that the Cancel has overtaken.
		}
	case *message.Query:
		reply := message.QueryReply{Attempt: m.Attempt, Known: message.KnownUnknown}
		if m.AgentIncarnation == d.incarnation {
			reply = d.relays.query(m.Attempt)
		}
		go sendControl(conn, &reply)
	default:
		return false
	}
	return true
}

// servesPeerOf tells whether l was forwarded by the node behind conn. A nil relay serves nobody.
func (l *relay) servesPeerOf(conn *link.Conn) bool {
	return l != nil && l.conn.Peer().NodeID == conn.Peer().NodeID
}

func (d *Dispatcher) startRelay(conn *link.Conn, submit *message.Submit) {
	timeout := millis(submit.DeadlineMillis) + deadlineGrace
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	l := &relay{conn: conn, submit: submit, cancel: cancel, more: make(chan struct{}, 1), credit: message.InitialCreditBytes}
	switch d.relays.admit(l) {
	case admitted:
		go d.runRelay(ctx, l)
		return
	case revoked:
		go l.reject(Result{Reason: message.ReasonRevoked})
	case full:
		go l.reject(Result{Reason: message.ReasonQueueFull, RetryAfter: defaultRetryAfter})
	}
	cancel()
}

// runRelay makes one attempt on an upstream here. Retries are the first entry's decision.
func (d *Dispatcher) runRelay(ctx context.Context, l *relay) {
	defer l.cancel()
	result := d.relayAttempt(ctx, l)
	d.relays.done(l.submit.Attempt, result.Outcome)
	if result.Rejected || result.Outcome == message.OutcomeNotRun {
		l.reject(result)
		return
	}
	if result.Reason == message.ReasonUpstreamCrash {
		// Sent ahead of the end, so that the first entry knows of the crash before it decides on a retry.
		l.send(context.Background(), &message.CrashReport{
			Fingerprint: l.submit.Fingerprint, AgentID: l.agent, UpstreamIncarnation: result.UpstreamIncarnation,
			BesideSuspect: result.BesideSuspect,
		})
	}
	l.send(context.Background(), &message.ResponseEnd{
		Attempt: l.submit.Attempt, Outcome: result.Outcome, Reason: result.Reason, Length: l.offset,
		BesideSuspect:       result.BesideSuspect,
		UpstreamIncarnation: result.UpstreamIncarnation, RetryAfterMillis: result.RetryAfter.Milliseconds(),
	})
}

func (d *Dispatcher) relayAttempt(ctx context.Context, l *relay) Result {
	received := time.Now()
	level := d.quarantine.Level(l.submit.Fingerprint)
	if level == quarantine.Refused {
		return Result{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonQuarantined, RetryAfter: d.quarantine.Retention(),
		}
	}
	u, err := d.router.Pick(l.routing(d.router.Kind(l.submit.Pool)))
	if err != nil {
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonNoUpstream}
	}
	l.agent = u.Node.NodeID
	c := newCall(l.submit.Attempt, upstreamTarget(u), l.submit.Idempotent)
	d.calls.add(c)
	defer d.calls.remove(c)
	submit := *l.submit
	submit.Suspect = submit.Suspect || level == quarantine.Suspect
	submit.DeadlineMillis = max(submit.DeadlineMillis-time.Since(received).Milliseconds(), 1)
	if !d.submit(ctx, c, &submit) {
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonNotServing}
	}
	return d.relayAnswer(ctx, l, c)
}

func (l *relay) routing(kind config.PoolKind) routing.Request {
	request := routing.Request{Pool: l.submit.Pool, Kind: kind}
	if kind == config.KindModel {
		request.Prefix = filter.PromptPrefix(l.submit.Body)
	}
	if l.submit.OrderKey != "" {
		request.OrderKey = orderKey(l.submit.Caller, l.submit.OrderKey)
	}
	return request
}

// relayAnswer passes the answer on within the other entry's credit.
func (d *Dispatcher) relayAnswer(ctx context.Context, l *relay, c *call) Result {
	for {
		ev, err := d.step(ctx, c)
		if err == nil && ev.data != nil {
			err = l.body(ctx, ev.data)
		}
		if err != nil {
			go c.cancel(c.target.Conn)
			return Result{Outcome: message.OutcomeUnknown, Reason: message.ReasonTimeout}
		}
		switch {
		case ev.head != nil:
			l.send(ctx, ev.head)
		case ev.data != nil:
			c.consumed(len(ev.data))
		default:
			d.report(c, l.submit.Fingerprint, *ev.result)
			if ev.result.Reason == ReasonIncomplete || ev.result.Reason == ReasonProtocol {
				go c.cancel(c.target.Conn)
			}
			return *ev.result
		}
	}
}

// body sends bytes as credit allows. When the link is lost, an idempotent request is given up, as the other entry repeats it.
// For another one the bytes are dropped, so that the upstream can finish and the outcome is known here.
func (l *relay) body(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n := l.take(len(data))
		if n == 0 {
			select {
			case <-l.more:
				continue
			case <-l.conn.Done():
				return l.linkLost()
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		l.send(ctx, &message.ResponseBody{Attempt: l.submit.Attempt, Offset: l.offset, Data: data[:n]})
		l.offset += int64(n)
		data = data[n:]
	}
	return nil
}

func (l *relay) linkLost() error {
	if l.submit.Idempotent {
		return l.conn.Err()
	}
	return nil
}

// take uses up to n bytes of credit.
func (l *relay) take(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := int(min(int64(n), l.credit))
	l.credit -= int64(taken)
	return taken
}

func (l *relay) extend(bytes int64) {
	l.mu.Lock()
	// The sum is bounded so that a faulty peer cannot make it overflow.
	l.credit = min(l.credit+max(bytes, 0), message.InitialCreditBytes)
	l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
}

// send queues a message of the answer and waits for room until ctx ends, or for submitWait when ctx has no end. The other side
// notices a lost message as a gap, or asks for the outcome when the link is lost.
func (l *relay) send(ctx context.Context, m message.Message) {
	if _, bounded := ctx.Deadline(); !bounded {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, submitWait)
		defer stop()
	}
	_ = l.conn.Send(ctx, m)
}

func (l *relay) reject(result Result) {
	l.send(context.Background(), &message.Reject{
		Attempt: l.submit.Attempt, Reason: result.Reason, RetryAfterMillis: result.RetryAfter.Milliseconds(),
	})
}

// Forwarded returns the number of requests of other entries in progress here.
func (d *Dispatcher) Forwarded() int { return d.relays.count() }
