package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/request"
)

// attemptKind tells how an attempt without a final answer has ended.
type attemptKind uint8

const (
	// notSent attempts did not reach the upstream.
	notSent attemptKind = iota + 1
	// declined attempts were refused by the upstream and have not run.
	declined
	// broken attempts may have run.
	broken
)

// result is the outcome of one attempt.
type result struct {
	// final tells that the caller has its answer.
	final   bool
	outcome string
	status  int
	kind    attemptKind
	// excused is 1 if the upstream has ended or was cut off, so that it does not count as one on which the request has run.
	excused int
	cause   error
	took    time.Duration
	first   time.Duration
}

const (
	// dialWait bounds a new connection. Upstreams are at most a few ms away and take 1 ms for it.
	dialWait = 300 * time.Millisecond
	// firstEventWait is how long a stream may take to begin before it is tried elsewhere. Callers leave after two seconds at
	// the earliest.
	firstEventWait = 2 * time.Second
	// pauseWait is how long a stream may pause. Events come every 50 to 150 ms, a load of weights takes 300 ms.
	pauseWait = 850 * time.Millisecond
	// plainPatience is the number of targets that an answer may take before it is tried elsewhere.
	plainPatience = 2.5
	// maxWholeAnswer is the largest answer that is read to its end before it is passed on, in bytes.
	maxWholeAnswer = 512 << 10
	// unreachablePause is how long an upstream that cannot be dialled is avoided.
	unreachablePause = 1500 * time.Millisecond
)

// attempt sends the request to an upstream and passes on its answer.
func (x *exchange) attempt(d placement.Decision) result {
	u := d.Upstream
	started := time.Now()
	x.tried[u.ID] = true
	track := x.r.cfg.Tracker.Begin(u.ID, x.rank, float64(x.meta.PromptTokens))
	conn, err := x.r.cfg.Pool.Get(x.ctx, u.Address, !x.route.MayRepeat(), min(dialWait, time.Until(x.until)))
	if err != nil {
		if context.Cause(x.ctx) != nil {
			track.End(placement.Abandoned)
		} else {
			track.End(placement.Failed)
			x.r.cfg.Tracker.Suspect(u.ID, unreachablePause)
		}
		x.last = "unreachable"
		return result{kind: notSent, cause: err, took: time.Since(started)}
	}
	stop := context.AfterFunc(x.ctx, conn.Close)
	a := &sent{x: x, u: u, conn: conn, track: track, started: started}
	res := a.exchange()
	if !stop() || !res.final || !a.whole {
		conn.Close()
	} else {
		x.r.cfg.Pool.Put(conn, a.idle)
	}
	track.End(a.verdict(res))
	res.took = time.Since(started)
	return res
}

// sent is one attempt on a connection.
type sent struct {
	x       *exchange
	u       *catalog.Upstream
	conn    *h1.Conn
	track   *placement.Attempt
	started time.Time
	// whole tells that the answer was read to its end.
	whole bool
	// failed tells that the upstream answered with a failure of its own.
	failed bool
	idle   time.Duration
}

func (a *sent) verdict(res result) placement.Outcome {
	switch {
	case context.Cause(a.x.ctx) != nil && !res.final:
		return placement.Abandoned
	case res.final && !a.failed:
		return placement.Succeeded
	case res.kind == declined:
		return placement.Declined
	default:
		return placement.Failed
	}
}

// exchange sends the request and handles the answer.
func (a *sent) exchange() result {
	x := a.x
	x.sends++
	//nolint:bodyclose // Closing a body reads it to its end; the connection is closed or put back instead.
	resp, err := a.conn.Do(x.ctx, a.encode(), a.headWait(), func(resp *http.Response) bool {
		id := x.r.cfg.Codec.Answer(resp.StatusCode, resp.Header.Clone()).ID
		return id == "" || id == x.meta.ID
	})
	if errors.Is(err, h1.ErrNotSent) {
		x.sends--
		x.last = "not sent"
		return result{kind: notSent, cause: err}
	}
	if err != nil {
		x.runs++
		x.last = "no answer"
		return result{kind: broken, cause: err, excused: excused(err)}
	}
	answer := x.r.cfg.Codec.Answer(resp.StatusCode, resp.Header)
	a.idle = answer.IdleTimeout
	if answer.NotRun {
		return a.declined(resp, answer)
	}
	x.runs++
	switch {
	case resp.StatusCode < 300 && !answer.Stamped:
		x.last = "unsigned answer"
		return result{kind: broken, cause: errors.New("relay: success without the upstream's signature"), status: resp.StatusCode}
	case resp.StatusCode >= 500 && !answer.Stamped:
		x.last = "unsigned failure"
		return result{kind: broken, cause: errors.Newf("relay: status %d without the upstream's signature", resp.StatusCode), status: resp.StatusCode}
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return a.stream(resp)
	default:
		return a.plain(resp)
	}
}

