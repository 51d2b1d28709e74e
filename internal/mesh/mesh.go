// Package mesh keeps links to other nodes and distributes state over them: members, records of the catalog and upstream loads.
//
// Package overlay decides which nodes are linked. In a small data centre all entries are linked to each other. In a larger one, each entry
// sends what the others have to know to two relays, which pass it on in batches. Records of the catalog are forwarded by each
// entry to which they are new, so that they reach all nodes over any path.
package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/refusal"
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
	// ReadDelay returns how long a message that is read now may have lain unread, see package stall. Default: 0 at all times.
	ReadDelay func() time.Duration
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
	// loadSeq numbers the loads that an agent reports.
	loadSeq loadSequence
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
	// memberAddedAt is when the last member became known.
	memberAddedAt time.Time
	// replacedLinks holds the open links that a later one to the same node has replaced, by node ID, oldest first.
	replacedLinks map[string][]*peer
	// ranking caches localRanking; nil after members or links have changed.
	ranking *ranking
	// unsentMembers holds the members that have not been sent on yet.
	unsentMembers []message.Member
	links         map[string]*peer
	dials         map[string]*dialState
	// dialNow wakes dialLoop before its next tick.
	dialNow chan struct{}
}

// New returns a Mesh. Run starts it.
func New(cfg Config) *Mesh {
	if cfg.ReadDelay == nil {
		cfg.ReadDelay = func() time.Duration { return 0 }
	}
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
