package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/sched"
)

// Limits of the backoff between dials. The minimum is short because a restarted entry listens again almost at once.
const (
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = time.Second
)

// links is the set of open links to entries.
type links struct {
	// mu guards open.
	mu   sync.Mutex
	open map[*link.Conn]struct{}
}

func newLinks() *links { return &links{open: make(map[*link.Conn]struct{})} }

func (l *links) add(c *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
}

func (l *links) remove(c *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *links) all() []*link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*link.Conn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

// notifyStatus sends a heartbeat on all links at once.
func (l *links) notifyStatus() {
	for _, c := range l.all() {
		c.NotifyStatus()
	}
}

// sendAsync sends a control message without blocking the calling goroutine, which may be the one that reads a link.
func sendAsync(c *link.Conn, m message.Message) {
	go func() { _ = c.Send(context.Background(), m) }()
}

func (a *Agent) heartbeat() message.Heartbeat {
	return message.Heartbeat{Revision: a.holder.Revision(), Leaving: a.leaving.Load()}
}

// maintainLink keeps a link to an entry: it dials with backoff until ctx ends, and again whenever the link is lost.
func (a *Agent) maintainLink(ctx context.Context, address string) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minDialDelay, maxDialDelay
	for ctx.Err() == nil {
		conn, err := link.Dial(ctx, address, a.self, a.linkCfg, a.heartbeat)
		if err == nil {
			delay.Reset()
			a.serveLink(ctx, conn)
		} else {
			a.log.V(1).Info("cannot dial entry", "address", address, "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// serveLink handles the messages of a link until it is lost, then abandons the attempts that arrived on it.
func (a *Agent) serveLink(ctx context.Context, conn *link.Conn) {
	a.log.Info("link to entry opened", "entry", conn.Peer().NodeID)
	a.announcer.addLink(ctx, conn)
	err := conn.Serve(ctx, a.handle)
	a.links.remove(conn)
	// The replica keeps its current peers until the next view, also when no entry can be reached.
	a.views.Remove(conn)
	lost := a.attempts.byLink(conn)
	a.log.Info("link to entry closed", "entry", conn.Peer().NodeID, "requests", len(lost), "cause", err.Error())
	for _, att := range lost {
		a.abandonAttempt(att)
	}
}

// handle dispatches a message that arrived on a link.
func (a *Agent) handle(conn *link.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.Submit:
		a.handleSubmit(conn, m)
	case *message.Credit:
		if att := a.attempts.get(m.Attempt); att != nil && att.credit != nil {
			att.credit.add(m.Bytes)
		}
	case *message.Cancel:
		a.handleCancel(m)
	case *message.Query:
		a.handleQuery(conn, m)
	case *message.Heartbeat:
		a.syncer.HandleHeartbeat(conn, m.Revision)
	case *message.ConfigRequest:
		a.syncer.HandleRequest(conn, m)
	case *message.ConfigReply:
		a.syncer.HandleReply(conn, m)
	case *message.PeerView:
		a.views.Apply(conn, m)
		if a.weights != nil {
			a.weights.handle(&message.PeerView{Peers: a.views.Merge(nil, nil)})
		}
	default:
		if a.weights != nil {
			a.weights.handle(m)
		}
	}
}

// followConfig applies the current configuration and each new one until ctx ends.
func (a *Agent) followConfig(ctx context.Context) {
	changed, stop := a.holder.Subscribe()
	defer stop()
	for {
		if active := a.holder.Current(); active != nil {
			a.applyConfig(active.Config)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyConfig updates the priorities of the queue and whether the agent is drained.
func (a *Agent) applyConfig(c *config.Config) {
	priorities := make([]sched.Priority, 0, len(c.Priorities))
	for _, p := range c.Priorities {
		priorities = append(priorities, sched.Priority{Share: p.Share, Floor: p.Floor})
	}
	a.queue.SetPriorities(priorities)
	drained := false
	for _, d := range c.Drains {
		drained = drained || d.Agent == a.settings.ID
	}
	if a.drained.Swap(drained) != drained {
		a.logState()
		a.updateLeaving()
	}
}
