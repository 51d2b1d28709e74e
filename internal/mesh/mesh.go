// Package mesh keeps links to other nodes and distributes state over them: members, records of the catalog and upstream loads.
//
// Package overlay decides which nodes are linked. In a small data centre all entries are linked to each other. In a larger one, each entry
// sends what the others have to know to two relays, which pass it on in batches. Records of the catalog are forwarded by each
// entry to which they are new, so that they reach all nodes over any path.
package mesh

import (
	"context"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/refusal"
)

const (
	// heartbeatInterval and silenceTimeout bound the time to detect a cut or silent link. The latency of links is at most a few
	// ms. handshakeTimeout bounds the handshake on a new link.
	heartbeatInterval = 300 * time.Millisecond
	silenceTimeout    = 1200 * time.Millisecond
	handshakeTimeout  = 800 * time.Millisecond
	// dialInterval is the time between checks for missing links, and the shortest backoff.
	dialInterval = 200 * time.Millisecond
	// maxDialBackoff bounds the backoff between attempts to dial one node.
	maxDialBackoff = 2 * time.Second
	// stalenessInterval is the time between messages with the staleness of this node's state: the time since it was last up to
	// date.
	stalenessInterval = 300 * time.Millisecond
	// remoteStalenessRounds is the number of stalenessIntervals between these messages to other data centres.
	remoteStalenessRounds = 3
	// loadInterval is the time between load messages to other data centres. The links to them have little bandwidth.
	loadInterval = 400 * time.Millisecond
	// changeQueueSize bounds the queue of changes to send. When the queue overflows, the full state is sent on all links
	// instead.
	changeQueueSize = 1024
)

// Config holds the dependencies and settings of a Mesh.
type Config struct {
	// Self identifies this node. Its address is the link address of an entry, and the address of the upstream of an agent.
	Self message.Hello
	// Secret authenticates nodes to each other.
	Secret []byte
	// Seeds are the link addresses to dial while no link is open.
	Seeds []string
	// State holds the records of the catalog, Loads the load reports of upstreams. Messages are merged into both.
	State *fleet.State
	Loads *loadview.Table
	// PeerWork records the requests in progress at other entries. OwnWork returns those of this entry, by upstream. Both are
	// nil on agents.
	PeerWork *loadview.WorkTable
	OwnWork  func() []message.UpstreamWork
	// Poison holds the evidence on requests that crash upstreams. It is nil on agents.
	Poison *poison.Ledger
	// RateLimits holds the rate limits of upstreams and this entry's shares of them. It is nil on agents.
	RateLimits *ratelimit.Limiter
	// Refusals holds the requests that entries of the data centre have refused. It is nil on agents.
	Refusals *refusal.Table
	Log      logr.Logger
	// ServeWeights answers requests of other nodes for weights. It is nil on nodes that serve none.
	ServeWeights func(ctx context.Context, req *message.WeightsRequest) *message.WeightsReply
	// Leaving reports whether the node is shutting down. It is nil on nodes that never report it.
	Leaving func() bool
	// Traffic counts the bytes of all links. Optional.
	Traffic *link.Traffic
	// DialContext opens connections. Default net.Dialer.DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// StartWait is the time after the start in which the node waits for links before it reads the store. Default 0.
	StartWait time.Duration
}

// Mesh maintains the links of one node and exchanges state over them. It is safe for concurrent use.
type Mesh struct {
	cfg       Config
	linkCfg   link.Config
	startedAt time.Time
	// changes queues changes of the state to be sent to other nodes. Only entries send them.
	changes chan fleet.Change
	// resyncNeeded is set when changes were dropped because the queue was full.
	resyncNeeded atomic.Bool
	// evidence queues evidence to be sent to other entries. evidenceDropped is set when the queue was full.
	evidence        chan *message.CrashEvidence
	evidenceDropped atomic.Bool
	// configRequestPending is set while a request for the configuration is scheduled.
	configRequestPending atomic.Bool
	// pending matches weights replies with their requests.
	pending pendingReplies
	// encoder caches the encoded configuration.
	encoder configEncoder
	// versionFromLocalEntry is the version of the last configuration that arrived from an entry of the own data centre.
	versionFromLocalEntry atomic.Int64

	// relayed collects what this entry passes on to the others of its data centre, see relayMessages.
	relayed relayQueue
	// sentWork holds the work that this entry has sent to the relays, see ownWorkAt.
	sentWork workHistory
	// seenRefusals holds the messages with refusals that have been merged.
	seenRefusals *lru.Cache[refusalMessage, struct{}]

	// mu guards the fields below.
	mu sync.Mutex
	// members and links are keyed by node ID, dials by link address.
	members map[string]*memberState
	// replacedLinks holds the open links that a later one to the same node has replaced, by node ID, oldest first.
	replacedLinks map[string][]*peer
	// ranking caches localRanking; nil after members or links have changed.
	ranking *ranking
	// memberNews holds the members that have not been sent on yet.
	memberNews []message.Member
	links      map[string]*peer
	dials      map[string]*dialState
	// dialNow wakes dialLoop before its next tick.
	dialNow chan struct{}
}

