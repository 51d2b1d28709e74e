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

func (g *Agent) heartbeat() message.Heartbeat {
	return message.Heartbeat{Revision: g.holder.Revision(), Leaving: g.leaving.Load()}
}

// maintainLink keeps a link to an entry: it dials with backoff until ctx ends, and again whenever the link is lost.
func (g *Agent) maintainLink(ctx context.Context, address string) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minDialDelay, maxDialDelay
	for ctx.Err() == nil {
		conn, err := link.Dial(ctx, address, g.self, g.linkCfg, g.heartbeat)
		if err == nil {
			delay.Reset()
			g.serveLink(ctx, conn)
		} else {
			g.log.V(1).Info("cannot dial entry", "address", address, "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// serveLink handles the messages of a link until it is lost, then abandons the attempts that arrived on it.
func (g *Agent) serveLink(ctx context.Context, conn *link.Conn) {
	g.log.Info("link to entry opened", "entry", conn.Peer().NodeID)
	g.announcer.addLink(ctx, conn)
	err := conn.Serve(ctx, g.handle)
	g.links.remove(conn)
	// The replica keeps its current peers until the next view, also when no entry can be reached.
	g.views.Remove(conn)
	lost := g.attempts.byLink(conn)
	g.log.Info("link to entry closed", "entry", conn.Peer().NodeID, "requests", len(lost), "cause", err.Error())
	for _, a := range lost {
		g.abandonAttempt(a)
	}
}

// handle dispatches a message that arrived on a link.
func (g *Agent) handle(conn *link.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.Submit:
		g.handleSubmit(conn, m)
	case *message.Credit:
		if a := g.attempts.get(m.Attempt); a != nil && a.credit != nil {
			a.credit.add(m.Bytes)
		}
	case *message.Cancel:
		g.handleCancel(m)
	case *message.Query:
		g.handleQuery(conn, m)
	case *message.Heartbeat:
		g.syncer.HandleHeartbeat(conn, m.Revision)
	case *message.ConfigRequest:
		g.syncer.HandleRequest(conn, m)
	case *message.ConfigReply:
		g.syncer.HandleReply(conn, m)
	case *message.PeerView:
		g.views.Apply(conn, m)
		if g.weights != nil {
			g.weights.handle(&message.PeerView{Peers: g.views.Merge(nil, nil)})
		}
	default:
		if g.weights != nil {
			g.weights.handle(m)
		}
	}
}

// followConfig applies the current configuration and each new one until ctx ends.
func (g *Agent) followConfig(ctx context.Context) {
	changed, stop := g.holder.Subscribe()
	defer stop()
	for {
		if active := g.holder.Current(); active != nil {
			g.applyConfig(active.Config)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyConfig updates the priorities of the queue and whether the agent is drained.
func (g *Agent) applyConfig(c *config.Config) {
	priorities := make([]sched.Priority, 0, len(c.Priorities))
	for _, p := range c.Priorities {
		priorities = append(priorities, sched.Priority{Share: p.Share, Floor: p.Floor})
	}
	g.queue.SetPriorities(priorities)
	drained := false
	for _, d := range c.Drains {
		drained = drained || d.Agent == g.settings.ID
	}
	if g.drained.Swap(drained) != drained {
		g.logState()
		g.updateLeaving()
	}
}
