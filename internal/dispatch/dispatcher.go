package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/filter"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/quarantine"
	"github.com/pimentohead/pimentohead/internal/retry"
	"github.com/pimentohead/pimentohead/internal/routing"
)

const (
	// sendTimeout bounds the wait for space in a link's send queue. A Submit that found no space was not sent.
	sendTimeout = time.Second
	// resultSendTimeout bounds the wait for space for the result of a forwarded attempt. A link that is silent for that long is closed.
	resultSendTimeout = 5 * time.Second
	// deadlineGrace is the extra wait after the deadline, so that the peer's own deadline result arrives first.
	deadlineGrace = 250 * time.Millisecond
)

// RemoteEntries finds entries of other data centres.
type RemoteEntries interface {
	// Accepting returns the entries of other data centres that have an upstream of the pool that accepts requests.
	Accepting(pool string, kind config.PoolKind) []membership.Entry
}

// Events holds callbacks for metrics and for reports to other entries. They must not block; nil ones are skipped.
type Events struct {
	// Retry is called before each retry with the reason why the previous attempt did not succeed.
	Retry func(reason message.Reason)
	// LateMessage is called for each response message that no pending attempt accepts, such as one that arrives after its attempt
	// has ended.
	LateMessage func()
	// Crash is called for each upstream crash that this entry has observed itself, if the quarantine list has added the crash.
	Crash func(fingerprint string, crash quarantine.Crash)
}

// Options holds the dependencies of a Dispatcher. All but Events are required.
type Options struct {
	Table         *membership.Table
	Router        *routing.Router
	RemoteEntries RemoteEntries
	Quarantine    *quarantine.List
	Events        Events
	// Incarnation identifies the run of this process.
	Incarnation uint64
}

// Dispatcher sends requests to upstreams and their responses to the callers. It is safe for concurrent use.
type Dispatcher struct {
	table         *membership.Table
	router        *routing.Router
	remoteEntries RemoteEntries
	quarantine    *quarantine.List
	incarnation   uint64
	retryBudget   *retry.Budget
	events        Events
	pendingCalls  *callRegistry
	forwarded     *forwardedRegistry
	// forwardedInFlight counts the forwarded attempts whose result is not queued yet.
	forwardedInFlight atomic.Int64
	// upstreamWaiters is a semaphore with one element for each request that waits for an upstream.
	upstreamWaiters chan struct{}
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		table: o.Table, router: o.Router, remoteEntries: o.RemoteEntries, quarantine: o.Quarantine, incarnation: o.Incarnation,
		retryBudget: retry.NewBudget(nil), events: o.Events, pendingCalls: newCallRegistry(), forwarded: newForwardedRegistry(),
		upstreamWaiters: make(chan struct{}, maxUpstreamWaiters),
	}
}

// Handle processes a message about a request and reports whether it was one. It does not block.
func (d *Dispatcher) Handle(conn *link.Conn, m message.Message) bool {
	if _, ok := attemptOf(m); ok {
		if !d.pendingCalls.deliver(conn, m) && d.events.LateMessage != nil {
			d.events.LateMessage()
		}
		return true
	}
	return d.handleForwarded(conn, m)
}

// Dispatch implements filter.Dispatcher. It sends the request to upstreams, with retries, until one has responded or the request
// has failed.
func (d *Dispatcher) Dispatch(ctx context.Context, x *filter.Exchange) error {
	ctx, stop := context.WithDeadline(ctx, x.Deadline.Add(deadlineGrace))
	defer stop()
	d.retryBudget.RecordRequest()
	var history retry.History
	w := newResponseWriter(x)
	avoid := make(map[string]bool)
	for number := 1; ; number++ {
		target, ok := d.awaitTarget(ctx, x, avoid)
		if !ok {
			return newFailure(x, Result{Reason: message.ReasonNoUpstream}, history.Outcome())
		}
		result, err := d.runAttempt(ctx, x, w, target, number)
		if err != nil || result.Outcome == message.OutcomeOK {
			return err
		}
		history.Add(result.Outcome)
		if x.Begun {
			return w.abort(newFailure(x, result, history.Outcome()))
		}
		if d.recheckQuarantine(x) {
			return newFailure(x, Result{Reason: message.ReasonQuarantined, RetryAfter: d.quarantine.Retention()}, history.Outcome())
		}
		if !d.awaitRetry(ctx, x, result, number) {
			return newFailure(x, result, history.Outcome())
		}
		avoid[target.NodeID] = true
	}
}

