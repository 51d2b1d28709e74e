package main

import (
	"slices"
	"sync"
	"time"
)

// publication is a version that the operator has published.
type publication struct {
	version int64
	// sentAt is when the operator sent the first write of the version, acknowledgedAt when the store acknowledged one.
	sentAt, acknowledgedAt time.Time
}

// publications are the versions of one thing that the operator has published, in ascending order. The zero value is ready for use.
type publications struct {
	mu   sync.Mutex
	list []publication
}

// add records a publication, unless it repeats an earlier one.
func (p *publications) add(published publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.list); n == 0 || p.list[n-1].version < published.version {
		p.list = append(p.list, published)
	}
}

// all returns all publications.
func (p *publications) all() []publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// operatorRetryInterval is the time after which the operator repeats a write that got no answer.
const operatorRetryInterval = 20 * time.Millisecond

// publish writes a version to a key of the store until the store acknowledges it, and records that. The caller holds operatorMu.
func (fleet *testFleet) publish(published *publications, version int64, key string, document any) {
	sent := time.Now()
	if fleet.lateCopyAfter > 0 {
		fleet.store.PutWithLateCopy(key, document, fleet.lateCopyAfter)
	} else {
		for fleet.store.Put(key, document) == 0 {
			time.Sleep(operatorRetryInterval)
		}
	}
	published.add(publication{version: version, sentAt: sent, acknowledgedAt: time.Now()})
}

// publishNextVersion publishes the next version of the model in the store.
func (fleet *testFleet) publishNextVersion() {
	fleet.operatorMu.Lock()
	defer fleet.operatorMu.Unlock()
	fleet.newestVersion++
	fleet.writeVersion()
}

// writeVersion writes the newest version of the model to the store. The caller holds operatorMu.
func (fleet *testFleet) writeVersion() {
	fleet.publish(&fleet.versions, fleet.newestVersion, "op/version/m", map[string]any{"model": "m", "version": fleet.newestVersion})
}

// setLateCopies sets the delay of the late copies of the operator's next writes, 0 for none.
func (fleet *testFleet) setLateCopies(delay time.Duration) {
	fleet.operatorMu.Lock()
	defer fleet.operatorMu.Unlock()
	fleet.lateCopyAfter = delay
}
