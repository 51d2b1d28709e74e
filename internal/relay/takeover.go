package relay

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// An upstream may fall silent and go on. Ending its attempt would end the caller's response or lose an answer that is on its way, so a
// silent attempt stays open while others try to take over from it. The first one that has something for the caller continues.

// silentCheckInterval is the time between checks whether a silent upstream goes on.
const silentCheckInterval = 20 * time.Millisecond

// attempt makes an attempt and logs it. If another attempt has taken over from it, the result is that of the other.
func (x *exchange) attempt(d placement.Decision) attemptResult {
	result := x.attemptUpstream(d)
	x.logAttempt(d, result)
	if result.successor != nil {
		return *result.successor
	}
	return result
}

// awaitHead is called when the head of a response, or the body of one that is no stream, is overdue. It returns how long to wait for it, 0
// to give up the attempt.
func (a *upstreamAttempt) awaitHead() time.Duration { return a.awaitSilent() }

// awaitSilent is called when the upstream of an attempt is silent. It returns how long to wait for it, 0 to give up the attempt: another one
// has taken over or, if this one could take over itself, the silent one goes on.
func (a *upstreamAttempt) awaitSilent() time.Duration {
	x := a.x
	runs := x.possibleRuns
	if !a.counted {
		runs++
	}
	switch {
	case a.yield():
		return 0
	case !x.canMove(runs):
		return streamIdleTimeout
	case a.takeOver():
		return 0
	default:
		return streamIdleTimeout
	}
}

// canMove reports whether another attempt could take over from one whose upstream is silent: the request may be repeated or its response be
// resumed, and there is an upstream for it and attempts and budget for a retry. runs counts the runs so far.
func (x *exchange) canMove(runs int) bool {
	begun := x.responseStarted.hasBegun()
	if !x.route.MayRepeat() || begun && (x.route.Kind != catalog.Stream || x.events.count == 0) {
		return false
	}
	if x.sends >= maxSends || runs >= x.route.MaxAttempts || !x.relay.cfg.RetryBudget.Available(x.service) {
		return false
	}
	x.snapshot = x.relay.cfg.State.Snapshot()
	list, _ := x.candidates(time.Now())
	return len(list) > 0
}

// takeOver makes attempts at other upstreams while a, whose upstream is silent, stays open. It reports whether one of them has continued the
// response or the request has ended; a.successor is its result then. Otherwise a is read on: its upstream may continue.
func (a *upstreamAttempt) takeOver() bool {
	x := a.x
	a.previous, x.silent = x.silent, a
	defer func() {
		if x.silent == a {
			x.silent = a.previous
		}
	}()
	a.countRun()
	a.tracked.End(placement.Failed)
	result := attemptResult{kind: mayHaveRun}
	for !a.goesOn() && x.mayRetry(result) && !x.poisoned() {
		d := x.place()
		if d.Upstream == nil {
			return false
		}
		result = x.attempt(d)
		if x.silent == nil || result.final || context.Cause(x.ctx) != nil || errors.Is(result.cause, errCallerGone) {
			a.successor = &result
			return true
		}
		x.awaitVerdict(result.crashDecided)
	}
	return false
}

// yield reports whether a silent attempt from which a could take over goes on, so that a has to end.
func (a *upstreamAttempt) yield() bool {
	a.yielded = a.x.silent != nil && a.x.silent.goesOn()
	return a.yielded
}

// replaced reports whether another attempt answers the request in place of a: one that has taken over from a, or the silent one for which a
// has ended. A read that ends therefore may still return events that it held. They are not forwarded: the stream has gone on without them, or
// is about to.
func (a *upstreamAttempt) replaced() bool { return a.yielded || a.successor != nil }

// goesOn reports whether the silent attempt a, or one from which a itself could take over, goes on.
func (a *upstreamAttempt) goesOn() bool {
	return a.hasNews(a.conn.PeekBytes()) || a.previous != nil && a.previous.goesOn()
}

// hasNews reports whether waiting, bytes that have arrived and were not read yet, may hold something for the caller. A refusal, a failure, or a
// part of a head or of an event does not: the rest may never come.
func (a *upstreamAttempt) hasNews(waiting []byte) bool {
	endOfEvent, endOfHead := []byte("\n\n"), []byte("\r\n\r\n")
	switch {
	case len(waiting) == 0:
		return false
	case !a.answerBegan.IsZero() && a.x.route.Kind != catalog.Stream:
		return true
	case a.answerBegan.IsZero() && isFailureHead(waiting):
		return false
	default:
		return bytes.Contains(waiting, endOfEvent) || bytes.Contains(waiting, endOfHead)
	}
}

// isFailureHead reports whether bytes begin with a status line that is no success. The beginning of a head may have been read before.
func isFailureHead(head []byte) bool {
	const successClass, classAt = '2', len("HTTP/1.1 ")
	return bytes.HasPrefix(head, []byte("HTTP/1.")) && (len(head) <= classAt || head[classAt] != successClass)
}

// watch interrupts the reads of successor, an attempt that could take over from a, when a silent attempt goes on before successor has begun.
// The attempt then ends, see awaitSilent. The returned function ends the watch.
func (a *upstreamAttempt) watch(successor *upstreamAttempt) (stop func()) {
	ctx, end := context.WithCancel(successor.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil && !successor.begun.hasBegun() {
			if a.goesOn() {
				successor.conn.InterruptRead()
			}
			pause.For(ctx, silentCheckInterval)
		}
	}()
	return func() {
		end()
		<-done
	}
}

// leaveSilent closes the silent attempts, if there are any, when another attempt has continued their response.
func (x *exchange) leaveSilent() {
	for ; x.silent != nil; x.silent = x.silent.previous {
		x.silent.conn.Close()
	}
}
