package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// plannedStops is the number of entries that are stopped one after the other before the first fault.
	plannedStops = 2
	// plannedConfigInterval is the time between configurations while an entry stops.
	plannedConfigInterval = 400 * time.Millisecond
	// lossSlack is the time after which a request that no server has run counts as lost if its connection ends. An earlier end may have
	// crossed the request on its way.
	lossSlack = 200 * time.Millisecond
)

// idleTimeoutsMS are the idle limits of the configurations in turn, in milliseconds.
var idleTimeoutsMS = []int{300, 20_000}

// plannedPaths are the requests that callers send during planned stops. Those to /slow/ are often in progress at the end of a stop.
var plannedPaths = []string{"/stream/", "/order/", "/look/", "/slow/"}

// runPlannedStops stops and restarts entries one after the other while configurations lower and raise the idle limit. Callers use their
// connections all the while.
func (c *checker) runPlannedStops(seed uint64) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Add(1)
		go func() { defer wg.Done(); c.sendDuringStops(rand.New(rand.NewPCG(seed, uint64(i)+100)), stop) }()
	}
	for _, n := range c.fleet.entries[:plannedStops] {
		c.stopBesideConfigurations(n)
		if err := n.Start(); err != nil {
			c.reportf("restart after a planned stop: %v", err)
		}
	}
	close(stop)
	wg.Wait()
}

// stopBesideConfigurations stops an entry and writes configurations until its process has ended.
func (c *checker) stopBesideConfigurations(n *node) {
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(stopTimeout) }()
	ticker := time.NewTicker(plannedConfigInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-stopped:
			if err != nil {
				c.reportf("planned stop: %v", err)
			}
			return
		case <-ticker.C:
			c.fleet.writeNextConfig()
		}
	}
}

// sendDuringStops sends requests until stop is closed. Most follow each other closely, so that they use connections until the process is
// gone; some come when the connection has been idle for about as long as the entries allow.
func (c *checker) sendDuringStops(rng *rand.Rand, stop <-chan struct{}) {
	client := newClient()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		r := c.send(client, rng.IntN(len(c.fleet.entries)), plannedPaths[rng.IntN(len(plannedPaths))])
		r.planned = true
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		pause := time.Duration(10+rng.IntN(40)) * time.Millisecond
		if rng.IntN(10) == 0 {
			pause = time.Duration(1200+rng.IntN(1000)) * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// checkPlanned reports a request that ended without a complete answer during planned stops, in the absence of faults.
func (c *checker) checkPlanned(r callResult, runs int) {
	switch {
	case !r.planned || r.unsent || r.complete:
	case r.status != 0:
		c.reportf("%s%s was cut after %s in a planned stop, status %d", r.path, r.id, r.elapsed, r.status)
	case runs > 0 || r.elapsed > lossSlack:
		c.reportf("%s%s ended without an answer after %s in a planned stop and ran %d times", r.path, r.id, r.elapsed, runs)
	}
}
