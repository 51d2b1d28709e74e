package straight

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/loader"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/pieces"
	"github.com/pimentohead/pimentohead/internal/relay"
)

// AgentConfig describes an agent.
type AgentConfig struct {
	Node
	// UpstreamAddress is the model server beside the agent, Service the name of its service.
	UpstreamAddress, Service string
	Engine                   loader.Engine
}

const (
	// firstVersion is loaded into empty servers while the operator has named none.
	firstVersion = 1
	// stagingTime is how long a version takes to be staged everywhere. Turns are counted from then on.
	stagingTime = 2500 * time.Millisecond
	// maxTurnInterval is the longest time between the turns of two servers of one data centre.
	maxTurnInterval = 650 * time.Millisecond
	// turnMargin is kept free at the end of the time for a rollout: entries stop using older versions that much earlier.
	turnMargin = relay.VersionMargin + 600*time.Millisecond
	// drainLead is how long before its turn a server gets no new requests, so that fewer streams are cut.
	drainLead = 400 * time.Millisecond
	// agentStop bounds the shutdown of an agent.
	agentStop = time.Second
)

// Agent is an agent process.
type Agent struct {
	cfg AgentConfig
	*parts
	loader *loader.Loader
	lastMu sync.Mutex
	last   message.UpstreamLoad
	sentAt time.Time
}

// NewAgent returns an agent. Run starts it.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg}
	p, err := cfg.build(message.RoleAgent, cfg.UpstreamAddress, nil, nil, a.serveStaged)
	if err != nil {
		return nil, err
	}
	a.parts = p
	a.loader = loader.New(cfg.Engine, p.cache, cfg.Log, a.target, a.publish)
	return a, nil
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	registry := &registry{store: a.Store, list: a.Store, mesh: a.mesh, self: a.self, log: a.Log}
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){a.mesh.Run, a.discover(registry), a.loader.Run, a.serveMetrics} {
		wg.Add(1)
		go func() { defer wg.Done(); duty(ctx) }()
	}
	a.Log.Info("agent started", "node", a.ID, "upstream", a.cfg.UpstreamAddress)
	<-ctx.Done()
	stopped := make(chan struct{})
	go func() { wg.Wait(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(agentStop):
	}
	a.Log.Info("agent stopped", "node", a.ID)
	return nil
}

// discover looks in the store only after the seeds had time to answer.
func (a *Agent) discover(r *registry) func(context.Context) {
	return func(ctx context.Context) {
		pause.For(ctx, isolationCheck)
		r.discover(ctx)
	}
}

// target returns the version that the upstream should hold.
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
	v, ok := snap.Newest(t.Model)
	if !ok {
		return t, true
	}
	if previous, ok := snap.Previous(t.Model); ok && a.fallsBack(t.Model, v, previous) {
		t.NextVersion = v.Version
		v = previous
	}
	t.Version, t.NamedAt = v.Version, v.Since
	t.TurnDelay, t.DrainLead = a.turn(v.Version), drainLead
	return t, true
}

const (
	// stalledAfter is the time without a new chunk after which a version counts as not to be had for now.
	stalledAfter = 800 * time.Millisecond
	// fallbackShare is the share of the previous version's chunks that makes it worth loading instead.
	fallbackShare = 0.5
)

// fallsBack tells whether the previous version is to be loaded first: the newest one cannot be had for now, such as while the
// origin is away, and the upstream would soon have no version that may still be used.
func (a *Agent) fallsBack(model string, newest, previous fleet.Version) bool {
	share, grown := a.cache.Progress(model, newest.Version)
	if share >= 1 || time.Since(newest.Since) < stalledAfter || time.Since(grown) < stalledAfter {
		return false
	}
	if a.loader.ServesVersion(model, previous.Version) || a.loader.ServesVersion(model, newest.Version) {
		return false
	}
	held, _ := a.cache.Progress(model, previous.Version)
	return held >= fallbackShare
}

// turn returns when this server may interrupt its work to load, counted from the naming of the version. The servers of a data
// centre take turns in an order that all agents compute alike.
func (a *Agent) turn(version int64) time.Duration {
	var local []string
	for _, u := range a.state.Snapshot().Upstreams(a.cfg.Service) {
		if u.DataCentre == a.DataCentre {
			local = append(local, u.Address)
		}
	}
	order := func(address string) uint64 { return xxhash.Sum64String(address + string(rune(version))) }
	sort.Slice(local, func(i, j int) bool { return order(local[i]) < order(local[j]) })
	interval := min(maxTurnInterval, (a.VersionApply-stagingTime-turnMargin)/time.Duration(max(len(local), 1)))
	for i, address := range local {
		if address == a.cfg.UpstreamAddress {
			return stagingTime + time.Duration(i)*interval
		}
	}
	return stagingTime
}

// idleReportInterval is the time between reports that say nothing new.
const idleReportInterval = 500 * time.Millisecond

// serveStaged hands out a chunk that lies staged beside the upstream, if it fits its digest.
func (a *Agent) serveStaged(ctx context.Context, q *message.WeightsRequest) *message.WeightsReply {
	if q.Chunk == message.WholeManifest {
		return a.cache.Serve(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, stagedPatience)
	defer cancel()
	digests, err := a.cache.Manifest(ctx, q.Model, q.Version)
	if err != nil {
		return &message.WeightsReply{Error: err.Error()}
	}
	if q.Chunk < 0 || q.Chunk >= len(digests) {
		return &message.WeightsReply{Error: "no such chunk"}
	}
	data, err := a.cfg.Engine.ReadStaged(ctx, q.Model, q.Chunk)
	if err != nil {
		return &message.WeightsReply{Error: err.Error()}
	}
	if !pieces.MatchesDigest(data, digests[q.Chunk]) {
		return &message.WeightsReply{Error: "what is staged is of another version or spoilt"}
	}
	return &message.WeightsReply{Data: data}
}

// stagedPatience bounds the time in which an agent hands out a staged chunk.
const stagedPatience = time.Second

// publish sends a report to the entries unless it says nothing new.
func (a *Agent) publish(r loader.Report, swapping, down bool) {
	l := message.UpstreamLoad{Address: a.cfg.UpstreamAddress, Born: r.StartedAtMillis, Down: down, Swapping: swapping, Active: r.Active,
		Queued: r.Queued, KVUsed: r.KVUsed, KVTotal: r.KVTotal, Pace: r.Slowdown, Models: r.Models}
	a.lastMu.Lock()
	same := l.Active == a.last.Active && l.Queued == a.last.Queued && l.Down == a.last.Down && l.Swapping == a.last.Swapping &&
		l.Born == a.last.Born && slices.Equal(l.Models, a.last.Models) && time.Since(a.sentAt) < idleReportInterval
	if !same {
		a.last, a.sentAt = l, time.Now()
	}
	a.lastMu.Unlock()
	if !same {
		a.mesh.ReportLoad(l)
	}
}
