// Package mesh keeps links to other nodes and passes on what they know: members, facts of the catalog and loads of upstreams.
//
// Entries link to some entries of their own data centre and to two in each other one. Agents link to the entries of their data
// centre. Facts are passed on by every entry that learns something new, so they reach all nodes in a few hops.
package mesh

import (
	"context"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// heartbeatInterval and silenceTimeout bound the time in which a cut or a silent link is noticed. Links are at most a few
	// ms long.
	heartbeatInterval = 300 * time.Millisecond
	silenceTimeout    = 1200 * time.Millisecond
	handshakeTimeout  = 800 * time.Millisecond
	// dialInterval is the time between looks at which links are missing.
	dialInterval = 200 * time.Millisecond
	// maxDialPause bounds the pause between attempts to reach one node.
	maxDialPause = 2 * time.Second
	// freshInterval is the time between statements of how current a node is.
	freshInterval = 300 * time.Millisecond
	// freshRemoteRounds is the number of rounds after which other data centres are told too.
	freshRemoteRounds = 3
	// loadInterval is the time between load messages to other data centres. They cross narrow links.
	loadInterval = 400 * time.Millisecond
	// maxLocalLinks bounds the links of an entry to entries of its own data centre, remoteLinks those to each other one.
	maxLocalLinks = 12
	remoteLinks   = 2
	// maxAgentLinks bounds the entries to which an agent links.
	maxAgentLinks = 12
	// memberRetention is how long an entry that cannot be reached stays a member.
	memberRetention = 2 * time.Minute
	// changeRing bounds the facts that wait to be passed on. When it is full the links get everything instead.
	changeRing = 1024
)

// Config holds the parts of a Mesh.
type Config struct {
	Self   message.Hello
	Secret []byte
	// Seeds are link addresses to try while no other entry is known.
	Seeds []string
	State *fleet.State
	Loads *loadview.Table
	// PeerWork receives what other entries have in progress; Work returns what this one has. Both are nil on agents.
	PeerWork *loadview.WorkTable
	OwnWork  func() []message.UpstreamWork
	Log      logr.Logger
	// ServeWeights answers requests for weights; nil on agents.
	ServeWeights func(ctx context.Context, q *message.WeightsRequest) *message.WeightsReply
	// Leaving tells that the node is shutting down.
	Leaving func() bool
	// Traffic counts the bytes of all links. Optional.
	Traffic *link.Traffic
}

// Mesh is safe for concurrent use.
type Mesh struct {
	cfg     Config
	linkCfg link.Config
	changes chan fleet.Change
	// resync tells that changes were left out.
	resync atomic.Bool
	// pulling tells that a configuration is about to be asked for.
	pulling atomic.Bool
	pending pendingReplies
	packed  configPacker
	// toldLocally is the revision of the last configuration that another entry of the data centre has told.
	toldLocally atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*member
	links   map[string]*peer
	dials   map[string]*dialState
	kick    chan struct{}
}

type member struct {
	message.Member
	seen time.Time
}

type peer struct {
	conn  *link.Conn
	hello message.Hello
}

type dialState struct {
	busy  bool
	next  time.Time
	pause time.Duration
}

// New returns a Mesh. Run starts it.
func New(cfg Config) *Mesh {
	m := &Mesh{
		cfg: cfg,
		linkCfg: link.Config{Secret: cfg.Secret, HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout,
			HandshakeTimeout: handshakeTimeout, Traffic: cfg.Traffic},
		changes: make(chan fleet.Change, changeRing),
		members: map[string]*member{}, links: map[string]*peer{}, dials: map[string]*dialState{},
		kick: make(chan struct{}, 1),
	}
	m.packed.log = cfg.Log
	m.pending.waiting = map[uint64]chan *message.WeightsReply{}
	if cfg.Self.Role == message.RoleEntry {
		cfg.State.Observe(func(c fleet.Change) {
			select {
			case m.changes <- c:
			default:
				m.resync.Store(true)
			}
		})
	}
	return m
}

// Run dials and shares until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	duties := []func(context.Context){m.dialLoop}
	if m.cfg.Self.Role == message.RoleEntry {
		duties = append(duties, m.shareChanges, m.shareFreshness, m.shareLoads, m.shareWork)
	}
	for _, duty := range duties {
		wg.Add(1)
		go func() { defer wg.Done(); duty(ctx) }()
	}
	wg.Wait()
}

// Serve accepts links until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			m.cfg.Log.Error(err, "accept of a link failed", "address", listener.Addr().String())
			pause.For(ctx, dialInterval)
			continue
		}
		go func() {
			conn, err := link.Accept(nc, m.cfg.Self, m.linkCfg, m.status)
			if err != nil {
				m.cfg.Log.V(1).Info("link refused", "cause", err.Error())
				return
			}
			m.serveLink(ctx, conn)
		}()
	}
}

func (m *Mesh) status() message.Heartbeat {
	return message.Heartbeat{Leaving: m.cfg.Leaving != nil && m.cfg.Leaving()}
}

