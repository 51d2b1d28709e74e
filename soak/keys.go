package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// customerList is the list of customers in a configuration.
type customerList int

const (
	// listedCustomer is the list with one customer, who has callerKey.
	listedCustomer customerList = iota
	emptyList
	nullList
	missingList
)

// unknownKey is a key that no configuration lists.
const unknownKey = "never-listed"

const (
	// The time between two changes of the list, and that from the start of a fault to the second one.
	minListInterval, listIntervalSpread = 100 * time.Millisecond, 1500 * time.Millisecond
	// stoppedEntries is the number of entries that are stopped one after the other.
	stoppedEntries = 2
	publicPath     = "/public/"
)

// accepts reports whether a configuration with the list allows requests with a key on routes that are not public.
func (l customerList) accepts(key string) bool {
	return l == missingList || l == listedCustomer && key == callerKey
}

// addTo adds the list to a configuration. The customer has the given keys.
func (l customerList) addTo(config map[string]any, keys []string) {
	switch l {
	case listedCustomer:
		config["tenants"] = []any{map[string]any{"name": "t", "api_keys": keys}}
	case emptyList:
		config["tenants"] = []any{}
	case nullList:
		config["tenants"] = nil
	case missingList:
	}
}

// keyFaults are the faults beside which lists of customers change. copied is a copy of the store from before the first change of a round.
var keyFaults = []struct {
	name   string
	inject func(fleet *testFleet, rng *rand.Rand, copied standin.StoreCopy)
}{
	{"none", func(*testFleet, *rand.Rand, standin.StoreCopy) {}},
	{"entry killed while the store is away", func(fleet *testFleet, rng *rand.Rand, _ standin.StoreCopy) {
		defer fleet.disturbances.during(storeName, func() func() {
			fleet.store.SetFailStatus(http.StatusServiceUnavailable)
			return func() { fleet.store.SetFailStatus(0) }
		})()
		i := rng.IntN(len(fleet.entries))
		fleet.disturbances.during(entryName(i), func() func() { return killNode(fleet.entries[i]) })()
		time.Sleep(randomTime(rng, minStoreOutage, storeOutageSpread))
	}},
	{"all nodes killed", func(fleet *testFleet, rng *rand.Rand, _ standin.StoreCopy) {
		fleet.restartAll(randomTime(rng, minDowntime, downtimeSpread))
	}},
	{"store restored", func(fleet *testFleet, _ *rand.Rand, copied standin.StoreCopy) { fleet.restoreAndWriteAgain(copied) }},
	{"store restored and all nodes killed", func(fleet *testFleet, rng *rand.Rand, copied standin.StoreCopy) {
		fleet.restoreAndWriteAgain(copied)
		fleet.restartAll(randomTime(rng, minDowntime, downtimeSpread))
	}},
	{"entries stopped in turn, another one reloaded", func(fleet *testFleet, rng *rand.Rand, _ standin.StoreCopy) {
		order := rng.Perm(len(fleet.entries))
		fleet.entries[order[stoppedEntries]].Reload()
		for _, i := range order[:stoppedEntries] {
			fleet.disturbances.during(entryName(i), func() func() {
				ended := fleet.entries[i].Ended()
				go func() { _ = fleet.entries[i].Stop(stopTimeout) }()
				return restartAfterExit(fleet.entries[i], ended)
			})()
		}
	}},
	{"entry paused", func(fleet *testFleet, rng *rand.Rand, _ standin.StoreCopy) {
		i := rng.IntN(len(fleet.entries))
		end := fleet.disturbances.during(entryName(i), func() func() { fleet.entries[i].Pause(); return fleet.entries[i].Resume })
		time.Sleep(randomTime(rng, minStoreOutage, storeOutageSpread))
		end()
	}},
}

// restoreAndWriteAgain restores the store from a copy, and lets the operator write again what it wrote last.
func (fleet *testFleet) restoreAndWriteAgain(copied standin.StoreCopy) {
	fleet.disturbances.during(storeName, func() func() {
		fleet.store.Restore(copied)
		return fleet.writeAgain
	})()
}

// keyProbe is a request with a key, on a public route or another one.
type keyProbe struct {
	callResult
	public bool
}

// keyRun is a run in which the lists of customers change.
type keyRun struct {
	*checker
	// lists holds the lists by the version of the configuration. Versions that are missing list the customer.
	lists  map[int64]customerList
	probes []keyProbe
}

