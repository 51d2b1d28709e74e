package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/loadgen"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/settings"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["rollout"] = scenario{
		description: "time until a version is live on N agents (-n; default 12), origin bytes, urgent service meanwhile",
		run:         runRollout,
	}
}

// Targets of the design page.
const (
	maxLowerBounds       = 1.25
	maxOriginCopies      = 1.05
	maxUrgentRatio       = 2.0
	defaultRolloutAgents = 12
	rolloutCentres       = 3
	// liveRate is the number of urgent requests a second for each agent.
	liveRate     = 4.0
	liveTokens   = 8
	quietPeriod  = 6 * time.Second
	statusPeriod = 25 * time.Millisecond
	// corruptOneIn of the origin's chunk answers are corrupt in the second run; the faults of links start at faultsAfter.
	corruptOneIn = 50
	faultsAfter  = time.Second
	// baselineTimeout bounds a run in which every agent reads the origin, which takes N/4 windows.
	baselineTimeout = 26 * time.Second
	rolloutTimeout  = 20 * time.Second
)

// rolloutRun is one fleet of the scenario.
type rolloutRun struct {
	bed    *testbed.Bed
	report *report
	agents int
	seed   int64
	// short leaves out the rollout with faults.
	short bool
	// dead is the agent that was killed, "" for none.
	dead string
}

// runRollout runs the plain rollout and, in the same fleet, one with faults. With -baseline the second run is instead a rollout in
// another fleet in which every agent reads the origin. One size fits the time limit of a run, so the sizes of the design page are four runs.
func runRollout(ctx context.Context, opts options, r *report) error {
	n := opts.nodes
	if n == 0 {
		n = defaultRolloutAgents
	}
	if n < rolloutCentres {
		return errors.Newf("rollout: -n must be at least %d", rolloutCentres)
	}
	reportSizes(r, n)
	if err := withFleet(ctx, opts, r, n, false, (*rolloutRun).plain); err != nil || !opts.baseline {
		return err
	}
	return withFleet(ctx, opts, r, n, true, (*rolloutRun).baseline)
}

func reportSizes(r *report, n int) {
	r.info("agents", float64(n), "agents")
	r.info("window", rolloutWindow.Seconds(), "s")
	r.info("version", versionBytes, "B")
	r.info("chunk", rolloutChunkBytes, "B")
	r.info("instance link each way", float64(instanceBytesPerSec), "B/s")
	r.info("origin link", float64(originBytesPerSec), "B/s")
	r.info("link between regions each way", regionBytesPerSec, "B/s")
	r.info("lower bound", lowerBound(n).Seconds(), "s")
}

func withFleet(ctx context.Context, opts options, r *report, n int, baseline bool, measure func(*rolloutRun, context.Context) error) error {
	bed, err := testbed.Launch(ctx, rolloutFleet(n, baseline))
	if err != nil {
		return err
	}
	defer bed.Close()
	limitLinks(bed)
	run := &rolloutRun{bed: bed, report: r, agents: n, seed: opts.seed, short: opts.baseline}
	err = measure(run, ctx)
	if opts.verbose {
		fmt.Println(bed.LogTails())
	}
	return err
}

// rolloutFleet has 3 data centres in 2 regions, one entry in each.
func rolloutFleet(n int, baseline bool) testbed.Fleet {
	fleet := testbed.Fleet{
		Proxies: true, OriginBytesPerSecond: originBytesPerSec, RegionBytesPerSecond: regionBytesPerSec,
		DataCentreDelay: dataCentreDelay, RegionDelay: regionDelay,
		Config: func(version string) string { return rolloutConfig(version, n) },
		Agent:  settings.Agent{BaselineTransfer: baseline, ChunkOrder: "rendezvous", PeerBytesPerSecond: instanceBytesPerSec * transferPercent / 100},
	}
	for i := range rolloutCentres {
		region := "east"
		if i == rolloutCentres-1 {
			region = "west"
		}
		centre := testbed.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), Region: region, Entries: 1, Models: n / rolloutCentres}
		if i < n%rolloutCentres {
			centre.Models++
		}
		fleet.DataCentres = append(fleet.DataCentres, centre)
	}
	return fleet
}