// serveLink registers a link, sends what this node knows, and handles messages until the link fails.
func (m *Mesh) serveLink(ctx context.Context, conn *link.Conn) {
	hello := conn.Peer()
	p := &peer{conn: conn, hello: hello}
	m.mu.Lock()
	if old := m.links[hello.NodeID]; old != nil && old.hello.Incarnation > hello.Incarnation {
		m.mu.Unlock()
		conn.Close()
		return
	}
	m.links[hello.NodeID] = p
	m.mu.Unlock()
	m.learn([]message.Member{memberOf(hello)})
	m.cfg.Log.Info("link up", "peer", hello.NodeID, "data_centre", hello.DataCentre, "address", hello.Address)
	go m.greet(ctx, p)
	err := conn.Serve(ctx, func(_ *link.Conn, msg message.Message) { m.handle(ctx, p, msg) })
	m.mu.Lock()
	if m.links[hello.NodeID] == p {
		delete(m.links, hello.NodeID)
	}
	m.mu.Unlock()
	m.pending.drop(p)
	if ctx.Err() == nil {
		m.cfg.Log.Info("link lost", "peer", hello.NodeID, "data_centre", hello.DataCentre, "cause", errorText(err))
	}
	m.wake()
}

func memberOf(h message.Hello) message.Member {
	return message.Member{NodeID: h.NodeID, Role: h.Role, DataCentre: h.DataCentre, Region: h.Region, Address: h.Address,
		Incarnation: h.Incarnation}
}

// greet sends all that this node knows on a new link.
func (m *Mesh) greet(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	err := p.conn.Send(ctx, &message.Members{Members: m.memberList()})
	if err == nil && m.cfg.Self.Role == message.RoleEntry {
		err = p.conn.Send(ctx, m.wholeState(p.hello))
	}
	if err != nil {
		m.cfg.Log.V(1).Info("link failed before the first exchange", "peer", p.hello.NodeID, "cause", err.Error())
	}
}

// handle processes one message on the read goroutine of its link.
func (m *Mesh) handle(ctx context.Context, p *peer, msg message.Message) {
	switch msg := msg.(type) {
	case *message.Members:
		m.learn(msg.Members)
	case *message.FleetState:
		m.mergeState(p, msg)
	case *message.UpstreamLoads:
		m.relayLocally(p, passedOn(msg))
		m.cfg.Loads.Apply(msg.Loads)
	case *message.EntryWork:
		if m.cfg.PeerWork != nil {
			m.cfg.PeerWork.Apply(msg)
			m.relayLocally(p, msg)
		}
	case *message.WeightsRequest:
		if m.cfg.ServeWeights != nil {
			go m.answerWeights(ctx, p, msg)
		}
	case *message.WeightsReply:
		m.pending.deliver(msg)
	}
}

// learn merges members and passes on those that are new.
func (m *Mesh) learn(list []message.Member) {
	now := time.Now()
	fresh := false
	m.mu.Lock()
	for _, got := range list {
		if got.NodeID == m.cfg.Self.NodeID || got.Role != message.RoleEntry || got.Address == "" {
			continue
		}
		known := m.members[got.NodeID]
		if known == nil || known.Incarnation < got.Incarnation || known.Address != got.Address && known.Incarnation == got.Incarnation {
			m.members[got.NodeID] = &member{Member: got, seen: now}
			fresh = true
		}
	}
	m.mu.Unlock()
	if fresh {
		m.wake()
		if m.cfg.Self.Role == message.RoleEntry {
			m.broadcast(&message.Members{Members: m.memberList()}, func(*peer) bool { return true })
		}
	}
}

// AddMembers merges entries that are found elsewhere, such as in the store.
func (m *Mesh) AddMembers(list []message.Member) { m.learn(list) }

func (m *Mesh) memberList() []message.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []message.Member
	if m.cfg.Self.Role == message.RoleEntry {
		out = append(out, memberOf(m.cfg.Self))
	}
	for _, known := range m.members {
		out = append(out, known.Member)
	}
	return out
}

func (m *Mesh) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// peers returns the linked nodes that fit, ordered by ID.
func (m *Mesh) peers(fits func(*peer) bool) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peer
	for _, p := range m.links {
		if fits(p) {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].hello.NodeID < out[j].hello.NodeID })
	return out
}

// broadcast queues a message on all links that fit. A link whose ring stays full is closed: it gets everything when it is back.
func (m *Mesh) broadcast(msg message.Message, fits func(*peer) bool) {
	for _, p := range m.peers(fits) {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		if err := p.conn.Send(ctx, msg); err != nil {
			p.conn.Close()
		}
		cancel()
	}
}

// sendTimeout is how long a full ring of a link may hold up the others.
const sendTimeout = 20 * time.Millisecond

func isEntry(p *peer) bool { return p.hello.Role == message.RoleEntry }

// EntryCount returns the number of entries in the fleet that are known to this node, itself included.
func (m *Mesh) EntryCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members) + 1
}

// LinkedEntryCount returns the number of linked entries.
func (m *Mesh) LinkedEntryCount() int { return len(m.peers(isEntry)) }

// ShouldWatchStore tells whether this node is the one of its data centre that watches the store, or has to as nobody else does.
func (m *Mesh) ShouldWatchStore() bool {
	best := rank("watch", m.cfg.Self.NodeID)
	for _, p := range m.peers(isEntry) {
		if p.hello.DataCentre == m.cfg.Self.DataCentre && rank("watch", p.hello.NodeID) > best {
			best = 0
			break
		}
	}
	if best != 0 {
		return true
	}
	age, known := m.cfg.State.Staleness()
	return !known || age > staleAfter+jitterOf(m.cfg.Self.NodeID)
}

// staleAfter is the age of the view after which a node that leaves watching to others starts to watch itself.
const staleAfter = 800 * time.Millisecond

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
