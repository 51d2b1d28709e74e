// Package directpath assembles the two processes of the direct request path, on which entries send requests directly to upstreams.
// Entries serve callers; agents load weights into the model server beside them. No request passes through an agent.
package directpath

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/controller/checkpoint"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
	"github.com/pimentohead/pimentohead/internal/refusal"
	"github.com/pimentohead/pimentohead/internal/stall"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Store is the part of the key-value store that a node uses.
type Store interface {
	store.Store
	store.Lister
	// Calls returns the number of calls that were sent to the store.
	Calls() uint64
	// Era returns the highest era that the store has stated, see store.Cursor.
	Era() int64
}

// Node holds the settings that entries and agents share.
type Node struct {
	ID, DataCentre, Region string
	// DataCentres are the names of all data centres, for log lines about others; optional.
	DataCentres []string
	// LinkAddress is the address on which an entry accepts links. SeedAddress is a second one, empty on entries that are not seeds.
	// Agents accept no links and use neither.
	LinkAddress, SeedAddress string
	// MetricsAddress is the TCP address on which /metrics is served.
	MetricsAddress string
	// Secret authenticates nodes to each other.
	Secret []byte
	// Seeds are the link addresses that are dialled while no link is open.
	Seeds []string
	Store Store
	Log   logr.Logger
	// VersionApply is the time after the naming of a version from which no request may begin on older weights.
	VersionApply time.Duration
	// RecoveryGrace is the time after its start in which a node need not keep VersionApply yet.
	RecoveryGrace time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL in which the process has to shut down.
	GracePeriod time.Duration
	// FirstStart is set if the whole system starts for the first time: no callers are waiting yet, and nodes first wait for links, so that
	// not all of them read the store.
	FirstStart bool
}

// checkpointsPrefix is the key prefix of the checkpoints of the operator's documents.
const checkpointsPrefix = rootPrefix + "checkpoint/"

// firstStartWait is the time in which the nodes of a system that starts for the first time wait for links. Links are up within a second.
const firstStartWait = 1500 * time.Millisecond

// startWait returns the time after the start in which a node waits for links before it reads the store.
func (n Node) startWait() time.Duration {
	if n.FirstStart {
		return firstStartWait
	}
	return 0
}

// weightsServer answers a request for weights.
type weightsServer = func(context.Context, *message.WeightsRequest) *message.WeightsReply

// components are the parts that entries and agents have in common.
type components struct {
	Node
	self  message.Hello
	state *fleet.State
	loads *loadview.Table
	// peerWork holds what other entries have in progress at upstreams.
	peerWork *loadview.WorkTable
	tracker  *placement.Tracker
	// poison holds what entries know about requests that crash upstreams.
	poison *poison.Ledger
	// rateLimits holds the rate limits of upstreams and this entry's shares of them.
	rateLimits *ratelimit.Limiter
	// refusals holds the requests that entries of the data centre have refused.
	refusals *refusal.Table
	mesh     *mesh.Mesh
	cache    *chunkcache.Cache
	metrics  *telemetry.Metrics
	// stalls notices when an entry stood still. It does not run on agents.
	stalls *stall.Detector
	// explanations answers where requests would be sent; nil for an agent.
	explanations http.Handler
}

