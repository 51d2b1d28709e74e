package agent

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/sched"
)

const (
	// storeRetryAfter is the hint to callers whose order could not be claimed or whose answer is not known yet.
	storeRetryAfter = 2 * time.Second
	// repeatWait bounds how long a repeated key waits for the first order's answer.
	repeatWait = 10 * time.Second
	// The way of the first byte from the agent to the caller is taken to need 1/returnFraction of the target, at most
	// maxReturn. Without it 3% of an urgent flood's answers came up to 10 ms late, because a flooded queue starts each request
	// at the last moment.
	returnFraction = 20
	maxReturn      = 10 * time.Millisecond
)

// Causes of a cancelled request.
var (
	errCancelled = errors.New("agent: request cancelled")
	errCrashed   = errors.New("agent: upstream crashed")
	errDeadline  = errors.New("agent: deadline exceeded")
)

func (g *Agent) handleSubmit(conn *link.Conn, m *message.Submit) {
	a := &attempt{
		id: m.Attempt, submit: m, conn: conn, received: time.Now(), detached: make(chan struct{}), credit: newCredit(),
	}
	deadline := a.received.Add(time.Duration(m.DeadlineMillis) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(context.Background())
	timer := time.AfterFunc(time.Until(deadline), func() { cancel(errDeadline) })
	a.ctx, a.cancel = ctx, func(cause error) { timer.Stop(); cancel(cause) }
	known, full := g.attempts.add(a)
	if full || known != nil {
		a.cancel(nil)
	}
	switch {
	case full:
		send(conn, &message.Reject{Attempt: m.Attempt, Reason: message.ReasonQueueFull, RetryAfterMillis: storeRetryAfter.Milliseconds()})
		return
	case known != nil:
		known.mu.Lock()
		revoked := known.state == attemptRevoked
		known.mu.Unlock()
		if revoked {
			send(conn, &message.Reject{Attempt: m.Attempt, Reason: message.ReasonRevoked})
		}
		return // A copy of an attempt that was started is answered once.
	}
	if reason := g.refusal(m); reason != "" {
		g.reject(a, reason, 0)
		return
	}
	if !m.Idempotent && m.OrderKey != "" {
		g.running.Add(1)
		go func() { defer g.running.Done(); g.claim(a) }()
		return
	}
	g.enqueue(a)
}

// refusal returns why new requests are not accepted, or "".
func (g *Agent) refusal(m *message.Submit) message.Reason {
	switch {
	case m.Pool != g.settings.Agent.Pool:
		return message.ReasonNoUpstream
	case g.state() == message.StateDown:
		return message.ReasonNoUpstream
	case g.state() != message.StateServing:
		return message.ReasonNotServing
	default:
		return ""
	}
}

// requestDigest covers what makes two requests with one key equal.
func requestDigest(m *message.Submit) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(m.Method), []byte(m.Path), m.Body} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (g *Agent) claim(a *attempt) {
	ctx, cancel := context.WithTimeout(a.ctx, repeatWait)
	defer cancel()
	result, err := g.ledger.Begin(ctx, a.submit.Caller, a.submit.OrderKey, requestDigest(a.submit))
	switch {
	case err != nil:
		g.reject(a, message.ReasonStoreDown, storeRetryAfter)
	case result.Verdict == order.Run:
		a.mu.Lock()
		a.claim = result.Claim
		a.mu.Unlock()
		g.enqueue(a)
	case result.Verdict == order.Replay:
		g.answer(a, *result.Answer, true)
	case result.Verdict == order.Mismatch:
		g.answer(a, conflictAnswer(a), false)
	default:
		retry := storeRetryAfter
		if result.Final {
			retry = 0
		}
		g.end(a, message.ResponseEnd{
			Outcome: message.OutcomeUnknown, Reason: message.ReasonKeyPending, RetryAfterMillis: retry.Milliseconds(),
		})
	}
}

func conflictAnswer(a *attempt) order.Answer {
	body := `{"error":{"code":"key-conflict","message":"the Idempotency-Key was used for a different request",` +
		`"outcome":"not-run","request_id":` + strconv.Quote(a.id.RequestID) + `}}`
	return order.Answer{
		Status: http.StatusUnprocessableEntity,
		Header: []message.HeaderField{
			{Name: "Content-Type", Value: "application/json"},
			{Name: "Pimentohead-Outcome", Value: string(message.OutcomeNotRun)},
		},
		Body: []byte(body),
	}
}