// rolloutConfig takes at most half of a data centre's agents out of service at once.
func rolloutConfig(version string, n int) string {
	text := testbed.DefaultConfig(version)
	limit := max(1, n/rolloutCentres/2)
	return strings.Replace(text, "[[model]]\n", fmt.Sprintf("[[model]]\nmax_unavailable = %d\n", limit), 1)
}

// plain measures the quiet fleet, a rollout, and a rollout with faults.
func (r *rolloutRun) plain(ctx context.Context) error {
	quiet := <-r.load(ctx, nil, quietPeriod, "quiet")
	if err := r.rollout(ctx, "", 2, rolloutTimeout, quiet); err != nil {
		return err
	}
	if r.short {
		return nil
	}
	if err := r.faults(ctx); err != nil {
		return err
	}
	return r.rollout(ctx, "faults: ", 3, rolloutTimeout, quiet)
}

func (r *rolloutRun) baseline(ctx context.Context) error {
	return r.rollout(ctx, "baseline: ", 2, baselineTimeout, nil)
}

// faults corrupts answers of the origin at once, and stalls the links of one agent and kills another during the transfer.
func (r *rolloutRun) faults(ctx context.Context) error {
	if err := r.bed.SetFault(ctx, testbed.OriginName, fake.Fault{CorruptOneIn: corruptOneIn}); err != nil {
		return err
	}
	agents := r.bed.Nodes(message.RoleAgent)
	stalled, killed := agents[0], agents[len(agents)-1]
	r.dead = killed.ID
	time.AfterFunc(faultsAfter, func() {
		r.bed.Proxy(testbed.LinkProxyName(stalled.ID)).Set("stall", faultproxy.Any, faultproxy.Fault{Hold: true})
		r.bed.Process(killed.ID).Kill()
	})
	return nil
}

// load sends urgent requests to all entries until the period ends or stop is closed.
func (r *rolloutRun) load(ctx context.Context, stop <-chan struct{}, period time.Duration, name string) <-chan *loadgen.Summary {
	var targets []string
	for _, entry := range r.bed.Nodes(message.RoleEntry) {
		targets = append(targets, r.bed.CallerURL(entry.ID))
	}
	prompt := func(n int) string { return fmt.Sprintf("%s quote %d", name, n) }
	stream := loadgen.Stream{
		Targets: targets, Method: http.MethodPost, Path: testbed.ChatPath, Key: testbed.CallerKey("small-1"), Priority: "urgent",
		Stop: stop, Rate: liveRate * float64(r.agents),
		Body: func(n int) []byte { return testbed.ChatBody(prompt(n), liveTokens, false) },
		Check: func(n int, header http.Header, body []byte) bool {
			text, err := testbed.ChatText(body)
			if err != nil {
				return false
			}
			versions, err := fake.CheckText(text, prompt(n), liveTokens)
			return err == nil && len(versions) == 1 && versions[fake.ShortVersion(header.Get("X-Model-Version"))] == liveTokens
		},
	}
	done := make(chan *loadgen.Summary, 1)
	go func() {
		client := loadgen.NewClient(64, rolloutTimeout)
		defer client.Close()
		done <- client.Run(ctx, stream, period, r.seed)
	}()
	return done
}

// rollout rolls a version out and reports on it. quiet is the service without a rollout, nil in runs without targets.
func (r *rolloutRun) rollout(ctx context.Context, prefix string, seed uint64, timeout time.Duration, quiet *loadgen.Summary) error {
	info, err := r.bed.CreateVersion(ctx, rolloutVersion(seed+10*uint64(r.seed)))
	if err != nil {
		return err
	}
	before := weightTraffic(r.bed)
	begin := time.Now()
	if _, err := r.bed.SubmitConfig(ctx, "entry-1", rolloutConfig(info.Version, r.agents)); err != nil {
		return err
	}
	stop := make(chan struct{})
	summary := r.load(ctx, stop, timeout, prefix+"rollout")
	live, total := r.awaitLive(ctx, info.Version, begin.Add(timeout))
	took := time.Since(begin)
	close(stop)
	r.reportTime(prefix, info.Version, begin, took, live, total, quiet != nil)
	r.reportTraffic(prefix, before, quiet != nil)
	r.reportService(prefix, <-summary, quiet)
	return nil
}

