package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["drain"] = scenario{
		description: "planned stops of agents, entries and all in turn, and leaving upstreams, under load", run: runDrain,
	}
}

const (
	drainCallers = 32
	drainPause   = 5 * time.Millisecond
	// drainLongTokens make streams of about 2 s.
	drainLongTokens = 500
	drainTokenTime  = 4 * time.Millisecond
	drainTimeout    = 20 * time.Second
	drainWatch      = 4 * time.Second
	// maxNewWorkSeconds is the bound for the last new work on a leaving upstream.
	maxNewWorkSeconds = 2
)

// drainBench is one run of the scenario.
type drainBench struct {
	bed    *testbed.Bed
	report *report
	// lastWork is the longest time in seconds from the start of a leave to the last new work.
	lastWork float64
}

func runDrain(ctx context.Context, opts options, r *report) error {
	bed, err := testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{
			{Name: "saskatoon", Region: "west", Entries: 2, Models: 2, Services: 2},
			{Name: "regina", Region: "west", Entries: 1, Models: 1},
		},
		Engine: testbed.Engine{TokenTime: drainTokenTime, MaxBatch: 32}, ShutdownTimeout: drainTimeout,
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	if opts.verbose {
		defer func() { _, _ = fmt.Fprintln(os.Stderr, bed.LogTails()) }()
	}
	load := bed.StartLoad(ctx, testbed.Workload{
		Callers: drainCallers, Pause: drainPause, ReadyEntriesOnly: true, Seed: opts.seed,
		RequestBuilders: []func(int) testbed.Request{
			testbed.Chat("short", 10, false), testbed.Chat("stream", 30, true), testbed.Chat("long", drainLongTokens, true),
			testbed.PlainOrder("plain"), testbed.KeyedOrder("keyed"), testbed.StockLookup("stock"),
		},
	})
	b := &drainBench{bed: bed, report: r}
	if err := b.leaves(ctx); err != nil {
		return err
	}
	if err := b.stops(ctx); err != nil {
		return err
	}
	r.atMost("last new work on a leaving upstream", b.lastWork, "s", maxNewWorkSeconds)
	return b.audit(load.Stop())
}

// leaves lets upstreams leave by configuration and by the instance list, and takes them back.
func (b *drainBench) leaves(ctx context.Context) error {
	base := testbed.DefaultConfig(b.bed.Version)
	begin := time.Now()
	drained := strings.Replace(base, "[[model]]", "[[drain]]\nagent = \"agent-1\"\n[[model]]", 1)
	if _, err := b.bed.SubmitConfig(ctx, "entry-1", drained); err != nil {
		return err
	}
	if err := b.bed.SetInstances(ctx, map[string]bool{"orders-1": true}); err != nil {
		return err
	}
	if err := hold(ctx, drainWatch); err != nil {
		return err
	}
	for _, id := range []string{"agent-1", "orders-1"} {
		if err := b.measure(b.bed.Node(id).Upstream, begin); err != nil {
			return err
		}
	}
	if err := b.bed.SetInstances(ctx, nil); err != nil {
		return err
	}
	_, err := b.bed.SubmitConfig(ctx, "entry-1", base)
	return err
}

// measure notes when the last work on an upstream began.
func (b *drainBench) measure(upstream string, begin time.Time) error {
	journal, err := b.bed.Journal(upstream)
	for _, e := range journal {
		b.lastWork = max(b.lastWork, e.Started.Sub(begin).Seconds())
	}
	return err
}

// stops stops and starts all agents and entries in turn.
func (b *drainBench) stops(ctx context.Context) error {
	for _, role := range []message.Role{message.RoleAgent, message.RoleEntry} {
		for _, n := range b.bed.Nodes(role) {
			begin := time.Now()
			if err := b.bed.Process(n.ID).Stop(drainTimeout); err != nil {
				return errors.Wrapf(err, "stop %s", n.ID)
			}
			if n.Upstream != "" {
				if err := b.measure(n.Upstream, begin); err != nil {
					return err
				}
			}
			if err := b.bed.Process(n.ID).Start(); err != nil {
				return err
			}
			if err := b.bed.AwaitReady(ctx, n.ID); err != nil {
				return err
			}
			if err := b.awaitServing(ctx, n.DataCentre); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitServing waits until the entries of a data centre know all of its agents as serving.
func (b *drainBench) awaitServing(ctx context.Context, dataCentre string) error {
	for _, e := range b.bed.Nodes(message.RoleEntry) {
		for e.DataCentre == dataCentre && !b.knowsAll(ctx, e) {
			if err := hold(ctx, watchInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *drainBench) knowsAll(ctx context.Context, entry *testbed.Node) bool {
	status, err := b.bed.Status(ctx, entry.ID)
	if err != nil {
		return false
	}
	serving := make(map[string]bool)
	for _, n := range status.Nodes {
		serving[n.ID] = n.State == message.StateServing
	}
	for _, n := range b.bed.Nodes(message.RoleAgent) {
		if n.DataCentre == entry.DataCentre && !serving[n.ID] {
			return false
		}
	}
	return true
}

func (b *drainBench) audit(told *testbed.Results) error {
	audit, err := b.bed.Audit(told)
	if err != nil {
		return err
	}
	cut := 0
	for outcome, n := range audit.Outcomes {
		b.report.info("outcome "+outcome, float64(n), "requests")
		if outcome != testbed.OutcomeOK {
			cut += n
		}
	}
	b.report.atMost("requests cut or refused", float64(cut), "requests", 0)
	b.report.atMost("violations of other promises", float64(len(audit.Violations())), "requests", 0)
	for _, t := range told.All() {
		if t.Outcome != testbed.OutcomeOK {
			_, _ = fmt.Fprintf(os.Stderr, "%s %s through %s: %s %s %v\n", t.Request.Method, t.Request.Path, t.Request.Entry, t.Outcome, t.Reply.Body, t.Err)
		}
	}
	return nil
}