// excused returns 1 if the connection was reset or closed by an upstream that has probably ended.
func excused(err error) int {
	if errors.Is(err, h1.ErrSilent) {
		return 0
	}
	return 1
}

// encode builds the request for the upstream.
func (a *sent) encode() *h1.Request {
	x := a.x
	header := x.req.Header.Clone()
	out := request.Outgoing{Left: time.Until(x.until), Instance: a.u.ID, Customer: x.customer, Rank: x.upstreamRank(),
		LastEvent: x.events.last}
	if x.engine != nil && x.snap.MinVersion(x.meta.Model, time.Now(), x.r.cfg.VersionApply-VersionMargin) > 0 {
		out.Version = a.believedVersion()
	}
	x.r.cfg.Codec.Prepare(header, out)
	return &h1.Request{Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Header: header, Body: x.body,
		HasBody: x.req.ContentLength != 0 || len(x.req.TransferEncoding) > 0}
}

// believedVersion returns the version that the upstream holds as far as this node knows.
func (a *sent) believedVersion() int64 {
	models := a.u.Models
	if load, age, ok := a.x.r.cfg.Loads.Get(a.u.Address); ok && age < loadRetention {
		models = load.Models
	}
	return versionOf(models, a.x.meta.Model, a.x.engine.Layers)
}

// upstreamRank is the urgency at the upstream. A stream that has begun comes first: its caller waits for the next event.
// One that cannot be in time any more comes after the other kinds of its customer's priority.
func (x *exchange) upstreamRank() int {
	switch {
	case x.begun:
		return 0
	case x.waited > x.route.LatencyTarget:
		return x.rank/routePriorities*routePriorities + routePriorities - 1
	default:
		return x.rank
	}
}

// headWait is how long the head of an answer may take.
func (a *sent) headWait() time.Duration {
	x := a.x
	if !x.route.MayRepeat() {
		return 0 // The context ends the wait: nothing could be tried elsewhere.
	}
	if x.route.Kind == catalog.Stream {
		return firstEventWait
	}
	return max(time.Duration(plainPatience*float64(x.route.LatencyTarget)), dialWait)
}

// declined handles an upstream's word that the request has not run.
func (a *sent) declined(resp *http.Response, answer request.Answer) result {
	x := a.x
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWholeAnswer)); err != nil {
		x.r.cfg.Log.V(1).Info("body of a refusal is incomplete", "request", x.meta.ID, "cause", err.Error())
	}
	x.last = "declined"
	switch {
	case answer.WrongInstance && answer.Instance != "" && answer.Instance != a.u.ID:
		x.last = "wrong instance"
		x.r.cfg.Tracker.Replace(a.u.ID, a.u.Sequence)
	case answer.WrongInstance:
		x.last = "wrong version"
		x.r.cfg.Tracker.Suspect(a.u.ID, wrongVersionPause)
	}
	return result{kind: declined, status: resp.StatusCode}
}

// wrongVersionPause is how long an upstream is avoided after it had another version. Its report is old.
const wrongVersionPause = 400 * time.Millisecond

// plain passes on an answer with a length.
func (a *sent) plain(resp *http.Response) result {
	x := a.x
	a.track.Started()
	a.conn.Allow(a.headWait())
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswer+1))
	if err != nil {
		x.last = "answer broke off"
		return result{kind: broken, cause: a.conn.Failure(x.ctx, err), status: resp.StatusCode}
	}
	a.failed = resp.StatusCode >= 500
	if a.failed && x.route.MayRepeat() && x.mayRepeatFailure() {
		x.last = "upstream failed"
		a.whole = true
		return result{kind: broken, status: resp.StatusCode, cause: errors.Newf("relay: upstream answered %d", resp.StatusCode)}
	}
	x.head(resp)
	if len(body) <= maxWholeAnswer {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		a.whole = true
	}
	x.w.WriteHeader(resp.StatusCode)
	x.begun = true
	if _, err = x.w.Write(body); err != nil {
		return result{kind: broken, cause: errors.Mark(err, errCallerGone), status: resp.StatusCode}
	}
	if len(body) > maxWholeAnswer {
		a.conn.Allow(0)
		if _, err = io.Copy(x.w, resp.Body); err != nil {
			x.last = "answer broke off"
			return result{kind: broken, cause: err, status: resp.StatusCode}
		}
		a.whole = true
	}
	return result{final: true, outcome: "answered", status: resp.StatusCode}
}

// mayRepeatFailure tells whether a failure of the upstream's is worth another attempt elsewhere.
func (x *exchange) mayRepeatFailure() bool {
	return x.runs < x.route.MaxAttempts && time.Until(x.until) > x.route.LatencyTarget && x.r.cfg.Budget.Spend(x.service)
}

// head copies the headers of an upstream's answer.
func (x *exchange) head(resp *http.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // Without this the server guesses one.
	}
	if _, ok := resp.Header["Date"]; !ok {
		h["Date"] = nil
	}
}
