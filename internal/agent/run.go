package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/engine"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/order"
)

// readBufferBytes is the size of a read from the upstream and the largest data of a ResponseBody message.
const readBufferBytes = 32 << 10

// readBuffers is a pool of *[readBufferBytes]byte. Messages carry a copy of the bytes that were read: most responses are far
// shorter than a buffer, and without the pool a new buffer for each read makes up most of the garbage.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// startAttempt runs an attempt that the scheduler admitted, in a goroutine of its own.
func (a *Agent) startAttempt(att *attempt) {
	att.mu.Lock()
	att.state = attemptRunning
	att.incarnation = a.monitor.incarnation()
	att.started = time.Now()
	att.mu.Unlock()
	if att.submit.Suspect {
		a.suspects.started(att.incarnation)
	}
	a.metrics.recordWait(att)
	a.running.Add(1)
	go func() {
		defer a.running.Done()
		a.runAttempt(att, a.gate.version())
	}()
}

// runAttempt sends the request to the upstream and the response to the entry. version is the version that the gate was opened
// with. In a model pool, a response of another version fails the attempt, as does a response without a version unless its status is
// 400 or higher.
func (a *Agent) runAttempt(att *attempt, version string) {
	resp, err := a.upstream.Do(att.ctx, att.submit)
	if err != nil {
		a.handleRunFailure(att, err)
		return
	}
	defer resp.Close()
	if a.servesModel() && resp.Version != version && (resp.Version != "" || resp.Status < http.StatusBadRequest) {
		a.finishAttempt(att, nil, message.ResponseEnd{Outcome: message.OutcomeFailed, Reason: message.ReasonVersionChanged})
		return
	}
	a.send(att, &message.ResponseHead{Attempt: att.id, Status: resp.Status, Header: resp.Header, Version: resp.Version})
	recorder := newRecorder(att, resp)
	length, err := a.copyBody(att, resp, recorder)
	if err == nil && a.staleLoadPossible() && !a.versionUnchanged(att.ctx, version) {
		a.finishAttempt(att, nil, message.ResponseEnd{Outcome: message.OutcomeFailed, Reason: message.ReasonVersionChanged, Length: length})
		return
	}
	if err == nil {
		a.finishAttempt(att, recorder.result(), message.ResponseEnd{Outcome: message.OutcomeOK, Length: length})
		return
	}
	end := a.classifyError(att, err)
	end.Outcome, end.Length = message.OutcomeFailed, length
	a.logIncomplete(att, end, err)
	a.finishAttempt(att, nil, end)
}

// staleLoadPeriod is how long after the start of this process a load command of an earlier agent process may still reach the
// engine. A command times out after 2 s, but data that was sent may be retransmitted for some time.
const staleLoadPeriod = time.Minute

// maxStatusCalls is the number of status calls after a response, each of which times out after engine.DefaultControlTimeout. An engine that
// is silent for a second or so has not changed its version.
const maxStatusCalls = 3

// staleLoadPossible reports whether an engine that ignores fencing tokens may still load a version that this process did not
// request.
func (a *Agent) staleLoadPossible() bool {
	return a.servesModel() && time.Since(a.startedAt) < staleLoadPeriod
}

// versionUnchanged reports whether the engine still serves version, has no load pending, and has failed no load since the version
// was put in service. The header of a response names the version at its start only, and an engine with a pending load may produce
// tokens of either version.
func (a *Agent) versionUnchanged(ctx context.Context, version string) bool {
	status, err := a.upstream.Status(ctx)
	for n := 1; n < maxStatusCalls && err != nil && !errors.Is(err, engine.ErrDisconnected) && ctx.Err() == nil; n++ {
		status, err = a.upstream.Status(ctx)
	}
	return err == nil && status.LoadedVersion == version && status.PendingVersion == "" &&
		status.FailedVersion == a.weights.replica.EngineFailedVersion()
}

// handleRunFailure ends an attempt that got no response.
func (a *Agent) handleRunFailure(att *attempt, err error) {
	end := a.classifyError(att, err)
	a.logIncomplete(att, end, err)
	if errors.Is(err, engine.ErrNotSent) {
		a.rejectAttempt(att, end.Reason, defaultRetryAfter)
		if att.submit.Suspect {
			a.suspects.finished(att.incarnation)
		}
		a.queue.Done(att.item, false)
		a.gate.notifyRequestEnded()
		return
	}
	end.Outcome = message.OutcomeUnknown
	if end.Reason == message.ReasonUpstreamCrash && att.submit.Idempotent {
		// An order may have completed before the crash, so only an idempotent request is reported as failed.
		end.Outcome = message.OutcomeFailed
	}
	a.finishAttempt(att, nil, end)
}

// logIncomplete logs why an attempt got no response or a part of one from the upstream, unless it was cancelled.
func (a *Agent) logIncomplete(att *attempt, end message.ResponseEnd, err error) {
	if end.Reason == message.ReasonCancelled {
		return
	}
	a.log.Info("upstream gave no complete response", "request", att.id.RequestID, "attempt", att.id.Number, "reason", end.Reason,
		"bytes", end.Length, "detached", att.isDetached(), "cause", err.Error())
}

