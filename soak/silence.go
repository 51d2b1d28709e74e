package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// A sound server may hold back all bytes for a random time and go on: at least minSilence, and less than the sum of minSilence and
// silenceSpread. The next silence follows after a random time.
const (
	minSilence, silenceSpread       = time.Second, 500 * time.Millisecond
	minSilenceGap, silenceGapSpread = 100 * time.Millisecond, 400 * time.Millisecond
)

// injectSilences makes random servers silent until stop is closed: one server of a service, half of them or all at once. With declining, the
// other servers of the service decline all requests in half of the silences.
func (fleet *testFleet) injectSilences(rng *rand.Rand, declining bool, stop <-chan struct{}) {
	for sleep(randomTime(rng, minSilenceGap, silenceGapSpread), stop) {
		silent, others := fleet.randomServers(rng)
		fleet.timeline.add(plannedEvent{kind: "silence", entry: anyEntry, servers: silent, at: time.Now()})
		var ends []func()
		for _, name := range silent {
			ends = append(ends, fleet.silences.during(name, func() func() { return fleet.hold(name, "silent") }))
		}
		if declines := rng.IntN(2) == 0; declining && declines && len(others) > 0 {
			fleet.timeline.add(plannedEvent{kind: "decline", entry: anyEntry, servers: others, at: time.Now()})
			ends = append(ends, fleet.decline(others))
		}
		sleep(randomTime(rng, minSilence, silenceSpread), stop)
		for _, end := range ends {
			end()
		}
	}
}

// decline makes servers decline all requests until the returned function is called, without a pause that entries could respect.
func (fleet *testFleet) decline(servers []string) (end func()) {
	set := func(seconds string) {
		for _, m := range fleet.models {
			if slices.Contains(servers, m.ID) {
				m.Availability.SetPause(seconds)
			}
		}
		for _, s := range fleet.plainServers() {
			if slices.Contains(servers, s.ID) {
				s.Availability.SetPause(seconds)
			}
		}
	}
	set(unreadablePause)
	return func() { set("") }
}

// randomServers returns one server, half or all of the servers of a random service as silent, and the others.
func (fleet *testFleet) randomServers(rng *rand.Rand) (silent, others []string) {
	services := [][]string{fleet.modelNames(), serverNames(fleet.desks), serverNames(fleet.stocks)}
	names := services[rng.IntN(len(services))]
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	n := []int{1, (len(names) + 1) / 2, len(names)}[rng.IntN(3)]
	return names[:n], names[n:]
}

func (fleet *testFleet) modelNames() (names []string) {
	for _, m := range fleet.models {
		names = append(names, m.ID)
	}
	return names
}

func serverNames(servers []*standin.PlainServer) (names []string) {
	for _, s := range servers {
		names = append(names, s.ID)
	}
	return names
}
