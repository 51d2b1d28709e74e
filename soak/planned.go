package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// plannedStops is the number of entries that are stopped before the first fault, one after the other or overlapping.
	plannedStops = 2
	// plannedCallers is the number of callers meanwhile.
	plannedCallers = 2 * callerCount
	// plannedTime is the shortest time for which planned work goes on.
	plannedTime = 5 * time.Second
	// Random times before a stop, between changes of the configuration, and between signals to reload the settings: at least the minimum,
	// and less than the sum of minimum and spread.
	minStopDelay, stopDelaySpread       = 100 * time.Millisecond, 1200 * time.Millisecond
	minConfigInterval, configSpread     = 150 * time.Millisecond, 500 * time.Millisecond
	minReloadInterval, reloadSpread     = 300 * time.Millisecond, 600 * time.Millisecond
	minSendPause, sendPauseSpread       = 50 * time.Millisecond, 700 * time.Millisecond
	minLongIdle, longIdleSpread         = 1200 * time.Millisecond, time.Second
	minCallerPause, plannedCallerSpread = 10 * time.Millisecond, 40 * time.Millisecond
	// One of these many requests of a caller is sent in two halves, opens a connection and waits, or follows a long pause.
	halfBodyEvery, newConnectionEvery, longIdleEvery = 4, 8, 10
)

// plannedPaths are the requests that callers send beside planned work. Those to /slow/ are often in progress at the end of a stop.
var plannedPaths = []string{"/stream/", "/long/", "/unframed/", "/order/", "/look/", "/parts/", "/slow/"}

// runPlannedWork stops and restarts entries, signals them to reload their settings and changes the configuration beside silences of sound
// servers. Callers use their connections all the while.
func (c *checker) runPlannedWork(seed uint64) {
	fleet := c.fleet
	const firstCaller = 100
	random := func(stream int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(stream))) }
	var callers, work sync.WaitGroup
	stopCallers, stopWork := make(chan struct{}), make(chan struct{})
	for i := range plannedCallers {
		callers.Go(func() { c.sendBesidePlannedWork(i, random(firstCaller+i), stopCallers) })
	}
	work.Go(func() { fleet.injectSilences(random(firstCaller+plannedCallers), true, stopWork) })
	work.Go(func() { fleet.changeConfigs(random(firstCaller+plannedCallers+1), stopWork) })
	rng := random(firstCaller + callerCount + 2)
	stopped := rng.Perm(len(fleet.entries))[:plannedStops]
	work.Go(func() { fleet.reloadEntries(random(firstCaller+plannedCallers+3), stopped, stopWork) })
	shortest := time.After(plannedTime)
	c.stopEntries(rng, stopped)
	<-shortest
	close(stopWork)
	work.Wait()
	close(stopCallers)
	callers.Wait()
	fleet.changeConfig(configChange{"none", func(config *fleetConfig) { *config = fleetConfig{} }})
}

// stopEntries stops and restarts entries, in series or overlapping.
func (c *checker) stopEntries(rng *rand.Rand, entries []int) {
	overlapping := rng.IntN(2) == 0
	var stops sync.WaitGroup
	for _, i := range entries {
		time.Sleep(randomTime(rng, minStopDelay, stopDelaySpread))
		stops.Go(func() { c.stopEntry(i) })
		if !overlapping {
			stops.Wait()
		}
	}
	stops.Wait()
}

// stopEntry stops and restarts an entry.
func (c *checker) stopEntry(i int) {
	c.fleet.timeline.add(plannedEvent{kind: kindStop, entry: i, at: time.Now()})
	n := c.fleet.entries[i]
	if err := n.Stop(stopTimeout); err != nil {
		c.reportf("planned stop: %v", err)
	}
	c.fleet.timeline.add(plannedEvent{kind: kindRestart, entry: i, at: time.Now()})
	if err := n.Start(); err != nil {
		c.reportf("restart after a planned stop: %v", err)
	}
}

// changeConfigs changes the configuration in each of the ways in turn, in random order, until stop is closed.
func (fleet *testFleet) changeConfigs(rng *rand.Rand, stop <-chan struct{}) {
	changes := slices.Clone(configChanges)
	rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	for i := 0; sleep(randomTime(rng, minConfigInterval, configSpread), stop); i++ {
		change := changes[i%len(changes)]
		fleet.timeline.add(plannedEvent{kind: "change of " + change.name, entry: anyEntry, at: time.Now()})
		fleet.changeConfig(change)
	}
}

// reloadEntries signals random entries to reload their settings until stop is closed. It leaves out those that are restarted, because the
// signal would end a process that does not handle it yet, except in their stop.
func (fleet *testFleet) reloadEntries(rng *rand.Rand, restarted []int, stop <-chan struct{}) {
	for sleep(randomTime(rng, minReloadInterval, reloadSpread), stop) {
		i := rng.IntN(len(fleet.entries))
		if slices.Contains(restarted, i) && !fleet.timeline.stopping(i) {
			continue
		}
		fleet.timeline.add(plannedEvent{kind: "SIGHUP", entry: i, at: time.Now()})
		fleet.entries[i].Reload()
	}
}

// sendBesidePlannedWork sends requests until stop is closed. Most follow each other closely, so that they use connections until the process
// is gone; some come when the connection has been idle for about as long as the entries allow. Half of the callers stay with one entry.
func (c *checker) sendBesidePlannedWork(number int, rng *rand.Rand, stop <-chan struct{}) {
	cl := c.newCaller()
	defer cl.close()
	for more := true; more; {
		entry := rng.IntN(len(c.fleet.entries))
		if number < plannedCallers/2 {
			entry = number % len(c.fleet.entries)
		}
		var pauses sendPauses
		if rng.IntN(newConnectionEvery) == 0 {
			cl.drop(entry)
			pauses.connected = randomTime(rng, minSendPause, sendPauseSpread)
		}
		if rng.IntN(halfBodyEvery) == 0 {
			pauses.halfBody = randomTime(rng, minSendPause, sendPauseSpread)
		}
		path := plannedPaths[rng.IntN(len(plannedPaths))]
		cl.sendAll(rng, entry, path, pauses, true)
		pause := randomTime(rng, minCallerPause, plannedCallerSpread)
		if rng.IntN(longIdleEvery) == 0 {
			pause = randomTime(rng, minLongIdle, longIdleSpread)
		}
		more = sleep(pause, stop)
	}
}
