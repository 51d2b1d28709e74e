package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/telemetry"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["control"] = scenario{
		description: "configuration changes, cost of control per idle node, restarts while the store is down",
		run:         runControl,
	}
}

// Targets of the design page.
const (
	maxInForceSeconds      = 2.0
	maxIdleProcessorPct    = 1.5
	maxIdleMegabytes       = 256.0
	maxIdleBytesPerSecond  = 6000.0
	controlEntries         = 8
	defaultControlNodes    = 20
	controlCentres         = 3
	controlChanges         = 50
	changeInterval         = 250 * time.Millisecond
	idleSettle, idleWindow = 2 * time.Second, 6 * time.Second
	// restartedOneIn of all nodes are killed and started while the store is down.
	restartedOneIn = 4
	changeTimeout  = 10 * time.Second
	usageReaders   = 8
	watchInterval  = 50 * time.Millisecond
)

// control is one run of the scenario.
type control struct {
	bed    *testbed.Bed
	report *report
	random *rand.Rand
	// live are the nodes that are running.
	live []*testbed.Node
	// submitted holds the time of the submission by revision.
	submitted map[uint64]time.Time
	newest    uint64
}

func runControl(ctx context.Context, opts options, r *report) error {
	nodes := opts.nodes
	if nodes == 0 {
		nodes = defaultControlNodes
	}
	if nodes <= controlEntries {
		return errors.Newf("control: -n must be more than %d", controlEntries)
	}
	begin := time.Now()
	bed, err := testbed.Launch(ctx, controlFleet(nodes-controlEntries))
	if err != nil {
		return err
	}
	defer bed.Close()
	c := &control{
		bed: bed, report: r, random: rand.New(rand.NewPCG(uint64(opts.seed), 0)),
		live:      append(bed.Nodes(message.RoleEntry), bed.Nodes(message.RoleAgent)...),
		submitted: make(map[uint64]time.Time),
	}
	r.info("nodes", float64(nodes), "nodes")
	r.info("start", time.Since(begin).Seconds(), "s")
	for _, step := range []func(context.Context) error{c.changes, c.restarts, c.idle} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// controlFleet spreads the entries and agents of model pools over data centres in two regions.
func controlFleet(agents int) testbed.Fleet {
	fleet := testbed.Fleet{DataCentres: make([]testbed.DataCentre, controlCentres)}
	for i := range fleet.DataCentres {
		region := "east"
		if i == controlCentres-1 {
			region = "west"
		}
		fleet.DataCentres[i] = testbed.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), Region: region}
	}
	for i := range controlEntries {
		fleet.DataCentres[i%controlCentres].Entries++
	}
	for i := range agents {
		fleet.DataCentres[i%controlCentres].Models++
	}
	return fleet
}

// changes submits configurations through all entries in turn and reports when each is in force on all nodes.
func (c *control) changes(ctx context.Context) error {
	entries := c.bed.Nodes(message.RoleEntry)
	current, err := c.bed.Config(ctx, entries[0].ID)
	if err != nil {
		return err
	}
	c.newest = current.Revision
	// The views that the start causes are not part of the cost of a change.
	time.Sleep(idleSettle)
	before, err := c.sample(ctx)
	if err != nil {
		return err
	}
	for i := range controlChanges {
		text := testbed.DefaultConfig(c.bed.Version)
		text = strings.Replace(text, `"30s"`, fmt.Sprintf("%q", time.Duration(30000+i)*time.Millisecond), 1)
		begin := time.Now()
		accepted, err := c.bed.SubmitConfigOnBase(ctx, entries[i%len(entries)].ID, c.newest, text)
		if err != nil {
			return err
		}
		c.newest = accepted.Revision
		c.submitted[c.newest] = begin
		time.Sleep(changeInterval - min(changeInterval, time.Since(begin)))
	}
	if err := c.awaitNewest(ctx); err != nil {
		return err
	}
	c.reportInForce()
	// The last views that a change causes are sent within a second.
	time.Sleep(time.Second)
	after, err := c.sample(ctx)
	if err != nil {
		return err
	}
	for role, u := range c.meanUse(before, after) {
		seconds := after[0].at.Sub(before[0].at).Seconds()
		c.report.info(string(role)+" control per change", u.controlBytes*seconds/controlChanges, "B/change")
		c.report.info(string(role)+" processor during changes", u.processorSeconds*100, "% of a core")
	}
	return nil
}

// reportInForce reports the time from submission until a revision, or a later one, is in force on the last node.
func (c *control) reportInForce() {
	var seconds []float64
	for revision, begin := range c.submitted {
		last := begin
		for _, n := range c.live {
			for _, event := range c.bed.ConfigEvents(n.ID) {
				if event.Revision < revision {
					continue
				}
				if event.Time.After(last) {
					last = event.Time
				}
				break
			}
		}
		seconds = append(seconds, last.Sub(begin).Seconds())
	}
	sort.Float64s(seconds)
	c.report.info("changes", float64(len(seconds)), "changes")
	c.report.info("in force on all nodes p50", seconds[len(seconds)/2], "s")
	c.report.atMost("in force on all nodes p99", seconds[(len(seconds)*99+99)/100-1], "s", maxInForceSeconds)
}

// awaitNewest waits until the newest revision is in force on all live nodes.
func (c *control) awaitNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for _, n := range c.live {
		for {
			metrics, err := c.bed.Metrics(ctx, n.ID)
			if err == nil && metrics[telemetry.MetricRevision] >= float64(c.newest) {
				break
			}
			select {
			case <-time.After(watchInterval):
			case <-ctx.Done():
				return errors.Newf("control: %s has revision %g, newest is %d", n.ID, metrics[telemetry.MetricRevision], c.newest)
			}
		}
	}
	return nil
}