// classifyError returns a ResponseEnd with the reason for an error from the upstream, without outcome and length. A lost connection
// counts as a crash only when the upstream process has gone or restarted.
func (a *Agent) classifyError(att *attempt, err error) message.ResponseEnd {
	cause := context.Cause(att.ctx)
	lost, notSent := errors.Is(err, engine.ErrDisconnected), errors.Is(err, engine.ErrNotSent)
	if notSent && (errors.Is(cause, errCrashed) || lost) {
		if lost {
			a.monitor.check(context.Background()) // Entries learn at once that the upstream is down.
		}
		return message.ResponseEnd{Reason: message.ReasonNoUpstream}
	}
	if errors.Is(cause, errCrashed) || lost && a.monitor.checkGone(att.ctx, att.incarnation) {
		return message.ResponseEnd{
			Reason: message.ReasonUpstreamCrash, UpstreamIncarnation: att.incarnation,
			BesideSuspect: !att.submit.Suspect && a.suspects.presentOn(att.incarnation),
		}
	}
	switch {
	case errors.Is(cause, errCancelled):
		return message.ResponseEnd{Reason: message.ReasonCancelled}
	case errors.Is(cause, errDeadline), errors.Is(err, engine.ErrIdleTimeout):
		return message.ResponseEnd{Reason: message.ReasonTimeout}
	case notSent:
		return message.ResponseEnd{Reason: message.ReasonNoUpstream}
	default:
		return message.ResponseEnd{Reason: message.ReasonUpstreamError}
	}
}

// copyBody sends the response body within the flow-control window and returns its length. When the attempt is detached, the body is
// still read to its end.
func (a *Agent) copyBody(att *attempt, resp *engine.Response, recorder *recorder) (int64, error) {
	var length int64
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := resp.Read(buffer[:])
		if n > 0 {
			data := bytes.Clone(buffer[:n])
			a.queue.FirstByte(att.item)
			recorder.write(data)
			if att.credit.take(int64(n), att.ctx.Done(), att.detached) {
				a.send(att, &message.ResponseBody{Attempt: att.id, Offset: length, Data: data})
			} else if att.ctx.Err() != nil {
				return length, context.Cause(att.ctx)
			}
			length += int64(n)
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrIncompleteResponse) {
			a.queue.FirstByte(att.item)
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// finishAttempt ends an attempt that ran. When response is nil, a claim stays in the store without a response, so that the order
// never runs again.
func (a *Agent) finishAttempt(att *attempt, response *order.Response, end message.ResponseEnd) {
	att.mu.Lock()
	claim := att.takeClaim()
	att.mu.Unlock()
	if claim != nil {
		a.ledger.Finish(claim, response)
	}
	if att.submit.Suspect && end.Reason != message.ReasonUpstreamCrash {
		a.suspects.finished(att.incarnation)
	}
	a.metrics.recordService(att, end)
	a.endAttempt(att, end)
	a.queue.Done(att.item, end.Outcome == message.OutcomeOK)
	a.gate.notifyRequestEnded()
	a.announcer.loadChanged()
}

// endAttempt records the outcome of an attempt and sends it to the entry.
func (a *Agent) endAttempt(att *attempt, end message.ResponseEnd) {
	end.Attempt = att.id
	att.mu.Lock()
	att.state, att.outcome = attemptDone, end.Outcome
	att.mu.Unlock()
	a.send(att, &end)
	att.cancel(nil)
	a.attempts.markEnded(att)
}

// send sends a part of a response, unless the attempt is detached. On a broken link the attempt is abandoned.
func (a *Agent) send(att *attempt, m message.Message) {
	if att.isDetached() {
		return
	}
	if err := att.conn.Send(context.Background(), m); err != nil {
		a.abandonAttempt(att)
	}
}

// recorder collects the response of an order that has a claim. Without a claim it records nothing.
type recorder struct {
	response *order.Response
	digest   hash.Hash
}

func newRecorder(att *attempt, resp *engine.Response) *recorder {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.claim == nil {
		return &recorder{}
	}
	return &recorder{response: &order.Response{Status: resp.Status, Header: resp.Header, Version: resp.Version}, digest: sha256.New()}
}

// write appends data to the recorded body, or drops the body when it exceeds order.MaxResponseBytes.
func (r *recorder) write(data []byte) {
	if r.response == nil {
		return
	}
	_, _ = r.digest.Write(data)
	if r.response.TooLarge = r.response.TooLarge || len(r.response.Body)+len(data) > order.MaxResponseBytes; r.response.TooLarge {
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, data...)
}

// result returns the recorded response, nil for an attempt without a claim.
func (r *recorder) result() *order.Response {
	if r.response != nil && r.response.TooLarge {
		r.response.Digest = r.digest.Sum(nil)
	}
	return r.response
}
