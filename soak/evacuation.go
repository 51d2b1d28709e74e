package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

const (
	// evacuateBound is the time from the acknowledgement of the key of an evacuation after which no request may reach its data centre.
	evacuateBound = 5 * time.Second
	// The time from the bound to the fault, that for which the store is away, and that from the fault to the removal of the key.
	minFaultDelay, faultDelaySpread       = 0, time.Second
	minStoreOutage, storeOutageSpread     = time.Second, 2 * time.Second
	minEvacuationRest, evacuationSpread   = 1500 * time.Millisecond, 1500 * time.Millisecond
	returnTimeout, evacuationPollInterval = 10 * time.Second, 50 * time.Millisecond
	// restoredTime is the time in which entries learn of a restore of the store and write their checkpoints again.
	restoredTime = 1500 * time.Millisecond
)

// evacuation is a time in which the key of a data centre was in force.
type evacuation struct {
	dataCentre string
	// acknowledgedAt is when the store acknowledged the key, removedAt when the operator sent its removal.
	acknowledgedAt, removedAt time.Time
	fault                     string
	// copied is a copy of the store from before the write of the key.
	copied standin.StoreCopy
}

// evacuationFault is a fault that is injected while a data centre is evacuated.
type evacuationFault struct {
	name   string
	inject func(fleet *testFleet, rng *rand.Rand, e evacuation)
}

var evacuationFaults = []evacuationFault{
	{"none", func(*testFleet, *rand.Rand, evacuation) {}},
	{"entry killed while the store is away", func(fleet *testFleet, rng *rand.Rand, e evacuation) {
		fleet.store.SetFailStatus(http.StatusServiceUnavailable)
		i := rng.IntN(len(fleet.entries))
		for dataCentreName(i) != e.dataCentre { // Entries of another one would hardly send requests there in any case.
			i = rng.IntN(len(fleet.entries))
		}
		fleet.disturbances.during(entryName(i), func() func() { return killNode(fleet.entries[i]) })()
		time.Sleep(randomTime(rng, minStoreOutage, storeOutageSpread))
		fleet.store.SetFailStatus(0)
	}},
	{"all nodes killed", func(fleet *testFleet, rng *rand.Rand, _ evacuation) {
		fleet.restartAll(randomTime(rng, minDowntime, downtimeSpread))
	}},
	{"store restored", func(fleet *testFleet, _ *rand.Rand, e evacuation) {
		fleet.store.Restore(e.copied)
		fleet.writeAgain()
	}},
	{"store restored and all nodes killed", func(fleet *testFleet, rng *rand.Rand, e evacuation) {
		fleet.store.Restore(e.copied)
		fleet.writeAgain()
		time.Sleep(restoredTime)
		fleet.restartAll(randomTime(rng, minDowntime, downtimeSpread))
	}},
}

// runEvacuations evacuates random data centres beside callers, each with a fault, until all faults have been injected once and length is over. It
// returns the faults.
func (c *checker) runEvacuations(seed uint64, options runOptions) (faultNames []string) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerCount * options.scale {
		callers.Go(func() { c.sendRequests(rand.New(rand.NewPCG(seed, uint64(i+2))), stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	order := rng.Perm(len(evacuationFaults))
	deadline := time.Now().Add(options.length)
	for i := 0; i < len(order) || time.Now().Before(deadline); i++ {
		e := c.fleet.evacuate(rng, evacuationFaults[order[i%len(order)]])
		c.checkEvacuation(e)
		c.awaitReturn(e)
		faultNames = append(faultNames, e.fault)
	}
	close(stop)
	callers.Wait()
	c.awaitServing("after the last evacuation")
	return faultNames
}

// evacuate writes the key of a random data centre, injects a fault and removes the key. A store that has lost the key gets it again before: the
// removal of a key that does not exist is no change.
func (fleet *testFleet) evacuate(rng *rand.Rand, fault evacuationFault) evacuation {
	e := evacuation{dataCentre: dataCentreName(rng.IntN(dataCentres)), fault: fault.name, copied: fleet.store.Copy()}
	key := "op/evacuate/" + e.dataCentre
	fleet.store.Put(key, struct{}{})
	e.acknowledgedAt = time.Now()
	time.Sleep(evacuateBound + randomTime(rng, minFaultDelay, faultDelaySpread))
	fault.inject(fleet, rng, e)
	time.Sleep(randomTime(rng, minEvacuationRest, evacuationSpread))
	if len(fleet.store.Keys(key)) == 0 {
		fleet.store.Put(key, struct{}{})
		time.Sleep(minEvacuationRest)
	}
	e.removedAt = time.Now()
	fleet.store.Remove(key)
	return e
}

// availabilities returns the requests of all servers, by data centre.
func (fleet *testFleet) availabilities(dataCentre string) (inside, outside []*standin.Availability) {
	add := func(i int, a *standin.Availability) {
		if dataCentreName(i) == dataCentre {
			inside = append(inside, a)
		} else {
			outside = append(outside, a)
		}
	}
	for i, m := range fleet.models {
		add(i, &m.Availability)
	}
	for i, s := range fleet.plainServers() {
		add(i, &s.Availability)
	}
	return inside, outside
}

// checkEvacuation reports the requests that reached an evacuated data centre, and an evacuation in which there were none at all.
func (c *checker) checkEvacuation(e evacuation) {
	late, served := 0, 0
	inside, outside := c.fleet.availabilities(e.dataCentre)
	for _, a := range inside {
		late += e.countLate(a.Record())
	}
	for _, a := range outside {
		served += e.countLate(a.Record())
	}
	if late > 0 {
		c.reportf("%d requests reached %s, which was evacuated at %s (fault: %s)", late, e.dataCentre, e.acknowledgedAt.Format(logTime), e.fault)
	}
	if served == 0 {
		c.reportf("no requests reached other data centres than %s, which was evacuated (fault: %s)", e.dataCentre, e.fault)
	}
}

// countLate counts the requests that reached a server while none may reach one in the evacuated data centre.
func (e evacuation) countLate(arrivals []standin.Arrival) (late int) {
	for _, a := range arrivals {
		if !a.Misdirected && a.At.Sub(e.acknowledgedAt) > evacuateBound && a.At.Before(e.removedAt) {
			late++
		}
	}
	return late
}

// awaitReturn waits until requests reach the data centre again and reports if they do not.
func (c *checker) awaitReturn(e evacuation) {
	inside, _ := c.fleet.availabilities(e.dataCentre)
	isUsed := func(a *standin.Availability) bool { return a.Arrivals(e.removedAt) > 0 }
	for deadline := time.Now().Add(returnTimeout); !slices.ContainsFunc(inside, isUsed); time.Sleep(evacuationPollInterval) {
		if time.Now().After(deadline) {
			c.reportf("no requests reached %s within %s of the end of its evacuation (fault: %s)", e.dataCentre, returnTimeout, e.fault)
			return
		}
	}
}