// runKeys changes the list of customers beside callers with and without a listed key, with a fault at a time, until length is over. It returns
// the faults.
func (c *checker) runKeys(seed uint64, options runOptions) (faultNames []string) {
	k := &keyRun{checker: c, lists: map[int64]customerList{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerCount * options.scale {
		callers.Go(func() { k.sendProbes(rand.New(rand.NewPCG(seed, uint64(i+2))), stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	order := rng.Perm(len(keyFaults))
	deadline := time.Now().Add(options.length)
	for i := 0; time.Now().Before(deadline); i++ {
		fault := keyFaults[order[i%len(order)]]
		faultNames = append(faultNames, fault.name)
		copied := c.fleet.store.Copy()
		k.change(rng)
		var injected sync.WaitGroup
		injected.Go(func() { fault.inject(c.fleet, rand.New(rand.NewPCG(seed, rng.Uint64())), copied) })
		time.Sleep(randomTime(rng, minListInterval, listIntervalSpread))
		k.change(rng)
		injected.Wait()
		time.Sleep(max(contactTime, configApply) + observationTime)
	}
	k.set(listedCustomer)
	time.Sleep(configApply) // Requests with the key are rejected until the list is in force.
	c.awaitServing("after the last change of the customers")
	close(stop)
	callers.Wait()
	k.check()
	return faultNames
}

// change publishes another list than the newest one.
func (k *keyRun) change(rng *rand.Rand) {
	others := slices.DeleteFunc([]customerList{listedCustomer, emptyList, nullList, missingList},
		func(l customerList) bool { return l == k.lists[k.fleet.configVersion.Load()] })
	k.set(others[rng.IntN(len(others))])
}

// set publishes a list.
func (k *keyRun) set(l customerList) {
	k.lists[k.fleet.configVersion.Load()+1] = l
	k.fleet.changeConfig(configChange{"customers", func(config *fleetConfig) { config.customers = l }})
}

// sendProbes sends requests with random keys to random entries, over persistent connections, until stop is closed.
func (k *keyRun) sendProbes(rng *rand.Rand, stop <-chan struct{}) {
	cl := k.newCaller()
	defer cl.close()
	keys, paths := []string{callerKey, unknownKey, ""}, []string{"/order/", "/look/", publicPath}
	for sleep(randomTime(rng, minProbePause, probePauseSpread), stop) {
		id, path := k.nextID(), paths[rng.IntN(len(paths))]
		r := cl.sendRequest(callResult{id: id, streamID: id, path: path, entry: rng.IntN(len(k.fleet.entries)), key: keys[rng.IntN(len(keys))]},
			sendPauses{})
		k.mu.Lock()
		k.probes = append(k.probes, keyProbe{r, path == publicPath})
		k.mu.Unlock()
	}
}

// check reports the probes that ran although no list that may have been in force accepts their key, and those that were rejected although all do.
func (k *keyRun) check() {
	for _, p := range k.probes {
		runs := 0
		for _, s := range k.fleet.plainServers() {
			runs += s.Runs(p.id)
		}
		if finding := k.checkProbe(p, runs); finding != "" {
			k.reportf("%s, sent at %s", finding, p.beganAt.Format(logTime))
		}
	}
	if k.boundedRequests == 0 {
		k.reportf("no request was sent when its key had to be refused")
	}
}

// checkProbe returns what is wrong with the answer to a probe, or an empty text. runs is how often servers have run its request.
func (k *keyRun) checkProbe(p keyProbe, runs int) (finding string) {
	accepting, rejecting := k.decisions(p)
	if accepting == 0 {
		k.boundedRequests++
	}
	switch {
	case accepting == 0 && runs > 0:
		return fmt.Sprintf("%s ran %s%s with key %q, which it had to refuse", entryName(p.entry), p.path, p.id, p.key)
	case rejecting == 0 && (p.status == http.StatusUnauthorized || p.status == http.StatusNotFound):
		return fmt.Sprintf("%s rejected %s%s with key %q with status %d", entryName(p.entry), p.path, p.id, p.key, p.status)
	}
	return ""
}

// decisions returns how many of the configurations that may have been in force for a probe accept its key, and how many do not.
func (k *keyRun) decisions(p keyProbe) (accepting, rejecting int) {
	required, bounded := k.requiredConfig(p.beganAt)
	bounded = bounded && k.boundsApply(p.entry, p.beganAt)
	for _, published := range k.fleet.configs.all() {
		if published.sentAt.After(p.endedAt) || bounded && published.version < required.version {
			continue
		}
		if p.public || k.lists[published.version].accepts(p.key) {
			accepting++
		} else {
			rejecting++
		}
	}
	return accepting, rejecting
}
