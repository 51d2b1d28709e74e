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

// readBytes is the size of one read from the upstream and the largest body message.
const readBytes = 32 << 10

// readBuffers holds *[readBytes]byte. What is sent is a copy of the bytes that were read: most answers are far shorter, and a
// new buffer for each read was most of the garbage.
var readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// start runs an attempt that the scheduler admitted.
func (g *Agent) start(a *attempt) {
	a.mu.Lock()
	a.state = attemptRunning
	a.incarnation = g.monitor.incarnation()
	a.started = time.Now()
	a.mu.Unlock()
	if a.submit.Suspect {
		g.suspects.started(a.incarnation)
	}
	g.metrics.waited(a)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		g.run(a, g.gate.version())
	}()
}

func (g *Agent) run(a *attempt, version string) {
	resp, err := g.upstream.Do(a.ctx, a.submit)
	if err != nil {
		g.runFailed(a, err)
		return
	}
	defer resp.Close()
	if g.model() && resp.Version != version && (resp.Version != "" || resp.Status < http.StatusBadRequest) {
		g.finish(a, nil, message.ResponseEnd{Outcome: message.OutcomeFailed, Reason: message.ReasonVersionChanged})
		return
	}
	g.send(a, &message.ResponseHead{Attempt: a.id, Status: resp.Status, Header: resp.Header, Version: resp.Version})
	recorder := newRecorder(a, resp)
	length, err := g.copyBody(a, resp, recorder)
	if err == nil && g.versionMayChange() && !g.servedWhole(a.ctx, version) {
		g.finish(a, nil, message.ResponseEnd{Outcome: message.OutcomeFailed, Reason: message.ReasonVersionChanged, Length: length})
		return
	}
	if err == nil {
		g.finish(a, recorder.answer(), message.ResponseEnd{Outcome: message.OutcomeOK, Length: length})
		return
	}
	end := g.explain(a, err)
	end.Outcome, end.Length = message.OutcomeFailed, length
	g.finish(a, nil, end)
}

// lateOrderPeriod is how long after the start of this process a load order of an earlier one may still arrive. An order is given
// up after 2 s, but what was sent may be retransmitted for some time.
const lateOrderPeriod = time.Minute

// versionMayChange tells whether an engine that ignores fencing numbers may load a version that this process did not order.
func (g *Agent) versionMayChange() bool {
	return g.model() && time.Since(g.startedAt) < lateOrderPeriod
}

// servedWhole tells whether the engine still serves version, has no load pending, and has not failed one since it was put in
// service. The header of an answer names its version at the start only; an engine with a pending load may give tokens of either
// version.
func (g *Agent) servedWhole(ctx context.Context, version string) bool {
	status, err := g.upstream.Status(ctx)
	return err == nil && status.LoadedVersion == version && status.PendingVersion == "" &&
		status.FailedVersion == g.weights.replica.EngineFailedVersion()
}

// runFailed ends an attempt that got no answer.
func (g *Agent) runFailed(a *attempt, err error) {
	end := g.explain(a, err)
	if errors.Is(err, engine.ErrNotSent) {
		g.reject(a, end.Reason, storeRetryAfter)
		if a.submit.Suspect {
			g.suspects.survived(a.incarnation)
		}
		g.queue.Done(a.item, false)
		g.gate.progress()
		return
	}
	end.Outcome = message.OutcomeUnknown
	if end.Reason == message.ReasonUpstreamCrash && a.submit.Idempotent {
		// An order may have been completed before the crash.
		end.Outcome = message.OutcomeFailed
	}
	g.finish(a, nil, end)
}

