package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callerCount is the number of callers that send requests concurrently to a fleet of scale 1.
	callerCount = 12
	// recoveryTimeout limits the start of the fleet and the return to full service after the last fault.
	recoveryTimeout = 15 * time.Second
)

// checker sends requests to the fleet, collects the results and records violations of the promises as findings.
type checker struct {
	fleet    *testFleet
	mu       sync.Mutex
	findings []string
	results  []callResult
	probes   []configProbe
	// sent holds the requests by ID.
	sent   map[string]sentRequest
	lastID int
	// longestStall is the longest time for which this process, which also serves as store and upstreams, was not scheduled.
	longestStall time.Duration
	// judged counts the statements of servers that were checked.
	judged judgedStatements
	// boundedRequests counts the requests for which a version of the model or of the configuration was required, or whose key had to be refused.
	boundedRequests int
	losses          lossCounts
	streams         streamCounts
	// coverage counts requests by the phase in which planned events met them.
	coverage map[string]int
}

// reportf records a finding.
func (c *checker) reportf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(format, args...))
}

// nextID returns a new request ID.
func (c *checker) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return "r" + strconv.Itoa(c.lastID)
}

// runOptions are the options of a run. Faults are injected for length. The scale multiplies the nodes and servers of each data centre and
// the callers. Logs of a run with findings are copied to a directory below logDir unless that is empty. With lateWrites, the faults are late
// writes to the store and restarts of all nodes, with evacuations those of data centres, with keys changes of the customers.
type runOptions struct {
	length     time.Duration
	scale      int
	logDir     string
	lateWrites bool
	// evacuations excludes lateWrites, and keys both.
	evacuations, keys bool
}

// runSeed runs one seed. It returns the findings and a summary of the run.
func runSeed(seed uint64, options runOptions) (findings []string, summary string, err error) {
	injectFaults, bounds := (*checker).runMixedFaults, fleetBounds{versionMS: shortVersionMS}
	if options.lateWrites {
		injectFaults, bounds = (*checker).runLateWrites, fleetBounds{versionMS: versionApplyMS, contactMS: contactTime.Milliseconds()}
	}
	if options.evacuations {
		injectFaults, bounds = (*checker).runEvacuations, fleetBounds{versionMS: versionApplyMS, contactMS: contactTime.Milliseconds()}
	}
	if options.keys {
		injectFaults, bounds = (*checker).runKeys, fleetBounds{versionMS: versionApplyMS, contactMS: contactTime.Milliseconds()}
	}
	fleet, err := newTestFleet(options.scale, bounds)
	if err != nil {
		return nil, "", err
	}
	defer fleet.close()
	c := &checker{fleet: fleet, sent: map[string]sentRequest{}}
	defer c.measureStalls()()
	if !c.awaitServing("at the start") {
		return c.result(seed, options.logDir, nil)
	}
	faultNames := injectFaults(c, seed, options)
	c.checkResults()
	c.checkStatements()
	return c.result(seed, options.logDir, faultNames)
}

// runMixedFaults runs planned work and then random faults beside callers, and returns their names.
func (c *checker) runMixedFaults(seed uint64, options runOptions) (faultNames []string) {
	fleet := c.fleet
	// The faults and each caller have a generator of their own, so that the callers do not affect the sequence of faults.
	rng := rand.New(rand.NewPCG(seed, 1))
	c.runPlannedWork(seed)
	if !c.awaitServing("after the planned work") {
		return nil
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	callers := callerCount * options.scale
	random := func(stream int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(stream))) }
	for i := range callers {
		wg.Go(func() { c.sendRequests(random(i+2), stop) })
	}
	restored := fleet.restoreStore(random(callers+2), options.length)
	faultsEnded := make(chan struct{})
	wg.Go(func() { fleet.injectSilences(random(callers+5), false, faultsEnded) })
	var streamFaults sync.WaitGroup
	streamFaults.Go(func() { c.injectStreamFaults(random(callers+6), faultsEnded) })
	wg.Go(func() { fleet.injectModelStatements(random(callers+3), faultsEnded) })
	wg.Go(func() { fleet.injectDeskStatements(random(callers+4), faultsEnded) })
	faultNames = append(fleet.injectFaults(rng, options.length), fmt.Sprintf("%d times store restored", <-restored))
	close(faultsEnded)
	streamFaults.Wait()
	c.awaitServing("after the last fault")
	c.awaitNewestVersion()
	close(stop)
	wg.Wait()
	return faultNames
}

