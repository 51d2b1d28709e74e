package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/h1"
)

const (
	// streamReadSize is the size of one read of a stream, in bytes.
	streamReadSize = 8 << 10
	// silenceTime is the time without a byte from which a stalled stream counts as silent. An upstream that sends bytes which form no event is
	// not silent.
	silenceTime = streamIdleTimeout / 2
	// maxStallTime is the time after which a stream is given up whose bytes form no new event.
	maxStallTime = 2 * streamIdleTimeout
	// maxEventSize bounds one event, in bytes.
	maxEventSize = 256 << 10
)

// endedBefore returns the cause for which the attempt or its request was ended before the first event was forwarded.
func (a *upstreamAttempt) endedBefore() error {
	<-a.ctx.Done() // It is cancelled after the decision.
	return context.Cause(a.ctx)
}

// forwardStream forwards the events of a response as they arrive, complete events only.
func (a *upstreamAttempt) forwardStream(resp *http.Response) attemptResult {
	x := a.x
	pending, held := make([]byte, 0, pendingAllowance), x.relay.cfg.MemoryBudget.Reserve()
	defer held.Release()
	body, buf := a.conn.LineReader(resp.Body), make([]byte, streamReadSize)
	awaitingFirst := true
	a.lastRead, a.stalledSince = time.Now(), time.Now()
	timeToFirst := time.Duration(0)
	a.conn.SetReadTimeout(max(firstEventTimeout-time.Since(a.started), dialTimeout))
	a.conn.OnReadTimeout(a.awaitStalled)
	defer a.conn.OnReadTimeout(nil)
	for {
		n, err := body.Read(buf)
		if a.replaced() {
			return a.failStream(a.conn.ClassifyReadError(a.ctx, err), timeToFirst)
		}
		var newEvents int
		var memoryErr, forwardErr error
		if pending, memoryErr = held.Append(pending, buf[:n]); memoryErr != nil {
			x.logMemory("event")
			return a.failStream(memoryErr, timeToFirst)
		}
		if n > 0 {
			a.recordRead(time.Now())
		}
		pending, newEvents, forwardErr = a.forwardEvents(resp, pending)
		if newEvents > 0 {
			a.stalledSince = time.Now()
			a.tracked.RecordActivity()
			a.conn.SetReadTimeout(streamIdleTimeout) // Bytes that form no new event do not extend it.
		}
		if newEvents > 0 && time.Since(a.answerBegan) >= provenAfter {
			a.recordProof()
		}
		if newEvents > 0 && awaitingFirst {
			awaitingFirst, timeToFirst = false, time.Since(a.started)
			a.recordStart()
			x.leaveSilent()
		}
		switch {
		case forwardErr != nil:
			return a.failStream(forwardErr, timeToFirst)
		case errors.Is(err, io.EOF):
			return a.finishStream(resp, pending, timeToFirst)
		case err != nil:
			return a.failStream(a.conn.ClassifyReadError(a.ctx, err), timeToFirst)
		case len(pending) > maxEventSize:
			return a.failStream(errors.New("relay: event exceeds the size limit"), timeToFirst)
		}
	}
}

// recordRead records that bytes of the stream have arrived.
func (a *upstreamAttempt) recordRead(now time.Time) {
	if now.Sub(a.lastRead) >= silenceTime {
		a.stalledSince = now // The upstream goes on after a silence.
	}
	a.lastRead = now
}

// awaitStalled is called when a new event is overdue. It returns how long to wait for it, 0 to give up the attempt.
func (a *upstreamAttempt) awaitStalled() time.Duration {
	untilSilent := silenceTime - time.Since(a.lastRead)
	if untilSilent <= 0 {
		return a.awaitSilent()
	}
	if a.yield() || time.Since(a.stalledSince) >= maxStallTime && (a.x.silent != nil || a.x.canMove(a.x.possibleRuns)) {
		return 0
	}
	return untilSilent // A part of an event may have arrived shortly before the silence.
}

// finishStream handles the regular end of a response body. pending is the incomplete event at its end.
func (a *upstreamAttempt) finishStream(resp *http.Response, pending []byte, timeToFirst time.Duration) attemptResult {
	x := a.x
	if a.unframed && (len(pending) > 0 || timeToFirst == 0) {
		return a.failStream(errors.Wrap(h1.ErrBroken, "relay: stream ended before or within an event"), timeToFirst)
	}
	if a.isCut() {
		return a.failStream(errCut, timeToFirst)
	}
	if !x.startStreamResponse(resp) {
		return a.failStream(a.endedBefore(), timeToFirst)
	}
	if len(pending) > 0 {
		if _, err := x.w.Write(pending); err != nil {
			return a.failStream(errors.Mark(err, errCallerGone), timeToFirst)
		}
	}
	a.complete = true
	x.recordLateness()
	return attemptResult{final: true, outcome: "streamed", status: resp.StatusCode, timeToFirstEvent: timeToFirst}
}

// failStream returns the result of a stream that ended early because of cause.
func (a *upstreamAttempt) failStream(cause error, timeToFirst time.Duration) attemptResult {
	a.x.lastFailure = "stream broke off"
	return attemptResult{kind: mayHaveRun, cause: cause, timeToFirstEvent: timeToFirst}
}

// startStreamResponse sends the head of the response unless it has been sent. It returns false if a shutdown has ended the request before
// that. A resumed stream keeps the head from its first upstream.
func (x *exchange) startStreamResponse(resp *http.Response) bool {
	if x.responseStarted.hasBegun() {
		return true
	}
	if !x.responseStarted.begin() {
		return false
	}
	x.copyHeaders(resp)
	x.w.WriteHeader(resp.StatusCode)
	x.timeToFirstEvent = time.Since(x.received)
	return true
}

// forwardEvents sends the complete events at the start of data to the caller, see streamProgress.next. It returns the remaining data and the
// number of new events.
func (a *upstreamAttempt) forwardEvents(resp *http.Response, data []byte) (rest []byte, newEvents int, err error) {
	x := a.x
	batch := x.events.next(data, x.route.Resumable)
	if a.stream.first == 0 {
		a.stream.first = batch.firstID
	}
	if len(batch.text) > 0 {
		if batch.newEvents > 0 && !a.begun.begin() || !x.startStreamResponse(resp) {
			a.stream.unsent += batch.after.count - x.events.count
			return nil, 0, a.endedBefore()
		}
		if err := x.write(batch.text); err != nil {
			return nil, batch.newEvents, err
		}
		batch.after.version = max(batch.after.version, a.weights.ranOn())
		x.events = batch.after
		if batch.newEvents > 0 {
			x.pauses.record(time.Now())
		}
		a.stream.last = x.events.lastID
	}
	return append(data[:0], data[batch.size:]...), batch.newEvents, batch.missing
}

// write sends a part of a stream to the caller at once. Its errors are marked errCallerGone.
func (x *exchange) write(text []byte) error {
	if err := x.awaitReader(); err != nil {
		return err
	}
	_, err := x.w.Write(text)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "relay: write to the caller"), errCallerGone)
	}
	return nil
}
