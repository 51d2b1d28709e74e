package relay

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/h1"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

const (
	// nextDialDelay is the time without a connection after which one more upstream is dialled.
	nextDialDelay = 100 * time.Millisecond
	// redialDelay is the time after which a dial is repeated if there is no other upstream to dial. It is checked every nextDialDelay.
	redialDelay = 250 * time.Millisecond
	// connectTimeout bounds the time in which a connection for a request opens. It is longer than a sound upstream may be silent.
	connectTimeout = 2 * time.Second
	// connectReserve is the part of a request's time that is left for its response or its refusal, at most half of the rest.
	connectReserve = 50 * time.Millisecond
)

// Causes of attempts that were not sent.
var (
	// errSilentGoesOn means that the silent attempt goes on that the attempt could take over from.
	errSilentGoesOn = errors.New("relay: the silent upstream goes on")
	// errNotReady means that the upstream has begun to leave, has left, or was evacuated before a connection to it opened.
	errNotReady = errors.New("relay: upstream is not ready any more")
)

// connecting is the state of the connections that are opened for one attempt. Nothing is sent before one of them has opened, so that
// requests that may run once may be raced too.
type connecting struct {
	x *exchange
	// race is nil while only the first upstream is dialled.
	race *h1.Race
	// dials holds the upstreams to which connections are being opened, in the order in which they were selected.
	dials []*dial
}

// connection is an open connection to an upstream, for one attempt.
type connection struct {
	*h1.Conn
	upstream *catalog.Upstream
	tracked  *placement.Attempt
}

// dial is a connection that is being opened to one upstream.
type dial struct {
	upstream *catalog.Upstream
	tracked  *placement.Attempt
	// startedAt is when the upstream was first dialled, dialledAt when it was last dialled in the race.
	startedAt, dialledAt time.Time
	// overdue is set when the connection has not opened within dialTimeout, failed when it will not open any more.
	overdue, failed bool
}

// connect opens a connection to the upstream or, while that takes long, to the next ones too. It returns the one that opens first. The
// error is marked h1.ErrNotSent or is errSilentGoesOn.
func (x *exchange) connect(u *catalog.Upstream) (connection, error) {
	c := &connecting{x: x}
	defer c.close()
	first := c.add(u)
	conn, err := x.relay.cfg.Pool.Get(x.ctx, u.Address, !x.route.MayRepeat(), min(nextDialDelay, time.Until(x.deadline)))
	if err == nil {
		return c.take(first, conn), nil
	}
	if timeout := net.Error(nil); context.Cause(x.ctx) != nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		c.fail(first)
		return connection{}, err
	}
	left := time.Until(x.deadline)
	ctx, cancel := context.WithTimeout(x.ctx, min(connectTimeout, max(left-connectReserve, left/2)))
	defer cancel()
	c.race = x.relay.cfg.Pool.NewRace(ctx)
	c.dial(first)
	c.dialNext()
	return c.await(ctx)
}

// isReady reports whether an upstream, which may have been selected long ago, still takes requests.
func (x *exchange) isReady(u *catalog.Upstream) bool {
	current := x.relay.cfg.State.Snapshot().ByID(u.ID)
	return current != nil && current.State == catalog.Ready && !x.relay.availability.Status(processOf(u)).Leaving && !x.isEvacuated(u)
}

// track records an attempt at an upstream.
func (x *exchange) track(u *catalog.Upstream) *placement.Attempt {
	return x.relay.cfg.Tracker.Begin(u.ID, x.rank, float64(x.meta.PromptTokens))
}

// await waits until a connection has opened, all have failed or ctx ends, and dials more upstreams meanwhile.
func (c *connecting) await(ctx context.Context) (connection, error) {
	noConnection := time.NewTicker(nextDialDelay)
	defer noConnection.Stop()
	silentGoesOn, stop := c.x.watchSilent()
	defer stop()
	for {
		select {
		case result := <-c.race.Results():
			d := c.find(result.Addr)
			switch {
			case result.Err == nil && c.x.isReady(d.upstream):
				return c.take(d, result.Conn), nil
			case result.Err == nil:
				result.Conn.Close()
				result.Err = errors.Mark(errors.WithStack(errNotReady), h1.ErrNotSent)
				d.failed = true
			case ctx.Err() != nil:
				continue
			default:
				c.fail(d)
			}
			if !c.pending() {
				return connection{}, result.Err
			}
			c.dialNext()
		case <-noConnection.C:
			c.markOverdue()
			if !c.dialNext() {
				c.redial()
			}
		case <-silentGoesOn:
			c.allowOthers()
			return connection{}, errors.WithStack(errSilentGoesOn)
		case <-ctx.Done():
			c.markOverdue()
			return connection{}, errors.Mark(errors.Wrap(context.Cause(ctx), "relay: connect"), h1.ErrNotSent)
		}
	}
}