// peer is a node with an open link.
type peer struct {
	conn  *link.Conn
	hello message.Hello
	// dialled is set if this node opened the link.
	dialled bool
}

// dialState holds the progress and the backoff of the attempts to dial one address.
type dialState struct {
	dialling    bool
	nextAttempt time.Time
	backoff     time.Duration
}

// New returns a Mesh. Run starts it.
func New(cfg Config) *Mesh {
	m := &Mesh{
		cfg: cfg, startedAt: time.Now(),
		linkCfg: link.Config{Secret: cfg.Secret, HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout,
			HandshakeTimeout: handshakeTimeout, Traffic: cfg.Traffic, DialContext: cfg.DialContext},
		changes: make(chan fleet.Change, changeQueueSize),
		members: map[string]*memberState{}, links: map[string]*peer{}, replacedLinks: map[string][]*peer{}, dials: map[string]*dialState{},
		dialNow: make(chan struct{}, 1), seenRefusals: newSeenRefusals(),
	}
	m.encoder.log = cfg.Log
	m.observeEvidence()
	m.pending.waiting = map[uint64]chan *message.WeightsReply{}
	if cfg.Self.Role == message.RoleEntry {
		cfg.State.Observe(func(c fleet.Change) {
			select {
			case m.changes <- c:
			default:
				m.resyncNeeded.Store(true)
			}
		})
	}
	return m
}

// Run keeps the links and, on an entry, distributes state until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	loops := []func(context.Context){m.dialLoop, m.closeSurplusLinks}
	if m.cfg.Self.Role == message.RoleEntry {
		loops = append(loops, m.shareChanges, m.shareStaleness, m.shareLoads, m.shareWork, m.shareRemoteWork, m.shareEvidence,
			m.shareRateLimits, m.shareRefusals, m.relayMessages, m.repairMembers)
	}
	for _, loop := range loops {
		wg.Add(1)
		go func() { defer wg.Done(); loop(ctx) }()
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
			m.cfg.Log.Error(err, "cannot accept link", "address", listener.Addr().String())
			pause.For(ctx, dialInterval)
			continue
		}
		go func() {
			conn, err := link.Accept(nc, m.cfg.Self, m.linkCfg, m.status)
			if err != nil {
				m.cfg.Log.V(1).Info("link refused", "cause", err.Error())
				return
			}
			m.serveLink(ctx, conn, false)
		}()
	}
}

// status returns the content of this node's heartbeats.
func (m *Mesh) status() message.Heartbeat {
	return message.Heartbeat{Leaving: m.cfg.Leaving != nil && m.cfg.Leaving()}
}

// serveLink registers a link, sends the initial state, and handles messages until the link fails. It closes the link if a newer
// incarnation of the node is linked already. dialled is set if this node opened it.
func (m *Mesh) serveLink(ctx context.Context, conn *link.Conn, dialled bool) {
	hello := conn.Peer()
	p := &peer{conn: conn, hello: hello, dialled: dialled}
	if !m.register(p) {
		conn.Close()
		return
	}
	m.mergeMembers([]message.Member{memberOf(hello)})
	m.cfg.Log.Info("link up", "peer", hello.NodeID, "data_centre", hello.DataCentre, "address", hello.Address)
	go m.sendInitialState(ctx, p)
	err := conn.Serve(ctx, func(_ *link.Conn, msg message.Message) { m.handle(ctx, p, msg) })
	m.unregister(p)
	m.pending.failAll(p)
	if ctx.Err() == nil {
		m.cfg.Log.Info("link lost", "peer", hello.NodeID, "data_centre", hello.DataCentre, "cause", errorText(err))
	}
	m.triggerDial()
}

