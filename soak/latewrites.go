package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// storeName is the name under which disturbances of the store are recorded.
const storeName = "store"

const (
	// The time in which writes to the store are late, the share of the writes that are, and their delay.
	minLateWindow, lateWindowSpread = 500 * time.Millisecond, time.Second
	lateShare                       = 0.3
	minWriteDelay, writeDelaySpread = 2500 * time.Millisecond, 2 * time.Second
	// publicationSpread is the longest time until the operator has published both. It is shorter than the delay of late copies, so that these
	// replace newer values.
	publicationSpread = 500 * time.Millisecond
	// The time from the last publication or restart to the next restart of all nodes, the time for which they are down, and the number of
	// restarts in a round. A node needs minUptime to read and record what has been published.
	minUptime, uptimeSpread     = 2 * time.Second, 2 * time.Second
	minDowntime, downtimeSpread = 200 * time.Millisecond, 800 * time.Millisecond
	maxRestarts                 = 2
	// The pause of a caller between two probes.
	minProbePause, probePauseSpread = 100 * time.Millisecond, 200 * time.Millisecond
	// observationTime is the time for which callers send requests after all bounds are over.
	observationTime = 1500 * time.Millisecond
)

// runLateWrites runs rounds of late writes and restarts of all nodes beside callers until length is over, and returns their faults.
func (c *checker) runLateWrites(seed uint64, options runOptions) (faultNames []string) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerCount * options.scale {
		random := func(stream int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(stream))) }
		callers.Go(func() { c.sendRequests(random(2*i+2), stop) })
		callers.Go(func() { c.sendConfigProbes(random(2*i+3), stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for deadline := time.Now().Add(options.length); time.Now().Before(deadline); {
		faultNames = append(faultNames, c.fleet.runLateWriteRound(rng)...)
	}
	c.awaitServing("after the last restart of all nodes")
	c.awaitNewestVersion()
	close(stop)
	callers.Wait()
	c.checkVersions()
	c.checkConfigs()
	if c.boundedRequests == 0 {
		c.reportf("no request was sent when a version was required")
	}
	return faultNames
}

// runLateWriteRound lets the operator publish a version and a configuration whose first write is executed late, and newer ones right after
// them. It then kills and restarts all nodes, and waits until only the newest ones may be in use.
func (fleet *testFleet) runLateWriteRound(rng *rand.Rand) (faultNames []string) {
	endLateWrites := fleet.disturbances.during(storeName, func() func() { return fleet.delayWrites(rng) })
	fleet.setLateCopies(randomTime(rng, minWriteDelay, writeDelaySpread))
	fleet.publishBoth(rng)
	fleet.setLateCopies(0)
	time.Sleep(randomTime(rng, minLateWindow, lateWindowSpread))
	endLateWrites()
	boundsOver := time.Now().Add(contactTime + versionApply)
	fleet.publishBoth(rng)
	for range 1 + rng.IntN(maxRestarts) {
		time.Sleep(randomTime(rng, minUptime, uptimeSpread))
		fleet.restartAll(randomTime(rng, minDowntime, downtimeSpread))
		faultNames = append(faultNames, "all nodes killed")
	}
	if boundsApplyAt := time.Now().Add(contactTime); boundsApplyAt.After(boundsOver) {
		boundsOver = boundsApplyAt
	}
	time.Sleep(time.Until(boundsOver) + observationTime)
	return append([]string{"late writes"}, faultNames...)
}

// delayWrites delays a share of the writes to the store until the returned function is called.
func (fleet *testFleet) delayWrites(rng *rand.Rand) (end func()) {
	writes := rand.New(rand.NewPCG(rng.Uint64(), 0)) // The store draws from its own generator, because it does so concurrently.
	fleet.store.DelayWrites(lateShare, randomTime(rng, minWriteDelay, writeDelaySpread), writes)
	return func() { fleet.store.DelayWrites(0, 0, nil) }
}

// publishBoth publishes the next version and the next configuration, each after a random time.
func (fleet *testFleet) publishBoth(rng *rand.Rand) {
	time.Sleep(randomTime(rng, 0, publicationSpread/2))
	fleet.publishNextVersion()
	time.Sleep(randomTime(rng, 0, publicationSpread/2))
	fleet.writeNextConfig()
}

// restartAll kills all nodes, so that none of them can tell another one what it knows, and starts them again after downtime.
func (fleet *testFleet) restartAll(downtime time.Duration) {
	var ends []func()
	for i, n := range fleet.entries {
		ends = append(ends, fleet.disturbances.during(entryName(i), func() func() { return killNode(n) }))
	}
	for _, n := range fleet.agents {
		ends = append(ends, killNode(n))
	}
	time.Sleep(downtime)
	var starts sync.WaitGroup
	for _, end := range ends {
		starts.Go(end)
	}
	starts.Wait()
}

// configProbe is a request on the route that only one version of the configuration has.
type configProbe struct {
	callResult
	version int64
}

// sendConfigProbes sends requests to random entries, on the routes of the newest configuration and the one before it, until stop is closed.
func (c *checker) sendConfigProbes(rng *rand.Rand, stop <-chan struct{}) {
	cl := c.newCaller()
	defer cl.close()
	for sleep(randomTime(rng, minProbePause, probePauseSpread), stop) {
		version := max(c.fleet.configVersion.Load()-rng.Int64N(2), 1)
		probe := configProbe{cl.send(rng.IntN(len(c.fleet.entries)), configPath(version), sendPauses{}), version}
		c.mu.Lock()
		c.probes = append(c.probes, probe)
		c.mu.Unlock()
	}
}
