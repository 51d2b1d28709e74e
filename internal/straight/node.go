// Package straight composes the processes that send requests straight to upstreams: entries, which serve callers, and agents,
// which load weights into the model server beside them. On this path no request passes through an agent.
package straight

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/controller/catalogsync"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/pieces"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// Store is what a node needs of the key-value service.
type Store interface {
	store.Store
	store.Lister
	Calls() uint64
}

// Node holds what entries and agents have in common.
type Node struct {
	ID, DataCentre, Region string
	// LinkAddress accepts links; SeedAddress does too and is empty on nodes that are no seeds.
	LinkAddress, SeedAddress string
	MetricsAddress           string
	// Secret authenticates nodes to each other.
	Secret []byte
	Seeds  []string
	Store  Store
	Log    logr.Logger
	// VersionApply is the time after which no request may begin on older weights.
	VersionApply time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
}

// weightsServer answers a request for weights.
type weightsServer = func(context.Context, *message.WeightsRequest) *message.WeightsReply

// parts are the running parts of a node.
type parts struct {
	Node
	self    message.Hello
	state   *fleet.State
	loads   *loadview.Table
	others  *loadview.WorkTable
	tracker *placement.Tracker
	mesh    *mesh.Mesh
	cache   *pieces.Cache
	metrics *telemetry.Metrics
}

// build composes the parts of a node. address is where others reach it: its links for an entry, its upstream for an agent.
// serve answers requests for weights; nil serves what the cache holds.
func (n Node) build(role message.Role, address string, origin pieces.Origin, leaving func() bool, serve weightsServer) (*parts, error) {
	metrics, err := telemetry.NewMetrics("pimentohead")
	if err != nil {
		return nil, err
	}
	p := &parts{Node: n, state: fleet.NewState(nil), loads: loadview.NewTable(nil), others: loadview.NewWorkTable(nil),
		tracker: placement.NewTracker(nil), metrics: metrics}
	p.self = message.Hello{NodeID: n.ID, Role: role, DataCentre: n.DataCentre, Region: n.Region,
		Incarnation: uint64(time.Now().UnixNano())}
	p.self.Address = address
	cfg := mesh.Config{Self: p.self, Secret: n.Secret, Seeds: n.Seeds, State: p.state, Loads: p.loads, Log: n.Log, Leaving: leaving}
	if role == message.RoleEntry {
		cfg.Others, cfg.Work = p.others, p.tracker.Export
	}
	cfg.ServeWeights = serve
	if serve == nil {
		cfg.ServeWeights = func(ctx context.Context, q *message.WeightsRequest) *message.WeightsReply {
			return p.cache.Serve(ctx, q)
		}
	}
	p.mesh = mesh.New(cfg)
	p.cache = pieces.NewCache(p.origin, origin, p.mesh, n.Log)
	return p, nil
}

// origin returns the origin of weights in force, or nil.
func (p *parts) origin() *catalog.Origin {
	index := p.state.Snapshot().Index
	if index == nil {
		return nil
	}
	return index.Config.WeightsOrigin()
}

// listen opens a TCP listener and tries for a short time while the address is still in use by the previous process.
func listen(ctx context.Context, address string) (net.Listener, error) {
	const attempts, interval = 20, 100 * time.Millisecond
	var lc net.ListenConfig
	var last error
	for range attempts {
		l, err := lc.Listen(ctx, "tcp", address)
		if err == nil {
			return l, nil
		}
		last = err
		pause.For(ctx, interval)
	}
	return nil, errors.Wrapf(last, "straight: listen on %s", address)
}

// serveMetrics serves the metrics page until ctx ends. A node without it still works.
func (p *parts) serveMetrics(ctx context.Context) {
	l, err := listen(ctx, p.MetricsAddress)
	if err != nil {
		p.Log.Error(err, "metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", p.metrics.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		p.Log.Error(err, "metrics are not served")
	}
}

// unknownVersionAge is the assumed part of VersionApply that has passed when a node finds a version that was named before.
const unknownVersionAge = 0.5

func (p *parts) syncer(documents catalogsync.Documents) *catalogsync.Syncer {
	age := time.Duration(float64(p.VersionApply) * unknownVersionAge)
	return catalogsync.New(p.Store, documents, p.state, p.Log, p.mesh.Watches, age)
}
