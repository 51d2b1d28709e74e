package directpath

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/chunkcache"
	"github.com/pimentohead/pimentohead/internal/loader"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/internal/turns"
)

// AgentConfig holds the settings of an agent.
type AgentConfig struct {
	Node
	// UpstreamAddress is the address of the agent's upstream, the model server beside it. Service is the name of the service that the
	// upstream belongs to.
	UpstreamAddress, Service string
	Engine                   loader.Engine
}

const (
	// firstVersion is loaded into upstreams without weights until the operator names a version.
	firstVersion = 1
	// drainLead is how long before its turn an upstream stops receiving new requests, so that fewer streams are interrupted.
	drainLead = 400 * time.Millisecond
	// agentShutdownTimeout bounds the shutdown of an agent.
	agentShutdownTimeout = time.Second
)

// Agent is the process that loads weights into its upstream and reports the upstream's load to the entries.
type Agent struct {
	cfg AgentConfig
	*components
	loader *loader.Loader
	// lastLoadMu guards lastLoad, the load that was last sent, and lastSentAt.
	lastLoadMu sync.Mutex
	lastLoad   message.UpstreamLoad
	lastSentAt time.Time
}

// NewAgent returns an agent. Run starts it.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg}
	c, err := cfg.newComponents(message.RoleAgent, cfg.UpstreamAddress, nil, nil, a.serveStaged)
	if err != nil {
		return nil, err
	}
	a.components = c
	a.loader = loader.New(cfg.Engine, c.cache, cfg.Log, a.target, a.publish)
	return a, nil
}

// Run runs the agent until ctx ends. It always returns nil.
func (a *Agent) Run(ctx context.Context) error {
	registry := &registry{store: a.Store, lister: a.Store, state: a.state, mesh: a.mesh, self: a.self, ledger: a.poison, log: a.Log}
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){a.mesh.Run, a.discover(registry), a.loader.Run, a.serveMetrics} {
		wg.Add(1)
		go func() { defer wg.Done(); run(ctx) }()
	}
	a.Log.Info("agent started", "node", a.ID, "upstream", a.cfg.UpstreamAddress)
	<-ctx.Done()
	stopped := make(chan struct{})
	go func() { wg.Wait(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(agentShutdownTimeout):
	}
	a.Log.Info("agent stopped", "node", a.ID)
	return nil
}

// discover returns a function that looks for entries in the store, but only once the seeds have had isolationCheckInterval to
// answer.
func (a *Agent) discover(r *registry) func(context.Context) {
	return func(ctx context.Context) {
		pause.For(ctx, isolationCheckInterval)
		r.discover(ctx)
	}
}

// target returns the version that the upstream should load, and false if the configuration has no model for the upstream.
func (a *Agent) target() (loader.Target, bool) {
	snap := a.state.Snapshot()
	if snap.Index == nil {
		return loader.Target{}, false
	}
	service := snap.Index.Service(a.cfg.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return loader.Target{}, false
	}
	t := loader.Target{Model: service.Engine.Models[0], Version: firstVersion, Layers: service.Engine.Layers}
	v, ok := snap.NewestVersion(t.Model)
	if !ok {
		return t, true
	}
	if previous, ok := snap.PreviousVersion(t.Model); ok && a.rollout(t.Model, v, previous).shouldFallBack(time.Now()) {
		t.NextVersion, t.UsableUntil = v.Version, a.endOfUse(v)
		v = previous
	}
	t.Version, t.NamedAt = v.Version, v.NamedAt
	t.Turn, t.DrainLead = a.turn(v.Version), drainLead
	return t, true
}

// turn returns the turn of the upstream in the rollout of a version. All have to load before entries stop using older versions, which they
// do relay.VersionMargin before the end of VersionApply.
func (a *Agent) turn(version int64) turns.Turn {
	var local []string
	for _, u := range a.state.Snapshot().Upstreams(a.cfg.Service) {
		if u.DataCentre == a.DataCentre {
			local = append(local, u.Address)
		}
	}
	return turns.Of(local, a.cfg.UpstreamAddress, version, a.VersionApply-relay.VersionMargin)
}

// idleReportInterval is the time after which an unchanged load is sent again.
const idleReportInterval = 500 * time.Millisecond

// serveStaged answers a request for a chunk with the chunk staged beside the upstream, if that matches its digest. Requests for
// the manifest are answered from the cache.
func (a *Agent) serveStaged(ctx context.Context, request *message.WeightsRequest) *message.WeightsReply {
	if request.Chunk == message.WholeManifest {
		return a.cache.Serve(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, serveStagedTimeout)
	defer cancel()
	digests, err := a.cache.Manifest(ctx, request.Model, request.Version)
	if err != nil {
		return &message.WeightsReply{Error: err.Error()}
	}
	if request.Chunk < 0 || request.Chunk >= len(digests) {
		return &message.WeightsReply{Error: "no such chunk"}
	}
	data, err := a.cfg.Engine.ReadStaged(ctx, request.Model, request.Chunk)
	if err != nil {
		return &message.WeightsReply{Error: err.Error()}
	}
	if !chunkcache.MatchesDigest(data, digests[request.Chunk]) {
		return &message.WeightsReply{Error: "staged chunk is missing, corrupt or of another version"}
	}
	return &message.WeightsReply{Data: data, Digest: digests[request.Chunk]}
}

// serveStagedTimeout bounds the time in which an agent answers a request for a staged chunk.
const serveStagedTimeout = time.Second

// publish sends the load in a report to the entries if it has changed or idleReportInterval has passed. A load that differs only
// in the use of the KV cache or in the slowdown counts as unchanged.
func (a *Agent) publish(r loader.Report, swapping, down bool) {
	l := message.UpstreamLoad{Address: a.cfg.UpstreamAddress, StartedAtMillis: r.StartedAtMillis, Down: down, Swapping: swapping,
		Active: r.Active, Queued: r.Queued, KVUsed: r.KVUsed, KVTotal: r.KVTotal, Slowdown: r.Slowdown, Models: r.Models}
	if turn := a.loader.NextTurn(); !turn.IsZero() {
		l.TurnInMillis = max(time.Until(turn).Milliseconds(), 1)
	}
	a.lastLoadMu.Lock()
	unchanged := l.Active == a.lastLoad.Active && l.Queued == a.lastLoad.Queued && l.Down == a.lastLoad.Down &&
		l.Swapping == a.lastLoad.Swapping && (l.TurnInMillis > 0) == (a.lastLoad.TurnInMillis > 0) && l.StartedAtMillis == a.lastLoad.StartedAtMillis && slices.Equal(l.Models, a.lastLoad.Models) &&
		time.Since(a.lastSentAt) < idleReportInterval
	if !unchanged {
		a.lastLoad, a.lastSentAt = l, time.Now()
	}
	a.lastLoadMu.Unlock()
	if !unchanged {
		a.mesh.ReportLoad(l)
	}
}
