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
func (g *Agent) startAttempt(a *attempt) {
	a.mu.Lock()
	a.state = attemptRunning
	a.incarnation = g.monitor.incarnation()
	a.started = time.Now()
	a.mu.Unlock()
	if a.submit.Suspect {
		g.suspects.started(a.incarnation)
	}
	g.metrics.recordWait(a)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		g.runAttempt(a, g.gate.version())
	}()
}

// runAttempt sends the request to the upstream and the response to the entry. version is the version that the gate was opened
// with; a response of another version fails the attempt.
func (g *Agent) runAttempt(a *attempt, version string) {
	resp, err := g.upstream.Do(a.ctx, a.submit)
	if err != nil {
		g.handleRunFailure(a, err)
		return
	}
	defer resp.Close()
	if g.servesModel() && resp.Version != version && (resp.Version != "" || resp.Status < http.StatusBadRequest) {
		g.finishAttempt(a, nil, message.ResponseEnd{Outcome: message.OutcomeFailed, Reason: message.ReasonVersionChanged})
		return
	}
	g.send(a, &message.ResponseHead{Attempt: a.id, Status: resp.Status, Header: resp.Header, Version: resp.Version})
	recorder := newRecorder(a, resp)
	length, err := g.copyBody(a, resp, recorder)
	if err == nil && g.staleLoadPossible() && !g.versionUnchanged(a.ctx, version) {
		g.finishAttempt(a, nil, message.ResponseEnd{Outcome: message.OutcomeFailed, Reason: message.ReasonVersionChanged, Length: length})
		return
	}
	if err == nil {
		g.finishAttempt(a, recorder.result(), message.ResponseEnd{Outcome: message.OutcomeOK, Length: length})
		return
	}
	end := g.classifyError(a, err)
	end.Outcome, end.Length = message.OutcomeFailed, length
	g.finishAttempt(a, nil, end)
}

// staleLoadPeriod is how long after the start of this process a load command of an earlier agent process may still reach the
// engine. A command times out after 2 s, but data that was sent may be retransmitted for some time.
const staleLoadPeriod = time.Minute

// staleLoadPossible reports whether an engine that ignores fencing numbers may still load a version that this process did not
// request.
func (g *Agent) staleLoadPossible() bool {
	return g.servesModel() && time.Since(g.startedAt) < staleLoadPeriod
}

// versionUnchanged reports whether the engine still serves version, has no load pending, and has failed no load since the version
// was put in service. The header of a response names the version at its start only, and an engine with a pending load may produce
// tokens of either version.
func (g *Agent) versionUnchanged(ctx context.Context, version string) bool {
	status, err := g.upstream.Status(ctx)
	return err == nil && status.LoadedVersion == version && status.PendingVersion == "" &&
		status.FailedVersion == g.weights.replica.EngineFailedVersion()
}

// handleRunFailure ends an attempt that got no response.
func (g *Agent) handleRunFailure(a *attempt, err error) {
	end := g.classifyError(a, err)
	if errors.Is(err, engine.ErrNotSent) {
		g.rejectAttempt(a, end.Reason, defaultRetryAfter)
		if a.submit.Suspect {
			g.suspects.finished(a.incarnation)
		}
		g.queue.Done(a.item, false)
		g.gate.notifyRequestEnded()
		return
	}
	end.Outcome = message.OutcomeUnknown
	if end.Reason == message.ReasonUpstreamCrash && a.submit.Idempotent {
		// An order may have completed before the crash, so only an idempotent request is reported as failed.
		end.Outcome = message.OutcomeFailed
	}
	g.finishAttempt(a, nil, end)
}

// classifyError returns the reason for an error from the upstream. A lost connection counts as a crash only when the upstream has
// gone or restarted.
func (g *Agent) classifyError(a *attempt, err error) message.ResponseEnd {
	cause := context.Cause(a.ctx)
	lost := errors.Is(err, engine.ErrDisconnected)
	if errors.Is(cause, errCrashed) || lost && g.monitor.checkGone(a.incarnation) {
		if errors.Is(err, engine.ErrNotSent) {
			return message.ResponseEnd{Reason: message.ReasonNoUpstream}
		}
		return message.ResponseEnd{
			Reason: message.ReasonUpstreamCrash, UpstreamIncarnation: a.incarnation,
			BesideSuspect: !a.submit.Suspect && g.suspects.presentOn(a.incarnation),
		}
	}
	switch {
	case errors.Is(cause, errCancelled):
		return message.ResponseEnd{Reason: message.ReasonCancelled}
	case errors.Is(cause, errDeadline), errors.Is(err, engine.ErrIdleTimeout):
		return message.ResponseEnd{Reason: message.ReasonTimeout}
	case errors.Is(err, engine.ErrNotSent):
		return message.ResponseEnd{Reason: message.ReasonNoUpstream}
	default:
		return message.ResponseEnd{Reason: message.ReasonUpstreamError}
	}
}

// copyBody sends the response body within the flow-control window and returns its length. When the attempt is detached, the body is
// still read to its end.
func (g *Agent) copyBody(a *attempt, resp *engine.Response, recorder *recorder) (int64, error) {
	var length int64
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := resp.Read(buffer[:])
		if n > 0 {
			data := bytes.Clone(buffer[:n])
			g.queue.FirstByte(a.item)
			recorder.write(data)
			if a.credit.take(int64(n), a.ctx.Done(), a.detached) {
				g.send(a, &message.ResponseBody{Attempt: a.id, Offset: length, Data: data})
			} else if a.ctx.Err() != nil {
				return length, context.Cause(a.ctx)
			}
			length += int64(n)
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrIncompleteResponse) {
			g.queue.FirstByte(a.item)
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// finishAttempt ends an attempt that ran. When response is nil, a claim stays in the store without a response, so that the order
// never runs again.
func (g *Agent) finishAttempt(a *attempt, response *order.Response, end message.ResponseEnd) {
	a.mu.Lock()
	claim := a.takeClaim()
	a.mu.Unlock()
	if claim != nil {
		g.ledger.Finish(claim, response)
	}
	if a.submit.Suspect && end.Reason != message.ReasonUpstreamCrash {
		g.suspects.finished(a.incarnation)
	}
	g.metrics.recordService(a, end)
	g.endAttempt(a, end)
	g.queue.Done(a.item, end.Outcome == message.OutcomeOK)
	g.gate.notifyRequestEnded()
	g.announcer.loadChanged()
}

// endAttempt records the outcome of an attempt and sends it to the entry.
func (g *Agent) endAttempt(a *attempt, end message.ResponseEnd) {
	end.Attempt = a.id
	a.mu.Lock()
	a.state, a.outcome = attemptDone, end.Outcome
	a.mu.Unlock()
	g.send(a, &end)
	a.cancel(nil)
	g.attempts.markEnded(a)
}

// send sends a part of a response, unless the attempt is detached. On a broken link the attempt is abandoned.
func (g *Agent) send(a *attempt, m message.Message) {
	if a.isDetached() {
		return
	}
	if err := a.conn.Send(context.Background(), m); err != nil {
		g.abandonAttempt(a)
	}
}

// recorder collects the response of an order that has a claim. Without a claim it records nothing.
type recorder struct {
	response *order.Response
	digest   hash.Hash
}

func newRecorder(a *attempt, resp *engine.Response) *recorder {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claim == nil {
		return &recorder{}
	}
	return &recorder{response: &order.Response{Status: resp.Status, Header: resp.Header}, digest: sha256.New()}
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