// add adds an upstream that was selected for the request.
func (c *connecting) add(u *catalog.Upstream) *dial {
	c.x.tried[u.ID] = true
	d := &dial{upstream: u, tracked: c.x.track(u), startedAt: time.Now()}
	c.dials = append(c.dials, d)
	return d
}

// dial begins to open a connection, again if that takes long.
func (c *connecting) dial(d *dial) {
	d.dialledAt = time.Now()
	c.race.Dial(d.upstream.Address)
}

// fail records that no connection to an upstream will open.
func (c *connecting) fail(d *dial) {
	d.failed = true
	c.recordUnreachable(d)
}

// dialNext dials one more upstream. It reports false if the request may not be sent to more or none of them can take it.
func (c *connecting) dialNext() bool {
	if len(c.x.tried) >= maxSends || c.x.poisoned() {
		return false
	}
	next := c.x.place().Upstream
	if next == nil {
		return false
	}
	c.dial(c.add(next))
	return true
}

// redial repeats the oldest dial after redialDelay.
func (c *connecting) redial() {
	var oldest *dial
	for _, d := range c.dials {
		if !d.failed && (oldest == nil || d.dialledAt.Before(oldest.dialledAt)) {
			oldest = d
		}
	}
	if oldest != nil && time.Since(oldest.dialledAt) >= redialDelay {
		c.dial(oldest)
	}
}

// find returns the dial whose result has arrived.
func (c *connecting) find(addr string) *dial {
	for _, d := range c.dials {
		if d.upstream.Address == addr && !d.failed {
			return d
		}
	}
	return nil
}

// pending reports whether a connection may still open.
func (c *connecting) pending() bool {
	for _, d := range c.dials {
		if !d.failed {
			return true
		}
	}
	return false
}

// markOverdue records the upstreams to which no connection has opened in time as unreachable.
func (c *connecting) markOverdue() {
	for _, d := range c.dials {
		if !d.overdue && !d.failed && time.Since(d.startedAt) >= dialTimeout {
			d.overdue = true
			c.recordUnreachable(d)
		}
	}
}

func (c *connecting) recordUnreachable(d *dial) {
	if context.Cause(c.x.ctx) != nil {
		return
	}
	d.tracked.End(placement.Failed)
	c.x.relay.cfg.Tracker.MarkSuspect(d.upstream.ID, unreachableSuspectTime)
	c.x.relay.presumeCold(d.upstream, warmup.CauseUnreachable)
}

// take removes a dial whose connection has opened. Attempts are tracked from the time at which they can be sent.
func (c *connecting) take(d *dial, conn *h1.Conn) connection {
	c.dials = slices.DeleteFunc(c.dials, func(other *dial) bool { return other == d })
	tracked := d.tracked
	if d.overdue {
		tracked = c.x.track(d.upstream)
	}
	if c.race != nil {
		c.x.relay.cfg.Log.Info("connection opened late", "request", c.x.meta.ID, "upstream", d.upstream.ID, "others", len(c.dials),
			"took_ms", time.Since(d.startedAt).Milliseconds())
	}
	c.allowOthers()
	return connection{Conn: conn, upstream: d.upstream, tracked: tracked}
}

// allowOthers lets the upstreams be tried again that are neither overdue nor unreachable.
func (c *connecting) allowOthers() {
	for _, d := range c.dials {
		if !d.overdue && !d.failed {
			delete(c.x.tried, d.upstream.ID)
		}
	}
}

// close ends the dials and gives back what was taken from their upstreams.
func (c *connecting) close() {
	if c.race != nil {
		c.race.Close()
	}
	for _, d := range c.dials {
		d.tracked.End(placement.Abandoned) // Without effect if the upstream was recorded as unreachable.
		c.x.giveBack(d.upstream)
	}
}

// watchSilent returns a channel that receives a value when the silent attempt goes on that the request tries to move from. It is nil if
// there is no such attempt.
func (x *exchange) watchSilent() (goesOn <-chan struct{}, stop func()) {
	if x.silent == nil {
		return nil, func() {}
	}
	silent, found := x.silent, make(chan struct{})
	ctx, cancel := context.WithCancel(x.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if silent.goesOn() {
				close(found)
				return
			}
			pause.For(ctx, silentCheckInterval)
		}
	}()
	return found, func() { cancel(); <-done }
}