// restarts kills and starts nodes while the store is down. Every node must come back with the newest revision.
func (c *control) restarts(ctx context.Context) error {
	if err := c.bed.SetFault(ctx, testbed.StoreName, fake.Fault{Refuse: true}); err != nil {
		return err
	}
	begin := time.Now()
	restarted := 0
	for _, i := range c.random.Perm(len(c.live))[:len(c.live)/restartedOneIn] {
		process := c.bed.Process(c.live[i].ID)
		process.Kill()
		if err := process.Start(); err != nil {
			return err
		}
		restarted++
	}
	if err := c.awaitNewest(ctx); err != nil {
		return err
	}
	c.report.info("restarted while the store is down", float64(restarted), "nodes")
	c.report.info("restarted nodes have the newest revision", time.Since(begin).Seconds(), "s")
	reversions := 0
	for _, n := range c.live {
		var highest uint64
		for _, event := range c.bed.ConfigEvents(n.ID) {
			if event.Revision < highest {
				reversions++
			}
			highest = max(highest, event.Revision)
		}
	}
	c.report.atMost("reversions", float64(reversions), "reversions", 0)
	return c.bed.SetFault(ctx, testbed.StoreName, fake.Fault{})
}

// idle reports what idle nodes use, with all agents and with half of them, and the slope over the number of nodes.
func (c *control) idle(ctx context.Context) error {
	full, err := c.idleUse(ctx)
	if err != nil {
		return err
	}
	for _, role := range []message.Role{message.RoleEntry, message.RoleAgent} {
		c.reportIdle(string(role), full[role])
	}
	before := len(c.live)
	c.stopHalf()
	half, err := c.idleUse(ctx)
	if err != nil {
		return err
	}
	removed := float64(before - len(c.live))
	for _, role := range []message.Role{message.RoleEntry, message.RoleAgent} {
		many, few := full[role], half[role]
		c.report.info(string(role)+" processor slope", (many.processorSeconds-few.processorSeconds)*100/removed, "%/node")
		c.report.info(string(role)+" memory slope", (many.megabyte-few.megabyte)/removed, "MB/node")
		c.report.info(string(role)+" control slope", (many.controlBytes-few.controlBytes)/removed, "B/s/node")
	}
	return nil
}

func (c *control) reportIdle(role string, u roleUse) {
	c.report.atMost(role+" processor", u.processorSeconds*100, "% of a core", maxIdleProcessorPct)
	c.report.atMost(role+" memory", u.megabyte, "MB", maxIdleMegabytes)
	c.report.atMost(role+" memory max", u.maxMegabyte, "MB", maxIdleMegabytes)
	c.report.atMost(role+" control", u.controlBytes, "B/s", maxIdleBytesPerSecond)
	c.report.atMost(role+" control max", u.maxControlBytes, "B/s", maxIdleBytesPerSecond)
	c.report.info(role+" store calls", u.storeCalls, "calls/s")
	c.report.info(role+" goroutines", u.goroutines, "goroutines")
}

// stopHalf kills every second agent and its upstream.
func (c *control) stopHalf() {
	var kept []*testbed.Node
	for i, n := range c.live {
		if n.Role == message.RoleAgent && i%2 == 0 {
			c.bed.Process(n.ID).Kill()
			c.bed.Process(n.Upstream).Kill()
			continue
		}
		kept = append(kept, n)
	}
	c.live = kept
}

// roleUse is the mean use of the nodes of a role a second, and the highest of some.
type roleUse struct {
	usage
	maxMegabyte, maxControlBytes float64
}

// idleUse measures all live nodes over a window without changes.
func (c *control) idleUse(ctx context.Context) (map[message.Role]roleUse, error) {
	time.Sleep(idleSettle)
	before, err := c.sample(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(idleWindow)
	after, err := c.sample(ctx)
	if err != nil {
		return nil, err
	}
	return c.meanUse(before, after), nil
}

// meanUse returns the mean use a second between two samples, by role.
func (c *control) meanUse(before, after []usage) map[message.Role]roleUse {
	out := make(map[message.Role]roleUse)
	count := make(map[message.Role]float64)
	for i, n := range c.live {
		u, seconds := out[n.Role], after[i].at.Sub(before[i].at).Seconds()
		control := (after[i].controlBytes - before[i].controlBytes) / seconds
		u.processorSeconds += (after[i].processorSeconds - before[i].processorSeconds) / seconds
		u.controlBytes += control
		u.storeCalls += (after[i].storeCalls - before[i].storeCalls) / seconds
		u.megabyte += after[i].megabyte
		u.goroutines += after[i].goroutines
		u.maxMegabyte, u.maxControlBytes = max(u.maxMegabyte, after[i].megabyte), max(u.maxControlBytes, control)
		out[n.Role] = u
		count[n.Role]++
	}
	for role, u := range out {
		for _, sum := range []*float64{&u.processorSeconds, &u.controlBytes, &u.storeCalls, &u.megabyte, &u.goroutines} {
			*sum /= count[role]
		}
		out[role] = u
	}
	return out
}

// sample reads the use of all live nodes.
func (c *control) sample(ctx context.Context) ([]usage, error) {
	out := make([]usage, len(c.live))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(usageReaders)
	for i, n := range c.live {
		group.Go(func() error {
			var err error
			out[i], err = usageOf(ctx, c.bed, n.ID)
			return err
		})
	}
	return out, group.Wait()
}