// explain finds the reason of an error from the upstream. A lost connection is a crash only when the upstream is gone or
// has restarted.
func (g *Agent) explain(a *attempt, err error) message.ResponseEnd {
	cause := context.Cause(a.ctx)
	lost := errors.Is(err, engine.ErrDisconnected)
	if errors.Is(cause, errCrashed) || lost && g.monitor.verify(a.incarnation) {
		if errors.Is(err, engine.ErrNotSent) {
			return message.ResponseEnd{Reason: message.ReasonNoUpstream}
		}
		return message.ResponseEnd{
			Reason: message.ReasonUpstreamCrash, UpstreamIncarnation: a.incarnation,
			BesideSuspect: !a.submit.Suspect && g.suspects.ranOn(a.incarnation),
		}
	}
	switch {
	case errors.Is(cause, errCancelled):
		return message.ResponseEnd{Reason: message.ReasonCancelled}
	case errors.Is(cause, errDeadline), errors.Is(err, engine.ErrIdle):
		return message.ResponseEnd{Reason: message.ReasonTimeout}
	case errors.Is(err, engine.ErrNotSent):
		return message.ResponseEnd{Reason: message.ReasonNoUpstream}
	default:
		return message.ResponseEnd{Reason: message.ReasonUpstreamError}
	}
}

// copyBody sends the answer within the receiver's window. When nobody receives it any more it is still read to its end.
func (g *Agent) copyBody(a *attempt, resp *engine.Response, recorder *recorder) (int64, error) {
	var length int64
	buffer := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := resp.Read(buffer[:])
		if n > 0 {
			data := bytes.Clone(buffer[:n])
			g.queue.FirstByte(a.item)
			recorder.add(data)
			if a.credit.take(int64(n), a.ctx.Done(), a.detached) {
				g.send(a, &message.ResponseBody{Attempt: a.id, Offset: length, Data: data})
			} else if a.ctx.Err() != nil {
				return length, context.Cause(a.ctx)
			}
			length += int64(n)
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrBroken) {
			g.queue.FirstByte(a.item)
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// finish ends an attempt that ran. A nil answer leaves its claim without one: the order never runs again.
func (g *Agent) finish(a *attempt, answer *order.Response, end message.ResponseEnd) {
	a.mu.Lock()
	claim := a.takeClaim()
	a.mu.Unlock()
	if claim != nil {
		g.ledger.Finish(claim, answer)
	}
	if a.submit.Suspect && end.Reason != message.ReasonUpstreamCrash {
		g.suspects.survived(a.incarnation)
	}
	g.metrics.served(a, end)
	g.end(a, end)
	g.queue.Done(a.item, end.Outcome == message.OutcomeOK)
	g.gate.progress()
	g.announcer.loadChanged()
}

// end records the outcome of an attempt and sends it.
func (g *Agent) end(a *attempt, end message.ResponseEnd) {
	end.Attempt = a.id
	a.mu.Lock()
	a.state, a.outcome = attemptDone, end.Outcome
	a.mu.Unlock()
	g.send(a, &end)
	a.cancel(nil)
	g.attempts.ended(a)
}

// send queues a part of an answer. A broken link detaches the attempt.
func (g *Agent) send(a *attempt, m message.Message) {
	if a.isDetached() {
		return
	}
	if err := a.conn.Send(context.Background(), m); err != nil {
		g.abandon(a)
	}
}

// recorder keeps the answer of an order that has a claim.
type recorder struct {
	kept  *order.Response
	whole hash.Hash
}

func newRecorder(a *attempt, resp *engine.Response) *recorder {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claim == nil {
		return &recorder{}
	}
	return &recorder{kept: &order.Response{Status: resp.Status, Header: resp.Header}, whole: sha256.New()}
}

func (r *recorder) add(data []byte) {
	if r.kept == nil {
		return
	}
	_, _ = r.whole.Write(data)
	if r.kept.TooLarge = r.kept.TooLarge || len(r.kept.Body)+len(data) > order.MaxResponseBytes; r.kept.TooLarge {
		r.kept.Body = nil
		return
	}
	r.kept.Body = append(r.kept.Body, data...)
}

func (r *recorder) answer() *order.Response {
	if r.kept != nil && r.kept.TooLarge {
		r.kept.Digest = r.whole.Sum(nil)
	}
	return r.kept
}