// awaitLive waits until the version serves on all agents but the dead one, and returns how many do and how many should.
func (r *rolloutRun) awaitLive(ctx context.Context, version string, deadline time.Time) (live, total int) {
	total = r.agents
	if r.dead != "" {
		total--
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		count := 0
		for _, entry := range r.bed.Nodes(message.RoleEntry) {
			status, err := r.bed.Status(ctx, entry.ID)
			if err != nil {
				break
			}
			for _, node := range status.Nodes {
				if node.Role == message.RoleAgent && node.DataCentre == entry.DataCentre && node.ID != r.dead &&
					node.State == message.StateServing && node.Version == version {
					count++
				}
			}
		}
		if live = max(live, count); live == total {
			break
		}
		time.Sleep(statusPeriod)
	}
	return live, total
}

// lastComplete returns when the version was complete on the last agent, as the logs tell, and on how many it is.
func (r *rolloutRun) lastComplete(version string) (last time.Time, agents int) {
	for _, agent := range r.bed.Nodes(message.RoleAgent) {
		for line := range strings.Lines(r.bed.Process(agent.ID).Log()) {
			var event struct {
				Time    time.Time `json:"time"`
				Message string    `json:"msg"`
				Version string    `json:"version"`
			}
			if json.Unmarshal([]byte(line), &event) != nil || event.Message != "version complete" || event.Version != version {
				continue
			}
			agents++
			if event.Time.After(last) {
				last = event.Time
			}
		}
	}
	return last, agents
}

func (r *rolloutRun) reportTime(prefix, version string, begin time.Time, took time.Duration, live, total int, targets bool) {
	bound := lowerBound(r.agents).Seconds()
	last, complete := r.lastComplete(version)
	r.report.info(prefix+"complete", float64(complete), "agents")
	r.report.info(prefix+"complete on the last agent", last.Sub(begin).Seconds(), "s")
	r.report.info(prefix+"complete on the last agent over lower bound", last.Sub(begin).Seconds()/bound, "times")
	if !targets {
		r.report.info(prefix+"live", float64(live), "agents")
		r.report.info(prefix+"live everywhere", took.Seconds(), "s")
		r.report.info(prefix+"live everywhere over lower bound", took.Seconds()/bound, "times")
		return
	}
	r.report.atLeast(prefix+"live", float64(live), "agents", float64(total))
	r.report.atMost(prefix+"live everywhere", took.Seconds(), "s", rolloutWindow.Seconds())
	r.report.atMost(prefix+"live everywhere over lower bound", took.Seconds()/bound, "times", maxLowerBounds)
}

func (r *rolloutRun) reportTraffic(prefix string, before traffic, targets bool) {
	after := weightTraffic(r.bed)
	for _, region := range []string{"east", "west"} {
		copies := float64(after.origin[region]-before.origin[region]) / versionBytes
		if targets {
			r.report.atMost(prefix+"origin copies, region "+region, copies, "copies", maxOriginCopies)
			continue
		}
		r.report.info(prefix+"origin copies, region "+region, copies, "copies")
	}
	r.report.info(prefix+"bytes between regions", float64(after.regions-before.regions), "B")
}

func (r *rolloutRun) reportService(prefix string, during, quiet *loadgen.Summary) {
	p99 := during.TotalQuantile(99).Seconds()
	r.report.info(prefix+"urgent requests answered", float64(during.OK), "requests")
	r.report.info(prefix+"urgent requests not answered", float64(during.NotRun+during.Failed+during.Unknown+during.Broken), "requests")
	r.report.atMost(prefix+"answers of mixed or wrong versions", float64(during.Mismatched), "answers", 0)
	r.report.info(prefix+"urgent p99", p99, "s")
	if quiet != nil {
		base := quiet.TotalQuantile(99).Seconds()
		r.report.info(prefix+"urgent p99 without rollout", base, "s")
		r.report.atMost(prefix+"urgent p99 over that without rollout", p99/base, "times", maxUrgentRatio)
	}
}
