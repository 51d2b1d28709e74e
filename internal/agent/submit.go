package agent

import (
	"context"
	"crypto/sha256"
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
	// maxRepeatWait limits how long an order waits for the response of an earlier order with the same idempotency key.
	maxRepeatWait = 10 * time.Second
	// The transfer of the first byte from the agent to the caller is assumed to take 1/returnTimeDivisor of the first-byte
	// target, at most maxReturnTime. Without this allowance, 3% of the responses to a flood of urgent requests came up to 10 ms
	// late, because a flooded queue starts each request at the last moment.
	returnTimeDivisor = 20
	maxReturnTime     = 10 * time.Millisecond
)

// Cancellation causes of an attempt's context.
var (
	errCancelled = errors.New("agent: request cancelled")
	errCrashed   = errors.New("agent: upstream crashed")
	errDeadline  = errors.New("agent: deadline exceeded")
)

// handleSubmit enqueues or rejects an attempt. An order with an idempotency key is enqueued only after its key was claimed. A
// duplicate of an attempt that was not revoked gets no reply.
func (a *Agent) handleSubmit(conn *link.Conn, m *message.Submit) {
	att := &attempt{
		id: m.Attempt, submit: m, conn: conn, received: time.Now(), detached: make(chan struct{}), credit: newCredit(),
	}
	deadline := att.received.Add(time.Duration(m.DeadlineMillis) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(context.Background())
	timer := time.AfterFunc(time.Until(deadline), func() { cancel(errDeadline) })
	att.ctx, att.cancel = ctx, func(cause error) { timer.Stop(); cancel(cause) }
	existing, full := a.attempts.add(att)
	if full || existing != nil {
		att.cancel(nil)
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
	if reason := a.rejectionReason(m); reason != "" {
		a.rejectAttempt(att, reason, 0)
		return
	}
	if !m.Idempotent && m.IdempotencyKey != "" {
		a.running.Add(1)
		go func() { defer a.running.Done(); a.claimIdempotencyKey(att) }()
		return
	}
	a.enqueue(att)
}

// rejectionReason returns why a request is not accepted now, or "".
func (a *Agent) rejectionReason(m *message.Submit) message.Reason {
	switch {
	case m.Pool != a.settings.Agent.Pool:
		return message.ReasonNoUpstream
	case a.state() == message.StateDown:
		return message.ReasonNoUpstream
	case a.state() != message.StateServing:
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
func (a *Agent) claimIdempotencyKey(att *attempt) {
	ctx, cancel := context.WithTimeout(att.ctx, maxRepeatWait)
	defer cancel()
	result, err := a.ledger.Begin(ctx, att.submit.Caller, att.submit.IdempotencyKey, requestDigest(att.submit))
	switch {
	case err != nil:
		a.rejectAttempt(att, message.ReasonStoreDown, defaultRetryAfter)
	case result.Verdict == order.Run:
		att.mu.Lock()
		att.claim = result.Claim
		att.mu.Unlock()
		a.enqueue(att)
	case result.Verdict == order.Replay:
		a.replayResponse(att, *result.Response)
	case result.Verdict == order.Mismatch:
		a.rejectAttempt(att, message.ReasonKeyConflict, 0)
	default:
		retry := defaultRetryAfter
		if result.Final {
			retry = 0
		}
		a.endAttempt(att, message.ResponseEnd{
			Outcome: message.OutcomeUnknown, Reason: message.ReasonKeyPending, RetryAfterMillis: retry.Milliseconds(),
		})
	}
}

// replayResponse sends a recorded response. Its body has at most order.MaxResponseBytes, which the initial flow-control window covers.
func (a *Agent) replayResponse(att *attempt, response order.Response) {
	a.send(att, &message.ResponseHead{
		Attempt: att.id, Status: response.Status, Header: response.Header, Version: response.Version, Replayed: true,
	})
	if len(response.Body) > 0 {
		a.send(att, &message.ResponseBody{Attempt: att.id, Data: response.Body})
	}
	a.endAttempt(att, message.ResponseEnd{Outcome: message.OutcomeOK, Length: int64(len(response.Body))})
}

// enqueue passes an attempt to the scheduler unless it was revoked.
func (a *Agent) enqueue(att *attempt) {
	m := att.submit
	item := &sched.Item{
		Priority: m.Priority, Caller: m.Caller, Weight: m.Weight, Cost: m.Cost, Suspect: m.Suspect, Stream: m.Stream,
		Deadline: att.received.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
	}
	if m.FirstByteTargetMillis > 0 {
		target := time.Duration(m.FirstByteTargetMillis) * time.Millisecond
		item.FirstByteTarget = att.received.Add(target - min(target/returnTimeDivisor, maxReturnTime))
	}
	item.Start = func() { a.startAttempt(att) }
	item.Drop = func(reason message.Reason, retryAfter time.Duration) {
		if reason == message.ReasonNotServing && a.state() == message.StateDown {
			reason = message.ReasonNoUpstream
		}
		a.rejectAttempt(att, reason, retryAfter)
	}
	att.mu.Lock()
	if att.state != attemptPending {
		claim := att.takeClaim()
		att.mu.Unlock()
		a.release(claim)
		return
	}
	att.item = item
	att.mu.Unlock()
	a.queue.Push(item)
	a.announcer.loadChanged()
}

// rejectAttempt ends an attempt that was not sent to the upstream and releases its claim, so that the idempotency key can be used
// again.
func (a *Agent) rejectAttempt(att *attempt, reason message.Reason, retryAfter time.Duration) {
	att.mu.Lock()
	claim, revoked := att.takeClaim(), att.state == attemptRevoked
	att.state = attemptRevoked
	att.mu.Unlock()
	a.release(claim)
	att.cancel(nil)
	a.attempts.markEnded(att)
	a.announcer.loadChanged()
	if !revoked {
		a.metrics.recordRejection(att, reason)
		sendAsync(att.conn, &message.Reject{Attempt: att.id, Reason: reason, RetryAfterMillis: retryAfter.Milliseconds()})
	}
}

// release releases a claim in the ledger. The claim may be nil.
func (a *Agent) release(claim *order.Claim) {
	if claim != nil {
		a.ledger.Release(claim)
	}
}

// revokeAttempt ensures that an attempt that was not started never will be, and records this in the attempt table. It returns false
// when the attempt was started.
func (a *Agent) revokeAttempt(att *attempt) bool {
	revoked := a.revokePending(att)
	if revoked {
		a.attempts.markEnded(att)
	}
	return revoked
}

// revokePending revokes an attempt that was not started, without recording this in the attempt table, and reports whether the
// attempt is revoked.
func (a *Agent) revokePending(att *attempt) bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.state == attemptRevoked {
		return true
	}
	if att.state != attemptPending || att.item != nil && !a.queue.Cancel(att.item) {
		return false
	}
	att.state = attemptRevoked
	a.release(att.takeClaim())
	att.cancel(errCancelled)
	a.announcer.loadChanged()
	return true
}

// handleCancel abandons an attempt that its entry cancelled. An attempt that has not arrived is revoked: a Cancel may overtake its Submit,
// which uses another queue of the link.
func (a *Agent) handleCancel(m *message.Cancel) {
	existing, _ := a.attempts.add(&attempt{id: m.Attempt, state: attemptRevoked})
	if existing != nil && existing.submit != nil {
		a.abandonAttempt(existing)
	}
}

// abandonAttempt ends an attempt whose response is no longer received. It is revoked when it was not started, and cancelled when it
// is idempotent. Orders run to their end, because entries query their outcome later.
func (a *Agent) abandonAttempt(att *attempt) {
	if a.revokeAttempt(att) {
		return
	}
	att.detach()
	if att.submit.Idempotent {
		att.cancel(errCancelled)
	}
}

// handleQuery replies with the state and outcome of an attempt. The state is unknown when the attempt was sent to an earlier agent
// process.
func (a *Agent) handleQuery(conn *link.Conn, m *message.Query) {
	reply := &message.QueryReply{Attempt: m.Attempt, State: message.AttemptUnknown}
	if m.AgentIncarnation == a.self.Incarnation {
		reply.State, reply.Outcome = a.lookUpAttempt(m.Attempt)
	}
	sendAsync(conn, reply)
}

// lookUpAttempt returns the state of an attempt, and its outcome when it is done. An attempt that has not arrived or has not been
// started is revoked, so that the reply stays true when its Submit arrives late. The state is unknown when the attempt has not
// arrived and maxAttempts is reached, because the revocation cannot be recorded.
func (a *Agent) lookUpAttempt(id message.Attempt) (message.AttemptState, message.Outcome) {
	existing, full := a.attempts.add(&attempt{id: id, state: attemptRevoked})
	switch {
	case full:
		return message.AttemptUnknown, ""
	case existing == nil || a.revokeAttempt(existing):
		return message.AttemptRevoked, ""
	}
	existing.mu.Lock()
	defer existing.mu.Unlock()
	if existing.state == attemptDone {
		return message.AttemptDone, existing.outcome
	}
	return message.AttemptRunning, ""
}
