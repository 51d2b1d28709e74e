package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// attempt makes an attempt and logs it. If another attempt has taken over from it, the result is that of the other.
func (x *exchange) attempt(d placement.Decision) attemptResult {
	result := x.attemptUpstream(d)
	x.logAttempt(d, result)
	if result.successor != nil {
		return *result.successor
	}
	return result
}

// takeOver makes attempts at other upstreams while a, whose stream is silent, stays open. It reports whether one of them has continued the
// stream or the request has ended; a.successor is its result then. Otherwise a is read on: its upstream may continue.
func (a *upstreamAttempt) takeOver() bool {
	x := a.x
	x.silent = a
	defer func() { x.silent = nil }()
	a.tracked.End(placement.Failed)
	result := attemptResult{kind: mayHaveRun}
	for x.mayRetry(result) && !x.poisoned() {
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

// leaveSilent closes the silent attempt, if there is one, when another attempt has continued its stream.
func (x *exchange) leaveSilent() {
	if x.silent != nil {
		x.silent.conn.Close()
		x.silent = nil
	}
}

// awaitHead is called when the head of a response is overdue. It returns how long to wait for it, 0 to give up the attempt. An attempt that
// could take over from a silent one is given up only for the silent one or for another upstream.
func (a *upstreamAttempt) awaitHead() time.Duration {
	x := a.x
	if x.silent == nil || x.silent.conn.HasInput() || x.canMove(x.possibleRuns+1) {
		return 0
	}
	return streamIdleTimeout
}
