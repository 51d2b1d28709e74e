package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
)

// fault is one kind of failure. inject starts it and returns the function that ends it.
type fault struct {
	name   string
	inject func(fleet *testFleet, rng *rand.Rand) (end func())
}

// faults lists the failures that injectFaults picks from at random. Several may be active at the same time.
var faults = []fault{
	{"entry killed", func(fleet *testFleet, rng *rand.Rand) func() {
		i := rng.IntN(len(fleet.entries))
		return fleet.disturbances.during(entryName(i), func() func() { return killNode(fleet.entries[i]) })
	}},
	{"agent killed", func(fleet *testFleet, rng *rand.Rand) func() {
		return killNode(fleet.agents[rng.IntN(len(fleet.agents))])
	}},
	{"entry stopped", func(fleet *testFleet, rng *rand.Rand) func() {
		i := rng.IntN(len(fleet.entries))
		return fleet.disturbances.during(entryName(i), func() func() {
			n := fleet.entries[i]
			ended := n.Ended()
			go func() { _ = n.Stop(stopTimeout) }()
			return restartAfterExit(n, ended)
		})
	}},
	{"entry paused", func(fleet *testFleet, rng *rand.Rand) func() {
		i := rng.IntN(len(fleet.entries))
		return fleet.disturbances.during(entryName(i), func() func() {
			fleet.entries[i].Pause()
			return fleet.entries[i].Resume
		})
	}},
	{"agent paused", func(fleet *testFleet, rng *rand.Rand) func() {
		n := fleet.agents[rng.IntN(len(fleet.agents))]
		n.Pause()
		return n.Resume
	}},
	{"store returns 503", func(fleet *testFleet, _ *rand.Rand) func() {
		fleet.store.SetFailStatus(http.StatusServiceUnavailable)
		return func() { fleet.store.SetFailStatus(0) }
	}},
	{"store slow", func(fleet *testFleet, _ *rand.Rand) func() {
		fleet.store.SetDelay(300 * time.Millisecond)
		return func() { fleet.store.SetDelay(0) }
	}},
	{"store unresponsive", func(fleet *testFleet, _ *rand.Rand) func() { return holdConnections(fleet, "store") }},
	{"store compacted", func(fleet *testFleet, _ *rand.Rand) func() { fleet.store.Compact(); return func() {} }},
	{"store connections reset", func(fleet *testFleet, _ *rand.Rand) func() {
		fleet.proxies["store"].Break(faultproxy.Any)
		return func() {}
	}},
	{"origin down", func(fleet *testFleet, _ *rand.Rand) func() {
		fleet.origin.SetDown(true)
		return func() { fleet.origin.SetDown(false) }
	}},
	{"origin corrupts chunks", func(fleet *testFleet, rng *rand.Rand) func() {
		fleet.origin.CorruptNext(1 + rng.IntN(3))
		return func() {}
	}},
	{"server connections reset", func(fleet *testFleet, rng *rand.Rand) func() {
		name := fleet.randomServerName(rng)
		fleet.disturbances.during(name, func() func() {
			fleet.proxies[name].Break(faultproxy.Any)
			return func() {}
		})()
		return func() {}
	}},
	{"server unresponsive", func(fleet *testFleet, rng *rand.Rand) func() {
		name := fleet.randomServerName(rng)
		return fleet.disturbances.during(name, func() func() { return holdConnections(fleet, name) })
	}},
	{"server unreachable", func(fleet *testFleet, rng *rand.Rand) func() {
		name := fleet.randomServerName(rng)
		return fleet.disturbances.during(name, func() func() {
			end := fleet.outages.begin(fleet.proxies[name])
			fleet.proxies[name].Break(faultproxy.Any)
			return end
		})
	}},
	{"server delayed", func(fleet *testFleet, rng *rand.Rand) func() {
		p := fleet.proxies[fleet.randomServerName(rng)]
		p.Set("delay", faultproxy.Any, faultproxy.Fault{Delay: 150 * time.Millisecond})
		return func() { p.Clear("delay") }
	}},
	{"server restarted", func(fleet *testFleet, rng *rand.Rand) func() {
		fleet.models[rng.IntN(len(fleet.models))].Restart()
		return func() {}
	}},
	{"responses lost", func(fleet *testFleet, rng *rand.Rand) func() {
		d := fleet.desks[rng.IntN(len(fleet.desks))]
		return fleet.disturbances.during(answersOf(d.ID), func() func() {
			d.LoseEveryNthAnswer(3)
			return func() { d.LoseEveryNthAnswer(0) }
		})
	}},
	{"configuration change", func(fleet *testFleet, _ *rand.Rand) func() { fleet.writeNextConfig(); return func() {} }},
	{"new version", func(fleet *testFleet, _ *rand.Rand) func() { fleet.publishNextVersion(); return func() {} }},
}

