package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["orders"] = scenario{
		description: "orders with repeated keys under kills, cuts, freezes, lost store answers and a store outage", run: runOrders,
	}
}

const (
	ordersCallers = 32
	ordersPause   = 10 * time.Millisecond
	// ordersRepeatOneIn is the share of requests that repeat an earlier key through another entry.
	ordersRepeatOneIn = 5
	ordersTimeout     = 3 * time.Second
	// faultTime is how long each fault lasts; settleTime passes after it.
	faultTime  = 1500 * time.Millisecond
	settleTime = 400 * time.Millisecond
	outageTime = 3 * time.Second
)

// ordersBench is one run of the scenario.
type ordersBench struct {
	bed    *testbed.Bed
	load   *testbed.Load
	random *rand.Rand
	report *report
}

func runOrders(ctx context.Context, opts options, r *report) error {
	bed, err := testbed.Launch(ctx, testbed.Fleet{
		DataCentres: []testbed.DataCentre{
			{Name: "saskatoon", Region: "west", Entries: 2, Services: 2},
			{Name: "regina", Region: "west", Entries: 1, Services: 2},
			{Name: "winnipeg", Region: "east", Entries: 1},
		},
		Proxies: true, DataCentreDelay: time.Millisecond, RegionDelay: 3 * time.Millisecond,
		Config: testbed.ConfigWithTimeout(ordersTimeout),
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	if opts.verbose {
		defer func() { _, _ = fmt.Fprintln(os.Stderr, bed.LogTails()) }()
	}
	random := rand.New(rand.NewPCG(uint64(opts.seed), 1))
	load := bed.StartLoad(ctx, testbed.Workload{
		Callers: ordersCallers, Pause: ordersPause, RepeatOneIn: ordersRepeatOneIn, Seed: opts.seed,
		RequestBuilders: []func(int) testbed.Request{testbed.KeyedOrder("bench"), testbed.PlainOrder("bench"), testbed.StockLookup("bench")},
	})
	b := &ordersBench{bed: bed, load: load, random: random, report: r}
	if err := b.faults(ctx); err != nil {
		return err
	}
	told := load.Stop()
	bed.RepeatOrders(ctx, told)
	return b.audit(told)
}

// faults makes one fault after the other, each on a part that the seed selects, and the store outage last.
func (b *ordersBench) faults(ctx context.Context) error {
	steps := []func(context.Context) error{b.kill, b.pause, b.cut, b.silence, b.loseStoreAnswers, b.kill, b.pause, b.isolate}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		if err := hold(ctx, settleTime); err != nil {
			return err
		}
	}
	return b.outage(ctx)
}

func hold(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "bench: no time left")
	}
}

// node selects a node of a role.
func (b *ordersBench) node(role message.Role) *testbed.Node {
	nodes := b.bed.Nodes(role)
	return nodes[b.random.IntN(len(nodes))]
}

// kill kills an agent, an entry and an upstream and starts them again.
func (b *ordersBench) kill(ctx context.Context) error {
	agent, entry := b.node(message.RoleAgent), b.node(message.RoleEntry)
	upstream := b.node(message.RoleAgent).Upstream
	for _, name := range []string{agent.ID, entry.ID, upstream} {
		b.bed.Process(name).Kill()
		if err := hold(ctx, faultTime/3); err != nil {
			return err
		}
		if err := b.bed.Process(name).Start(); err != nil {
			return err
		}
	}
	return nil
}

// pause freezes an agent for longer than its links live, so that it wakes with old submits in its sockets.
func (b *ordersBench) pause(ctx context.Context) error {
	process := b.bed.Process(b.node(message.RoleAgent).ID)
	process.Pause()
	defer process.Resume()
	return hold(ctx, 2*faultTime)
}

// cut breaks all links to an entry and refuses new ones for a while.
func (b *ordersBench) cut(ctx context.Context) error {
	proxy := b.bed.Proxy(testbed.LinkProxyName(b.node(message.RoleEntry).ID))
	proxy.Cut()
	if err := hold(ctx, faultTime); err != nil {
		return err
	}
	return proxy.Listen()
}

// silence makes the open links of an entry and the connections of an agent to its upstream silent; new ones work.
func (b *ordersBench) silence(ctx context.Context) error {
	agent := b.node(message.RoleAgent)
	b.bed.Proxy(testbed.LinkProxyName(b.node(message.RoleEntry).ID)).Silence(faultproxy.Any)
	b.bed.Proxy(testbed.ProxyName(agent.ID, agent.Upstream)).Silence(faultproxy.Any)
	return hold(ctx, faultTime)
}

func (b *ordersBench) loseStoreAnswers(ctx context.Context) error {
	if err := b.bed.SetFault(ctx, testbed.StoreName, fake.Fault{LoseAnswers: 30}); err != nil {
		return err
	}
	if err := hold(ctx, faultTime); err != nil {
		return err
	}
	return b.bed.SetFault(ctx, testbed.StoreName, fake.Fault{})
}

// isolate cuts a data centre off from the others and from the store.
func (b *ordersBench) isolate(ctx context.Context) error {
	b.bed.PartitionDataCentre("regina")
	defer b.bed.HealDataCentre("regina")
	return hold(ctx, 2*faultTime)
}

// outage takes the store down and reports what is served meanwhile.
func (b *ordersBench) outage(ctx context.Context) error {
	if err := b.bed.SetFault(ctx, testbed.StoreName, fake.Fault{Down: true}); err != nil {
		return err
	}
	begin := time.Now()
	if err := hold(ctx, outageTime); err != nil {
		return err
	}
	end := time.Now()
	if err := b.bed.SetFault(ctx, testbed.StoreName, fake.Fault{}); err != nil {
		return err
	}
	if err := hold(ctx, settleTime); err != nil {
		return err
	}
	for name, match := range map[string]func(testbed.Request) bool{
		"orders with a key":    func(r testbed.Request) bool { return r.OrderKey != "" },
		"orders without a key": func(r testbed.Request) bool { return r.OrderKey == "" && r.Path == testbed.OrderPath },
		"idempotent requests":  func(r testbed.Request) bool { return r.Path != testbed.OrderPath },
	} {
		sent, served := 0, 0
		for _, t := range b.load.All() {
			if match(t.Request) && t.Begin.After(begin) && t.Begin.Before(end) {
				sent++
				if t.Outcome == testbed.OutcomeOK {
					served++
				}
			}
		}
		b.report.info("store outage: "+name+" sent", float64(sent), "requests")
		b.report.info("store outage: "+name+" served", 100*float64(served)/float64(max(sent, 1)), "%")
	}
	return nil
}

func (b *ordersBench) audit(told *testbed.Results) error {
	audit, err := b.bed.Audit(told)
	if err != nil {
		return err
	}
	for outcome, n := range audit.Outcomes {
		b.report.info("outcome "+outcome, float64(n), "requests")
	}
	b.report.atMost("doubled orders", float64(len(audit.Duplicated)), "orders", 0)
	b.report.atMost("false not-run", float64(len(audit.FalseNotRun)), "requests", 0)
	b.report.atMost("wrong or incomplete answers", float64(len(audit.WrongAnswers)), "answers", 0)
	b.report.atMost("answers without a run", float64(len(audit.NotJournalled)), "answers", 0)
	for _, violation := range audit.Violations() {
		_, _ = fmt.Fprintln(os.Stderr, violation)
	}
	return nil
}
