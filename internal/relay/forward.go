package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/membudget"
)

// maxBufferedResponse is the largest response that is read completely before it is forwarded, in bytes.
const maxBufferedResponse = 512 << 10

// forwardResponse forwards a response that is not a stream. Up to maxBufferedResponse bytes are read before anything is forwarded, so
// that a server error or a truncated response can still be retried elsewhere. A response that does not fit into the memory budget is
// forwarded as it arrives.
func (a *upstreamAttempt) forwardResponse(resp *http.Response) attemptResult {
	x := a.x
	a.recordStart()
	a.conn.SetReadTimeout(a.headTimeout())
	held := x.relay.cfg.MemoryBudget.Reserve()
	defer held.Release()
	const most = maxBufferedResponse + 1
	body, err := held.ReadAll(io.LimitReader(resp.Body, most), x.expectedLength(resp), most)
	whole := len(body) <= maxBufferedResponse
	switch {
	case errors.Is(err, membudget.ErrExhausted):
		x.logMemory("response")
		whole, err = false, nil
	case err != nil:
		a.bodyOverdue = errors.Is(context.Cause(x.ctx), errTimeout)
		err = a.conn.ClassifyReadError(a.ctx, err)
	case whole && a.isCut():
		err = errCut
	}
	if err != nil {
		x.lastFailure = "answer broke off"
		return attemptResult{kind: mayHaveRun, cause: err, status: resp.StatusCode}
	}
	a.serverError = resp.StatusCode >= 500
	if a.serverError && x.silent != nil {
		x.lastFailure = "upstream failed"
		a.complete = true
		return attemptResult{kind: mayHaveRun, status: resp.StatusCode, cause: errors.Newf("relay: upstream answered %d", resp.StatusCode)}
	}
	if a.serverError && x.route.MayRepeat() && x.mayRetryServerError() {
		x.lastFailure = "upstream failed"
		a.complete = true
		return attemptResult{kind: mayHaveRun, status: resp.StatusCode, retryTaken: true,
			cause: errors.Newf("relay: upstream answered %d", resp.StatusCode)}
	}
	x.leaveSilent()
	a.complete = whole
	if !x.responseStarted.begin() && !a.complete {
		return attemptResult{kind: mayHaveRun, cause: a.endedBefore(), status: resp.StatusCode} // The rest cannot be read any more.
	}
	x.copyHeaders(resp)
	if a.complete {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(resp.StatusCode)
	if err = x.writeParts(body); err != nil {
		return attemptResult{kind: mayHaveRun, cause: errors.Mark(err, errCallerGone), status: resp.StatusCode}
	}
	if !a.complete {
		held.Release()
		a.conn.SetReadTimeout(0)
		if _, err = io.Copy(x.w, resp.Body); err == nil && a.isCut() {
			err = errCut
		}
		if err != nil {
			x.lastFailure = "answer broke off"
			return attemptResult{kind: mayHaveRun, cause: err, status: resp.StatusCode}
		}
		a.complete = true
	}
	return attemptResult{final: true, outcome: "answered", status: resp.StatusCode}
}

// expectedLength returns the length of the part of a response that is buffered, -1 if it is not known.
func (x *exchange) expectedLength(resp *http.Response) int {
	if resp.ContentLength < 0 || x.req.Method == http.MethodHead {
		return -1
	}
	return int(min(resp.ContentLength, maxBufferedResponse))
}

// mayRetryServerError reports whether a server error of the upstream may be retried elsewhere. It takes a retry from the
// budget if so.
func (x *exchange) mayRetryServerError() bool {
	return x.sends < maxSends && x.possibleRuns < x.route.MaxAttempts && time.Until(x.deadline) > x.route.LatencyTarget &&
		x.relay.cfg.RetryBudget.TryRetry(x.service)
}

// copyHeaders copies the headers of an upstream's response to the response to the caller.
func (x *exchange) copyHeaders(resp *http.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // A nil value keeps the server from detecting a type.
	}
	if _, ok := resp.Header["Date"]; !ok {
		h["Date"] = nil
	}
	x.setConnectionHeaders()
}