// recheckQuarantine reports whether the quarantine list now refuses the request, and updates x.Suspect. The check is repeated after
// each failed attempt, because the request's own attempts may have crashed upstreams.
func (d *Dispatcher) recheckQuarantine(x *filter.Exchange) bool {
	level := d.quarantine.Level(x.Fingerprint)
	x.Suspect = level != quarantine.Clear
	return level == quarantine.Refused
}

// perCallerKey makes an idempotency key unique across callers.
func perCallerKey(caller, key string) string { return caller + "\x00" + key }

func upstreamTarget(u membership.Upstream) Target {
	return Target{Conn: u.Conn, NodeID: u.Node.NodeID, Incarnation: u.Node.Incarnation}
}

// runAttempt sends one attempt and passes its response to the caller. A non-nil error ends the request; otherwise the result
// holds the outcome of the attempt.
func (d *Dispatcher) runAttempt(
	ctx context.Context, x *filter.Exchange, w *responseWriter, target Target, number int,
) (Result, error) {
	c := newCall(message.Attempt{RequestID: x.ID, Number: number}, target, x.Route.Idempotent && number < retry.MaxAttempts)
	d.pendingCalls.add(c)
	defer d.pendingCalls.remove(c)
	submit := newSubmit(x, number, target.Entry)
	x.Attempts++
	if !d.submit(ctx, c, submit) {
		x.Attempts--
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonNotServing}, callerGoneError(x)
	}
	for {
		ev, err := d.nextEvent(ctx, c)
		if err != nil {
			go c.cancel(c.target.Conn)
			result := Result{Outcome: message.OutcomeUnknown, Reason: message.ReasonTimeout}
			goneErr := callerGoneError(x)
			if goneErr == nil {
				d.reportResult(c, x.Fingerprint, result)
			}
			return result, goneErr
		}
		if ev.result == nil {
			x.LastReceived = time.Now()
		}
		switch {
		case ev.head != nil:
			w.start(ev.head)
		case ev.data != nil:
			if err := w.write(ev.data); err != nil {
				go c.cancel(c.target.Conn)
				return Result{}, errors.Mark(err, filter.ErrCallerGone)
			}
			c.grantCredit(ctx, len(ev.data))
		default:
			d.reportResult(c, x.Fingerprint, *ev.result)
			return *ev.result, d.finishAttempt(w, c, *ev.result)
		}
	}
}

// finishAttempt completes a successful response. After an incomplete or malformed one it cancels the attempt, because the
// upstream may still be working on it.
func (d *Dispatcher) finishAttempt(w *responseWriter, c *call, result Result) error {
	if result.Outcome == message.OutcomeOK {
		return errors.Mark(w.finish(), filter.ErrCallerGone)
	}
	if result.Reason == ReasonIncomplete || result.Reason == ReasonProtocol {
		go c.cancel(c.target.Conn)
	}
	return nil
}

// submit queues the attempt on its link. It returns false when the attempt was not queued and will not be sent.
func (d *Dispatcher) submit(ctx context.Context, c *call, submit *message.Submit) bool {
	ctx, stop := context.WithTimeout(ctx, sendTimeout)
	defer stop()
	return c.target.Conn.Send(ctx, submit) == nil
}

// nextEvent waits for the next event. When the link is lost, it determines the outcome of the attempt and returns it as the
// result.
func (d *Dispatcher) nextEvent(ctx context.Context, c *call) (responseEvent, error) {
	ev, linkLost, err := c.nextEvent(ctx)
	if err != nil || !linkLost {
		return ev, err
	}
	result, err := d.recoverOutcome(ctx, c)
	return responseEvent{result: &result}, err
}

// callerGoneError returns ErrCallerGone when the caller has disconnected.
func callerGoneError(x *filter.Exchange) error {
	if x.Request.Context().Err() != nil {
		return filter.ErrCallerGone
	}
	return nil
}

// reportResult records the result of the attempt for outlier detection and quarantine. Results of attempts sent to another entry
// are recorded by that entry.
func (d *Dispatcher) reportResult(c *call, fingerprint string, result Result) {
	if c.target.Entry || result.Outcome == message.OutcomeNotRun || result.Rejected {
		return
	}
	d.router.Outliers().Report(c.target.NodeID, result.Outcome != message.OutcomeOK)
	if result.Reason != message.ReasonUpstreamCrash {
		return
	}
	crash := quarantine.Crash{AgentID: c.target.NodeID, Incarnation: result.UpstreamIncarnation, BesideSuspect: result.BesideSuspect}
	if d.quarantine.Record(fingerprint, crash, 0) && d.events.Crash != nil {
		d.events.Crash(fingerprint, crash)
	}
}