// newComponents creates the components of a node. address is the address that the node announces: its link address for an entry,
// the address of its upstream for an agent. origin is nil on nodes that never read the origin. leaving reports whether the node is
// shutting down; it may be nil. serve answers requests for weights; if it is nil, they are answered from the cache.
func (n Node) newComponents(role message.Role, address string, origin chunkcache.Origin, leaving func() bool,
	serve weightsServer) (*components, error) {
	metrics, err := telemetry.NewMetrics("pimentohead")
	if err != nil {
		return nil, err
	}
	c := &components{Node: n, state: fleet.NewState(nil), loads: loadview.NewTable(nil), peerWork: loadview.NewWorkTable(nil),
		tracker: placement.NewTracker(nil), poison: poison.New(nil), refusals: refusal.New(nil), metrics: metrics,
		stalls: stall.New(nil)}
	c.self = message.Hello{NodeID: n.ID, Role: role, DataCentre: n.DataCentre, Region: n.Region,
		Incarnation: uint64(time.Now().UnixNano())}
	c.self.Address = address
	traffic := &link.Traffic{}
	if err := observeTraffic(metrics.Meter, traffic); err != nil {
		return nil, err
	}
	if err := observeEvacuations(metrics.Meter, c.state); err != nil {
		return nil, err
	}
	cfg := mesh.Config{Self: c.self, Secret: n.Secret, Seeds: n.Seeds, State: c.state, Loads: c.loads, Log: n.Log, Leaving: leaving,
		Traffic: traffic, StartWait: n.startWait(), ReadDelay: c.stalls.ReadDelay}
	c.rateLimits = ratelimit.New(ratelimit.Config{Self: n.ID, Members: func() []string { return c.mesh.EntryIDs() }})
	if role == message.RoleEntry {
		cfg.RateLimits, cfg.Refusals = c.rateLimits, c.refusals
		cfg.PeerWork, cfg.OwnWork, cfg.Poison = c.peerWork, c.tracker.Export, c.poison
	}
	cfg.ServeWeights = serve
	if serve == nil {
		cfg.ServeWeights = func(ctx context.Context, request *message.WeightsRequest) *message.WeightsReply {
			return c.cache.Serve(ctx, request)
		}
	}
	c.mesh = mesh.New(cfg)
	c.cache = chunkcache.New(c.origin, origin, c.mesh, n.Log).WithChunkCount(c.chunkCount)
	return c, nil
}

// origin returns the origin for weights of the configuration in force, or nil if there is none.
func (c *components) origin() *catalog.Origin {
	index := c.state.Snapshot().Index
	if index == nil {
		return nil
	}
	return index.Config.WeightsOrigin()
}

// chunkCount returns the number of chunks in the weights of each version of a model, 0 if the configuration does not have the model.
func (c *components) chunkCount(model string) int {
	index := c.state.Snapshot().Index
	if index == nil {
		return 0
	}
	for _, service := range index.Config.Services {
		if service.Engine != nil && slices.Contains(service.Engine.Models, model) {
			return service.Engine.Chunks
		}
	}
	return 0
}

// listen opens a TCP listener. It retries for 2 s, as the previous process may still use the address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	const attempts, interval = 20, 100 * time.Millisecond
	var lc net.ListenConfig
	var lastErr error
	for range attempts {
		l, err := lc.Listen(ctx, "tcp", address)
		if err == nil {
			return l, nil
		}
		lastErr = err
		pause.For(ctx, interval)
	}
	return nil, errors.Wrapf(lastErr, "directpath: listen on %s", address)
}

// serveMetrics serves /metrics, and the explanations of an entry, until ctx ends. A failure is only logged, as the node works without metrics.
func (c *components) serveMetrics(ctx context.Context) {
	l, err := listen(ctx, c.MetricsAddress)
	if err != nil {
		c.Log.Error(err, "metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", c.metrics.Handler())
	if c.explanations != nil {
		mux.Handle("GET "+placement.ExplanationPath, c.explanations)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		c.Log.Error(err, "metrics are not served")
	}
}

// assumedVersionAge returns the assumed age of a version that the node finds in the store after its start: the store does not say when the version
// was named. With this age, requests begin on no older version from RecoveryGrace after the start.
func (n Node) assumedVersionAge() time.Duration { return max(n.VersionApply-n.RecoveryGrace, 0) }

// syncer returns the syncer that copies the configuration and the named versions from the store into the state of the node.
func (c *components) syncer(decoder catalogsync.Decoder) *catalogsync.Syncer {
	return catalogsync.New(c.Store, decoder, c.state, c.Log, c.mesh.ShouldWatchStore, c.assumedVersionAge()).WaitForPeers(c.startWait()).
		WithDataCentres(c.DataCentres).WithReadDelay(c.stalls.ReadDelay).
		WithCheckpoints(checkpoint.NewReader(c.Store, checkpointsPrefix, c.state, c.Log).Read)
}
