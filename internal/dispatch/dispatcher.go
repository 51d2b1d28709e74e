package dispatch

import (
	"context"
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
	// submitWait bounds the wait for room in a link's ring. A Submit that found none was not sent.
	submitWait = time.Second
	// deadlineGrace lets the peer's own verdict on the deadline arrive first.
	deadlineGrace = 250 * time.Millisecond
)

// RemoteEntries finds entries of other data centres.
type RemoteEntries interface {
	// Accepting returns the entries of other data centres that have an accepting upstream of the pool.
	Accepting(pool string, kind config.PoolKind) []membership.Entry
}

// Events are notified of what metrics and other entries need to know. The functions must not block; nil ones are skipped.
type Events struct {
	Retry func(reason message.Reason)
	// LateMessage counts messages that nobody waits for.
	LateMessage func()
	// Crash is called for each crash that this entry has seen first-hand.
	Crash func(fingerprint string, crash quarantine.Crash)
}

// Options are the parts that a Dispatcher works with. All but Events are required.
type Options struct {
	Table         *membership.Table
	Router        *routing.Router
	RemoteEntries RemoteEntries
	Quarantine    *quarantine.List
	Events        Events
	// Incarnation is that of this process.
	Incarnation uint64
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	table       *membership.Table
	router      *routing.Router
	remote      RemoteEntries
	quarantine  *quarantine.List
	incarnation uint64
	budget      *retry.Budget
	events      Events
	calls       *registry
	relays      *relays
	// waiters has one element for each request that waits for an upstream.
	waiters chan struct{}
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		table: o.Table, router: o.Router, remote: o.RemoteEntries, quarantine: o.Quarantine, incarnation: o.Incarnation,
		budget: retry.NewBudget(nil), events: o.Events, calls: newRegistry(), relays: newRelays(),
		waiters: make(chan struct{}, maxUpstreamWaiters),
	}
}

// Handle takes the messages of requests from a link. It does not block, and returns false for other messages.
func (d *Dispatcher) Handle(conn *link.Conn, m message.Message) bool {
	if _, ok := attemptOf(m); ok {
		if !d.calls.deliver(conn, m) && d.events.LateMessage != nil {
			d.events.LateMessage()
		}
		return true
	}
	return d.handleForwarded(conn, m)
}

// Dispatch implements filter.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, x *filter.Exchange) error {
	ctx, stop := context.WithDeadline(ctx, x.Deadline.Add(deadlineGrace))
	defer stop()
	d.budget.Request()
	var history retry.History
	a := newAnswer(x)
	avoid := make(map[string]bool)
	for number := 1; ; number++ {
		target, ok := d.await(ctx, x, avoid)
		if !ok {
			return failure(x, Result{Reason: message.ReasonNoUpstream}, history.Outcome())
		}
		result, err := d.attempt(ctx, x, a, target, number)
		if err != nil || result.Outcome == message.OutcomeOK {
			return err
		}
		history.Add(result.Outcome)
		if a.committed {
			return a.abort(failure(x, result, history.Outcome()))
		}
		if d.quarantined(x) {
			return failure(x, Result{Reason: message.ReasonQuarantined, RetryAfter: d.quarantine.Retention()}, history.Outcome())
		}
		if !d.mayRetry(ctx, x, result, number) {
			return failure(x, result, history.Outcome())
		}
		avoid[target.NodeID] = true
	}
}

// quarantined checks the request again, because its own attempts may have crashed upstreams.
func (d *Dispatcher) quarantined(x *filter.Exchange) bool {
	level := d.quarantine.Level(x.Fingerprint)
	x.Suspect = level != quarantine.Clear
	return level == quarantine.Refused
}

func orderKey(caller, key string) string { return caller + "\x00" + key }

func upstreamTarget(u membership.Upstream) Target {
	return Target{Conn: u.Conn, NodeID: u.Node.NodeID, Incarnation: u.Node.Incarnation}
}

// attempt sends one attempt and passes its answer on. An error ends the request; otherwise the result tells how the attempt
// ended.
func (d *Dispatcher) attempt(
	ctx context.Context, x *filter.Exchange, a *answer, target Target, number int,
) (Result, error) {
	c := newCall(message.Attempt{RequestID: x.ID, Number: number}, target, x.Route.Idempotent && number < retry.MaxAttempts)
	d.calls.add(c)
	defer d.calls.remove(c)
	if !d.submit(ctx, c, newSubmit(x, number, target.Entry)) {
		return Result{Outcome: message.OutcomeNotRun, Reason: message.ReasonNotServing}, goneError(x)
	}
	for {
		ev, err := d.step(ctx, c)
		if err != nil {
			go c.cancel(c.target.Conn)
			result := Result{Outcome: message.OutcomeUnknown, Reason: message.ReasonTimeout}
			gone := goneError(x)
			if gone == nil {
				d.report(c, x.Fingerprint, result)
			}
			return result, gone
		}
		switch {
		case ev.head != nil:
			a.begin(ev.head)
		case ev.data != nil:
			if err := a.data(ev.data); err != nil {
				go c.cancel(c.target.Conn)
				return Result{}, errors.Mark(err, filter.ErrCallerGone)
			}
			c.consumed(len(ev.data))
		default:
			d.report(c, x.Fingerprint, *ev.result)
			return *ev.result, d.conclude(a, c, *ev.result)
		}
	}
}

// conclude completes a whole answer, and frees the upstream when it may still be working on a broken one.
func (d *Dispatcher) conclude(a *answer, c *call, result Result) error {
	if result.Outcome == message.OutcomeOK {
		return errors.Mark(a.finish(), filter.ErrCallerGone)
	}
	if result.Reason == ReasonIncomplete || result.Reason == ReasonProtocol {
		go c.cancel(c.target.Conn)
	}
	return nil
}

// submit queues the attempt on its link. False means that it was not queued and will not be sent.
func (d *Dispatcher) submit(ctx context.Context, c *call, submit *message.Submit) bool {
	ctx, stop := context.WithTimeout(ctx, submitWait)
	defer stop()
	return c.target.Conn.Send(ctx, submit) == nil
}

// step waits for the next event and turns a lost link into a result.
func (d *Dispatcher) step(ctx context.Context, c *call) (event, error) {
	ev, lost, err := c.next(ctx)
	if err != nil || !lost {
		return ev, err
	}
	result, err := d.recover(ctx, c)
	return event{result: &result}, err
}

// goneError returns ErrCallerGone when the caller has disconnected.
func goneError(x *filter.Exchange) error {
	if x.Request.Context().Err() != nil {
		return filter.ErrCallerGone
	}
	return nil
}

// report tells the policies how the attempt ended. Upstreams behind another entry are judged there.
func (d *Dispatcher) report(c *call, fingerprint string, result Result) {
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
