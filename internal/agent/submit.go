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
	// defaultRetryAfter is the Retry-After of requests that could not be accepted or sent to the upstream now, and of orders whose
	// response is not known yet.
	defaultRetryAfter = 2 * time.Second
	// maxRepeatWait limits how long a repeat of an idempotency key waits for the response of the first order.
	maxRepeatWait = 10 * time.Second
	// The transfer of the first byte from the agent to the caller is assumed to take 1/returnTimeFraction of the target, at
	// most maxReturnTime. Without this allowance, 3% of the responses to a flood of urgent requests came up to 10 ms late,
	// because a flooded queue starts each request at the last moment.
	returnTimeFraction = 20
	maxReturnTime      = 10 * time.Millisecond
)

// Cancellation causes of an attempt's context.
var (
	errCancelled = errors.New("agent: request cancelled")
	errCrashed   = errors.New("agent: upstream crashed")
	errDeadline  = errors.New("agent: deadline exceeded")
)

// handleSubmit accepts an attempt and enqueues it, after claiming its key when it is an order with a key, or rejects it.
func (g *Agent) handleSubmit(conn *link.Conn, m *message.Submit) {
	a := &attempt{
		id: m.Attempt, submit: m, conn: conn, received: time.Now(), detached: make(chan struct{}), credit: newCredit(),
	}
	deadline := a.received.Add(time.Duration(m.DeadlineMillis) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(context.Background())
	timer := time.AfterFunc(time.Until(deadline), func() { cancel(errDeadline) })
	a.ctx, a.cancel = ctx, func(cause error) { timer.Stop(); cancel(cause) }
	existing, full := g.attempts.add(a)
	if full || existing != nil {
		a.cancel(nil)
	}
	switch {
	case full:
		sendAsync(conn, &message.Reject{Attempt: m.Attempt, Reason: message.ReasonQueueFull,
			RetryAfterMillis: defaultRetryAfter.Milliseconds()})
		return
	case existing != nil:
		existing.mu.Lock()
		revoked := existing.state == attemptRevoked
		existing.mu.Unlock()
		if revoked {
			sendAsync(conn, &message.Reject{Attempt: m.Attempt, Reason: message.ReasonRevoked})
		}
		return // A duplicate Submit: the first one gets the response.
	}
	if reason := g.rejectionReason(m); reason != "" {
		g.rejectAttempt(a, reason, 0)
		return
	}
	if !m.Idempotent && m.IdempotencyKey != "" {
		g.running.Add(1)
		go func() { defer g.running.Done(); g.claimIdempotencyKey(a) }()
		return
	}
	g.enqueue(a)
}

// rejectionReason returns why a request is not accepted now, or "".
func (g *Agent) rejectionReason(m *message.Submit) message.Reason {
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

// requestDigest returns a digest of the parts of a request that a repeat of its idempotency key must share: method, path and body.
func requestDigest(m *message.Submit) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(m.Method), []byte(m.Path), m.Body} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// claimIdempotencyKey claims the idempotency key of an order and enqueues the order, or ends the attempt according to the verdict of
// the ledger.
func (g *Agent) claimIdempotencyKey(a *attempt) {
	ctx, cancel := context.WithTimeout(a.ctx, maxRepeatWait)
	defer cancel()
	result, err := g.ledger.Begin(ctx, a.submit.Caller, a.submit.IdempotencyKey, requestDigest(a.submit))
	switch {
	case err != nil:
		g.rejectAttempt(a, message.ReasonStoreDown, defaultRetryAfter)
	case result.Verdict == order.Run:
		a.mu.Lock()
		a.claim = result.Claim
		a.mu.Unlock()
		g.enqueue(a)
	case result.Verdict == order.Replay:
		g.sendResponse(a, *result.Response, true)
	case result.Verdict == order.Mismatch:
		g.sendResponse(a, conflictResponse(a), false)
	default:
		retry := defaultRetryAfter
		if result.Final {
			retry = 0
		}
		g.endAttempt(a, message.ResponseEnd{
			Outcome: message.OutcomeUnknown, Reason: message.ReasonKeyPending, RetryAfterMillis: retry.Milliseconds(),
		})
	}
}

// conflictResponse is the response to an order whose key was used for a different request.
func conflictResponse(a *attempt) order.Response {
	body := `{"error":{"code":"key-conflict","message":"the Idempotency-Key was used for a different request",` +
		`"outcome":"not-run","request_id":` + strconv.Quote(a.id.RequestID) + `}}`
	return order.Response{
		Status: http.StatusUnprocessableEntity,
		Header: []message.HeaderField{
			{Name: "Content-Type", Value: "application/json"},
			{Name: "Pimentohead-Outcome", Value: string(message.OutcomeNotRun)},
		},
		Body: []byte(body),
	}
}

// sendResponse sends a response that did not come from the upstream. It has at most 16 KiB, which the initial flow-control window
// covers.
func (g *Agent) sendResponse(a *attempt, response order.Response, replayed bool) {
	g.send(a, &message.ResponseHead{Attempt: a.id, Status: response.Status, Header: response.Header, Replayed: replayed})
	if len(response.Body) > 0 {
		g.send(a, &message.ResponseBody{Attempt: a.id, Data: response.Body})
	}
	g.endAttempt(a, message.ResponseEnd{Outcome: message.OutcomeOK, Length: int64(len(response.Body))})
}

// enqueue passes an attempt to the scheduler unless it was revoked.
func (g *Agent) enqueue(a *attempt) {
	m := a.submit
	item := &sched.Item{
		Priority: m.Priority, Caller: m.Caller, Weight: m.Weight, Cost: m.Cost, Suspect: m.Suspect, Stream: m.Stream,
		Deadline: a.received.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
	}
	if m.FirstByteTargetMillis > 0 {
		target := time.Duration(m.FirstByteTargetMillis) * time.Millisecond
		item.FirstByteTarget = a.received.Add(target - min(target/returnTimeFraction, maxReturnTime))
	}
	item.Start = func() { g.startAttempt(a) }
	item.Drop = func(reason message.Reason, retryAfter time.Duration) {
		if reason == message.ReasonNotServing && g.state() == message.StateDown {
			reason = message.ReasonNoUpstream
		}
		g.rejectAttempt(a, reason, retryAfter)
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

// rejectAttempt ends an attempt that was not sent to the upstream and releases its claim, so that the idempotency key can be used
// again.
func (g *Agent) rejectAttempt(a *attempt, reason message.Reason, retryAfter time.Duration) {
	a.mu.Lock()
	claim, revoked := a.takeClaim(), a.state == attemptRevoked
	a.state = attemptRevoked
	a.mu.Unlock()
	g.release(claim)
	a.cancel(nil)
	g.attempts.markEnded(a)
	g.announcer.loadChanged()
	if !revoked {
		g.metrics.recordRejection(a, reason)
		sendAsync(a.conn, &message.Reject{Attempt: a.id, Reason: reason, RetryAfterMillis: retryAfter.Milliseconds()})
	}
}

// release releases a claim in the ledger. The claim may be nil.
func (g *Agent) release(claim *order.Claim) {
	if claim != nil {
		g.ledger.Release(claim)
	}
}

// revokeAttempt ensures that an attempt that was not started never will be. It returns false when the attempt was started.
func (g *Agent) revokeAttempt(a *attempt) bool {
	revoked := g.revokePending(a)
	if revoked {
		g.attempts.markEnded(a)
	}
	return revoked
}

// revokePending revokes an attempt that was not started and reports whether the attempt is revoked.
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

// handleCancel abandons an attempt that its entry cancelled.
func (g *Agent) handleCancel(m *message.Cancel) {
	if a := g.attempts.get(m.Attempt); a != nil && a.submit != nil {
		g.abandonAttempt(a)
	}
}

// abandonAttempt ends an attempt whose response is no longer received. It is revoked when it was not started, and cancelled when it
// is idempotent. Orders run to their end, because entries query their outcome later.
func (g *Agent) abandonAttempt(a *attempt) {
	if g.revokeAttempt(a) {
		return
	}
	a.detach()
	if a.submit.Idempotent {
		a.cancel(errCancelled)
	}
}

// handleQuery replies with the state and outcome of an attempt. The state is unknown when the attempt was sent to an earlier agent
// process.
func (g *Agent) handleQuery(conn *link.Conn, m *message.Query) {
	reply := &message.QueryReply{Attempt: m.Attempt, State: message.AttemptUnknown}
	if m.AgentIncarnation == g.self.Incarnation {
		reply.State, reply.Outcome = g.lookUpAttempt(m.Attempt)
	}
	sendAsync(conn, reply)
}

// lookUpAttempt returns the state of an attempt, and its outcome when it is done. An attempt that has not arrived or has not been
// started is revoked, so that the reply stays true when its Submit arrives late. The state is unknown when the attempt has not arrived
// and maxAttempts is reached, because the revocation cannot be recorded.
func (g *Agent) lookUpAttempt(id message.Attempt) (message.AttemptState, message.Outcome) {
	existing, full := g.attempts.add(&attempt{id: id, state: attemptRevoked})
	switch {
	case full:
		return message.AttemptUnknown, ""
	case existing == nil || g.revokeAttempt(existing):
		return message.AttemptRevoked, ""
	}
	existing.mu.Lock()
	defer existing.mu.Unlock()
	if existing.state == attemptDone {
		return message.AttemptDone, existing.outcome
	}
	return message.AttemptRunning, ""
}