// measureStalls records longestStall until the returned function is called.
func (c *checker) measureStalls() (stop func()) {
	const interval = 10 * time.Millisecond
	done := make(chan struct{})
	go func() {
		for last := time.Now(); sleep(interval, done); last = time.Now() {
			stall := time.Since(last) - interval
			c.mu.Lock()
			c.longestStall = max(c.longestStall, stall)
			c.mu.Unlock()
		}
	}()
	return func() { close(done) }
}

// result returns the findings and the summary, and copies the logs of a run with findings.
func (c *checker) result(seed uint64, logDir string, faultNames []string) ([]string, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, r := range c.results {
		counts[r.status]++
	}
	summary := fmt.Sprintf("%d requests %v, %d statements of servers (%s), %d requests required a version, longest stall of the checker: %s, "+
		"%s, %s, planned events met requests %v, faults: %s", len(c.results), counts, c.fleet.statements.Load(), c.judged, c.boundedRequests,
		c.longestStall.Round(time.Millisecond), c.losses, c.streams, c.coverage, strings.Join(faultNames, ", "))
	var err error
	if len(c.findings) > 0 && logDir != "" {
		err = c.fleet.copyLogs(filepath.Join(logDir, fmt.Sprintf("seed-%d", seed)))
	}
	return c.findings, summary, err
}

// awaitServing waits until each entry serves each route of the newest configuration and reports whether that happened in time.
func (c *checker) awaitServing(when string) bool {
	var entries sync.WaitGroup
	var failed atomic.Bool
	for i := range c.fleet.entries {
		entries.Go(func() {
			if !c.awaitEntryServing(i, when) {
				failed.Store(true)
			}
		})
	}
	entries.Wait()
	return !failed.Load()
}

// awaitEntryServing waits until one entry serves each route and reports whether that happened in time.
func (c *checker) awaitEntryServing(entry int, when string) bool {
	deadline := time.Now().Add(recoveryTimeout)
	newestPath := configPath(c.fleet.configVersion.Load())
	for _, path := range []string{"/stream/", "/order/", "/look/", newestPath} {
		for {
			cl := c.newCaller()
			r := cl.send(entry, path, sendPauses{})
			cl.close()
			c.record(r)
			if r.status == http.StatusOK && r.complete {
				break
			}
			if time.Now().After(deadline) {
				c.reportf("entry %d did not serve %s %s within %s: status %d, body: %s", entry, path, when, recoveryTimeout, r.status, r.body)
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// awaitNewestVersion waits until all model servers have loaded the newest version.
func (c *checker) awaitNewestVersion() {
	c.fleet.operatorMu.Lock()
	newestVersion := c.fleet.newestVersion
	c.fleet.operatorMu.Unlock()
	deadline := time.Now().Add(recoveryTimeout)
	for i, m := range c.fleet.models {
		for {
			loaded, _ := m.Loaded()
			if loaded == newestVersion {
				break
			}
			if time.Now().After(deadline) {
				c.reportf("model %d has loaded version %d instead of %d", i, loaded, newestVersion)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// checkResults compares the results that callers received with the requests that the servers ran.
func (c *checker) checkResults() {
	for i, m := range c.fleet.models {
		if _, corrupt := m.Loaded(); corrupt {
			c.reportf("model %d loaded bytes that do not belong to the ordered version", i)
		}
	}
	modelRuns := c.modelRuns()
	for _, r := range c.results {
		c.checkRuns(r, modelRuns[r.id])
		runs := len(modelRuns[r.id])
		for _, s := range c.fleet.plainServers() {
			runs += s.Runs(r.id)
		}
		c.checkResult(r, runs)
	}
	c.checkResumed()
	c.countLogged()
	passedOn := c.requestsAtServers()
	c.checkLosses(passedOn)
	c.coverage = c.plannedCoverage(passedOn)
}

// checkResult reports orders that ran more than once, refused requests that ran, unexpected refusals and wrong bodies.
func (c *checker) checkResult(r callResult, runs int) {
	switch {
	case (r.path == "/order/" || r.path == "/slow/") && runs > 1:
		c.reportf("order %s ran %d times", r.id, runs)
	case reportsNotRun(r.status) && runs > 0:
		c.reportf("%s%s was refused with status %d but ran %d times", r.path, r.id, r.status, runs)
	case r.status == http.StatusUnauthorized || r.status == http.StatusNotFound:
		c.reportf("%s%s was rejected with status %d", r.path, r.id, r.status)
	case r.status != http.StatusOK: // Faults may cause other errors.
	case r.isStream():
		c.checkStream(r)
	case !r.complete: // Faults may cause incomplete responses.
	case r.body != "done "+r.id:
		c.reportf("%s%s returned body %q", r.path, r.id, r.body)
	}
}

// reportsNotRun reports whether the status promises that the request has not run.
func reportsNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusMisdirectedRequest
}