// answersOf returns the name under which disturbances are recorded in which a server breaks off answers.
func answersOf(server string) string { return "answers of " + server }

// randomServerName returns the name of a random model server or server of the service "desk".
func (fleet *testFleet) randomServerName(rng *rand.Rand) string {
	names := slices.Concat(serverNames(fleet.desks), fleet.modelNames())
	slices.Sort(names)
	return names[rng.IntN(len(names))]
}

// killNode kills a process and returns the function that starts it again.
func killNode(n *node) func() {
	ended := n.Ended()
	n.Kill()
	return restartAfterExit(n, ended)
}

// stopTimeout is the time that a process has to shut down before it is killed.
const stopTimeout = 4 * time.Second

// restartAfterExit returns a function that waits until the process has exited and starts it again, unless another fault has already
// started it.
func restartAfterExit(n *node, ended <-chan struct{}) func() {
	return func() {
		<-ended
		if !n.Running() {
			_ = n.Start() // Fails when another fault starts it at the same moment.
		}
	}
}

// holdConnections stops the data on existing and new connections of a server until the returned function is called.
func holdConnections(fleet *testFleet, name string) func() { return fleet.hold(name, "unresponsive") }

// hold does the same under the name of a rule. Rules of several names may overlap.
func (fleet *testFleet) hold(server, rule string) (end func()) {
	fleet.proxies[server].Set(rule, faultproxy.Any, faultproxy.Fault{Hold: true})
	return func() { fleet.proxies[server].Clear(rule) }
}

// injectFaults starts random faults for the given time, waits until all of them have ended and starts the processes that are not
// running. It returns the names of the faults in the order of their start.
func (fleet *testFleet) injectFaults(rng *rand.Rand, length time.Duration) []string {
	const (
		// A new fault starts after each interval and lasts for a duration. Both are random: at least the minimum, and less than
		// the sum of minimum and spread.
		minInterval, intervalSpread = 200 * time.Millisecond, 1200 * time.Millisecond
		minDuration, durationSpread = 300 * time.Millisecond, 2500 * time.Millisecond
	)
	var names []string
	done := make(chan struct{})
	started := 0
	deadline := time.Now().Add(length)
	for time.Now().Before(deadline) {
		f := faults[rng.IntN(len(faults))]
		names = append(names, f.name)
		end := f.inject(fleet, rng)
		duration := minDuration + time.Duration(rng.Int64N(int64(durationSpread)))
		started++
		go func() {
			time.Sleep(duration)
			end()
			done <- struct{}{}
		}()
		time.Sleep(minInterval + time.Duration(rng.Int64N(int64(intervalSpread))))
	}
	for range started {
		<-done
	}
	for i, n := range fleet.entries {
		if !n.Running() {
			fleet.disturbances.during(entryName(i), func() func() { return restartAfterExit(n, n.Ended()) })()
		}
	}
	for _, n := range fleet.agents {
		if !n.Running() {
			_ = n.Start()
		}
	}
	return names
}