// answer sends an answer that did not come from the upstream. It is at most 16 KiB, which the initial window covers.
func (g *Agent) answer(a *attempt, answer order.Answer, replayed bool) {
	g.send(a, &message.ResponseHead{Attempt: a.id, Status: answer.Status, Header: answer.Header, Replayed: replayed})
	if len(answer.Body) > 0 {
		g.send(a, &message.ResponseBody{Attempt: a.id, Data: answer.Body})
	}
	g.end(a, message.ResponseEnd{Outcome: message.OutcomeOK, Length: int64(len(answer.Body))})
}

// enqueue hands an attempt to the scheduler unless it was revoked.
func (g *Agent) enqueue(a *attempt) {
	m := a.submit
	item := &sched.Item{
		Priority: m.Priority, Caller: m.Caller, Weight: m.Weight, Cost: m.Cost, Suspect: m.Suspect, Stream: m.Stream,
		Deadline: a.received.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
	}
	if m.TargetMillis > 0 {
		target := time.Duration(m.TargetMillis) * time.Millisecond
		item.FirstByteTarget = a.received.Add(target - min(target/returnFraction, maxReturn))
	}
	item.Start = func() { g.start(a) }
	item.Drop = func(reason message.Reason, retryAfter time.Duration) {
		if reason == message.ReasonNotServing && g.state() == message.StateDown {
			reason = message.ReasonNoUpstream
		}
		g.reject(a, reason, retryAfter)
	}
	a.mu.Lock()
	if a.state != attemptPending {
		claim := a.takeClaim()
		a.mu.Unlock()
		g.release(claim)
		return
	}
	a.item = item
	a.mu.Unlock()
	g.queue.Push(item)
	g.announcer.loadChanged()
}

// reject ends an attempt that was not started. The claim is released, so that the order key can be used again.
func (g *Agent) reject(a *attempt, reason message.Reason, retryAfter time.Duration) {
	a.mu.Lock()
	claim, revoked := a.takeClaim(), a.state == attemptRevoked
	a.state = attemptRevoked
	a.mu.Unlock()
	g.release(claim)
	a.cancel(nil)
	g.attempts.ended(a)
	g.announcer.loadChanged()
	if !revoked {
		g.metrics.rejected(a, reason)
		send(a.conn, &message.Reject{Attempt: a.id, Reason: reason, RetryAfterMillis: retryAfter.Milliseconds()})
	}
}

func (g *Agent) release(claim *order.Claim) {
	if claim != nil {
		g.ledger.Release(claim)
	}
}

// revoke makes sure that an attempt which was not started never is. It returns false when the attempt was started.
func (g *Agent) revoke(a *attempt) bool {
	revoked := g.revokePending(a)
	if revoked {
		g.attempts.ended(a)
	}
	return revoked
}

func (g *Agent) revokePending(a *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == attemptRevoked {
		return true
	}
	if a.state != attemptPending || a.item != nil && !g.queue.Cancel(a.item) {
		return false
	}
	a.state = attemptRevoked
	g.release(a.takeClaim())
	a.cancel(errCancelled)
	g.announcer.loadChanged()
	return true
}

func (g *Agent) handleCancel(m *message.Cancel) {
	if a := g.attempts.get(m.Attempt); a != nil && a.submit != nil {
		g.abandon(a)
	}
}

// abandon ends an attempt that nobody waits for: it is revoked when it was not started and cancelled when it is idempotent.
// Others run to their end, because their outcome is asked for later.
func (g *Agent) abandon(a *attempt) {
	if g.revoke(a) {
		return
	}
	a.detach()
	if a.submit.Idempotent {
		a.cancel(errCancelled)
	}
}

func (g *Agent) handleQuery(conn *link.Conn, m *message.Query) {
	reply := &message.QueryReply{Attempt: m.Attempt, Known: message.KnownUnknown}
	if m.AgentIncarnation == g.self.Incarnation {
		reply.Known, reply.Outcome = g.lookUp(m.Attempt)
	}
	send(conn, reply)
}

func (g *Agent) lookUp(id message.Attempt) (message.Known, message.Outcome) {
	known, full := g.attempts.add(&attempt{id: id, state: attemptRevoked})
	switch {
	case full:
		return message.KnownUnknown, ""
	case known == nil || g.revoke(known):
		return message.KnownRevoked, ""
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if known.state == attemptDone {
		return message.KnownDone, known.outcome
	}
	return message.KnownRunning, ""
}