// register makes a link the one over which messages to its node are sent, and returns false if a newer incarnation of the node is
// linked.
func (m *Mesh) register(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranking = nil
	id := p.hello.NodeID
	if old := m.links[id]; old != nil {
		if old.hello.Incarnation > p.hello.Incarnation {
			return false
		}
		m.replacedLinks[id] = append(m.replacedLinks[id], old)
	}
	m.links[id] = p
	return true
}

// unregister removes a closed link. If it had replaced another one that is still open, as when two nodes dial each other at the same
// time, messages go over that one again.
func (m *Mesh) unregister(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranking = nil
	id := p.hello.NodeID
	replaced := slices.DeleteFunc(m.replacedLinks[id], func(other *peer) bool { return other == p })
	if m.links[id] == p {
		delete(m.links, id)
		if last := len(replaced) - 1; last >= 0 {
			m.links[id] = replaced[last]
			replaced = replaced[:last]
		}
	}
	if len(replaced) == 0 {
		delete(m.replacedLinks, id)
	} else {
		m.replacedLinks[id] = replaced
	}
}

// sendInitialState sends the members on a new link and, from an entry, the full state. An agent sends its records of versions.
func (m *Mesh) sendInitialState(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	err := p.conn.Send(ctx, &message.Members{Members: m.memberList()})
	if err == nil {
		err = p.conn.Send(ctx, m.initialState(p.hello))
	}
	if err == nil && isEntry(p) && m.cfg.Poison != nil {
		if evidence := m.cfg.Poison.Export(); evidence != nil {
			err = p.conn.Send(ctx, evidence)
		}
	}
	if err != nil {
		m.cfg.Log.V(1).Info("initial state was not sent", "peer", p.hello.NodeID, "cause", err.Error())
	}
}

// initialState returns the records to send on a new link.
func (m *Mesh) initialState(to message.Hello) *message.FleetState {
	if m.cfg.Self.Role == message.RoleEntry {
		return m.fullState(to)
	}
	_, _, _, versions := m.cfg.State.Records()
	return &message.FleetState{Versions: versionMessages(versions)}
}

// handle processes one message on the read goroutine of its link.
func (m *Mesh) handle(ctx context.Context, p *peer, msg message.Message) {
	switch msg := msg.(type) {
	case *message.Members:
		m.mergeMembers(msg.Members)
	case *message.FleetState:
		m.mergeState(p, msg)
	case *message.UpstreamLoads:
		m.handleLoads(p, msg)
	case *message.EntryWork:
		if m.cfg.PeerWork != nil {
			m.cfg.PeerWork.Apply(msg)
			m.forwardLocally(p, msg)
		}
	case *message.CrashEvidence:
		if m.cfg.Poison != nil {
			m.cfg.Poison.Merge(msg)
		}
	case *message.RateShares:
		m.handleRateShares(p, msg)
	case *message.Refusals:
		m.handleRefusals(msg)
	case *message.Relayed:
		m.handleRelayed(p, msg)
	case *message.WeightsRequest:
		if m.cfg.ServeWeights != nil {
			go m.handleWeightsRequest(ctx, p, msg)
		}
	case *message.WeightsReply:
		m.pending.deliver(msg)
	}
}

// triggerDial makes dialLoop check for missing links at once.
func (m *Mesh) triggerDial() {
	select {
	case m.dialNow <- struct{}{}:
	default:
	}
}

// peers returns the linked nodes for which match returns true, ordered by node ID.
func (m *Mesh) peers(match func(*peer) bool) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peer
	for _, p := range m.links {
		if match(p) {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].hello.NodeID < out[j].hello.NodeID })
	return out
}

// broadcast queues a message on all links for which match returns true. A link whose send queue stays full for sendTimeout is
// closed: it gets the full state when it is re-established.
func (m *Mesh) broadcast(msg message.Message, match func(*peer) bool) {
	for _, p := range m.peers(match) {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		if err := p.conn.Send(ctx, msg); err != nil {
			p.conn.Close()
		}
		cancel()
	}
}

// sendTimeout bounds the wait for the full send queue of one link, which delays the other links.
const sendTimeout = 20 * time.Millisecond

func isEntry(p *peer) bool { return p.hello.Role == message.RoleEntry }

// LinkedEntryCount returns the number of entries with an open link.
func (m *Mesh) LinkedEntryCount() int { return len(m.peers(isEntry)) }

// errorText returns the text of an error, or an empty text for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
