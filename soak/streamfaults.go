package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/platform/standin"
)

// Random times between two faults of streams, of their length, and between two versions of a series: at least the minimum, and less than the
// sum of minimum and spread. Faults overlap.
const (
	minStreamFaultGap, streamFaultGapSpread   = 200 * time.Millisecond, 500 * time.Millisecond
	minStreamFaultTime, streamFaultTimeSpread = 300 * time.Millisecond, 1500 * time.Millisecond
	minRolloutGap, rolloutGapSpread           = 300 * time.Millisecond, 600 * time.Millisecond
	minVersionGap, versionGapSpread           = 50 * time.Millisecond, 400 * time.Millisecond
	// A second version follows in one of seriesEvery rollouts.
	seriesEvery = 4
	// When the time of a version ends, entries are paused for about entryPause, and servers are silent from about silenceBefore until shortly
	// before the entries go on, so that these find first events and the end of the version together.
	silenceBefore, silenceSpreadBefore = 400 * time.Millisecond, 200 * time.Millisecond
	entryPause, entryPauseSpread       = 40 * time.Millisecond, 80 * time.Millisecond
	// arrivalTime is the time in which bytes arrive after a silence.
	arrivalTime = 10 * time.Millisecond
	// burstSize is the number of callers that ask each entry for a stream before the time of a version ends.
	burstSize = 16
	// crashPause is the time after which the connections of a server that has crashed are reset that it did not close itself.
	crashPause = 50 * time.Millisecond
)

// injectStreamFaults starts random faults that move streams between servers, until stop is closed, and waits until they have ended. Beside
// them, rollouts are late one after the other.
func (c *checker) injectStreamFaults(rng *rand.Rand, stop <-chan struct{}) {
	fleet := c.fleet
	faults := []func(*testFleet, *rand.Rand, <-chan struct{}){
		(*testFleet).crashModel, (*testFleet).cutStreams, (*testFleet).cutStreams}
	var active sync.WaitGroup
	defer active.Wait()
	late := rand.New(rand.NewPCG(rng.Uint64(), 1))
	active.Go(func() {
		for more := true; more; more = sleep(randomTime(late, minRolloutGap, rolloutGapSpread), stop) {
			c.delayRollout(late, &active, stop)
		}
	})
	for sleep(randomTime(rng, minStreamFaultGap, streamFaultGapSpread), stop) {
		inject, own := faults[rng.IntN(len(faults))], rand.New(rand.NewPCG(rng.Uint64(), 1))
		active.Go(func() { inject(fleet, own, stop) })
	}
}

// randomEnding returns how a server ends connections.
func randomEnding(rng *rand.Rand) standin.Ending {
	return []standin.Ending{standin.Close, standin.Reset}[rng.IntN(2)]
}

// crashModel crashes a model server, which refuses connections until it restarts without weights.
func (fleet *testFleet) crashModel(rng *rand.Rand, stop <-chan struct{}) {
	model := fleet.models[rng.IntN(len(fleet.models))]
	proxy := fleet.proxies[model.ID]
	end := fleet.disturbances.during(model.ID, func() func() {
		endOutage := fleet.outages.begin(proxy)
		model.Crash(randomEnding(rng))
		time.Sleep(crashPause)
		proxy.Break(faultproxy.Any)
		return func() {
			model.Restart()
			endOutage()
		}
	})
	sleep(randomTime(rng, minStreamFaultTime, streamFaultTimeSpread), stop)
	end()
}

// cutStreams makes a model server end streams between two events.
func (fleet *testFleet) cutStreams(rng *rand.Rand, stop <-chan struct{}) {
	model := fleet.models[rng.IntN(len(fleet.models))]
	end := fleet.disturbances.during(answersOf(model.ID), func() func() {
		model.CutStreams(randomEnding(rng))
		return func() { model.CutStreams(standin.NoEnding) }
	})
	sleep(randomTime(rng, minStreamFaultTime, streamFaultTimeSpread), stop)
	end()
}

// delayRollout publishes a version and pauses half of the agents until its time is over, so that their servers hold an older one. At that time,
// these servers are silent and all entries are paused, shortly after many callers have asked for streams.
func (c *checker) delayRollout(rng *rand.Rand, callers *sync.WaitGroup, stop <-chan struct{}) {
	fleet := c.fleet
	late := rng.Perm(len(fleet.agents))[:len(fleet.agents)/2]
	for _, i := range late {
		n := fleet.agents[i]
		n.Pause()
		defer n.Resume()
	}
	fleet.publishNextVersion()
	end := time.Now().Add(time.Duration(fleet.bounds.versionMS)*time.Millisecond - relay.VersionMargin)
	if rng.IntN(seriesEvery) == 0 && sleep(randomTime(rng, minVersionGap, versionGapSpread), stop) {
		fleet.publishNextVersion()
	}
	time.Sleep(time.Until(end) - randomTime(rng, silenceBefore, silenceSpreadBefore))
	endSilences := fleet.silenceModels(late)
	c.sendBurst(rng, callers)
	time.Sleep(silenceBefore)
	endPauses := fleet.pauseEntries()
	time.Sleep(silenceSpreadBefore + randomTime(rng, entryPause, entryPauseSpread))
	endSilences()
	time.Sleep(arrivalTime)
	endPauses()
}

// sendBurst starts callers that request streams of all entries at once.
func (c *checker) sendBurst(rng *rand.Rand, callers *sync.WaitGroup) {
	for i := range burstSize * len(c.fleet.entries) {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		callers.Go(func() {
			cl := c.newCaller()
			defer cl.close()
			cl.sendAll(own, i%len(c.fleet.entries), streamPaths[i%len(streamPaths)], sendPauses{}, false)
		})
	}
}

// silenceModels holds back all bytes of some model servers until the returned function is called.
func (fleet *testFleet) silenceModels(models []int) (end func()) {
	var ends []func()
	for _, i := range models {
		name := fleet.models[i].ID
		ends = append(ends, fleet.silences.during(name, func() func() { return fleet.hold(name, "silent at the end of a version") }))
	}
	return func() { callAll(ends) }
}

// pauseEntries pauses all entries until the returned function is called.
func (fleet *testFleet) pauseEntries() (end func()) {
	var ends []func()
	for i, n := range fleet.entries {
		ends = append(ends, fleet.disturbances.during(entryName(i), func() func() {
			n.Pause()
			return n.Resume
		}))
	}
	return func() { callAll(ends) }
}

func callAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// outages counts the faults because of which servers refuse connections. The zero value is ready for use.
type outages struct {
	mu     sync.Mutex
	counts map[*faultproxy.Proxy]int
}

// begin makes a server refuse new connections. It accepts them again once the returned function has been called for each outage.
func (o *outages) begin(proxy *faultproxy.Proxy) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[*faultproxy.Proxy]int{}
	}
	o.counts[proxy]++
	proxy.StopListening()
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.counts[proxy]--; o.counts[proxy] == 0 {
			_ = proxy.Listen() // Fails only when the fleet is closed.
		}
	}
}
