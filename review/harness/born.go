//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

func init() { cases["born"] = bornCase }

// clockStep is the largest step of the time of day in the standard days of the site.
const clockStep = 2890 * time.Millisecond

// bornCase checks DRAIN for a server that crashes soon after its start and starts again under its ID. With trouble, the time of day of its machine
// is ahead at the first start and jumps back before the second one.
func bornCase(rec *record, trouble bool) bool {
	f := newFleet(fleetShape{entryZones: []string{originZone}, modelZones: []string{originZone}, entries: 2, models: 2}, rec)
	defer f.close()
	added := &modelServer{ModelServer: standin.NewModelServer("i-5d20c3e7", 0), record: rec, address: f.address()}
	f.release(added.address)
	added.EventCount, added.EventInterval, added.LoadTime = 10, 20*time.Millisecond, 300*time.Millisecond
	f.start(f.addAgent("side-zone-a-2", added.address))
	time.Sleep(6 * time.Second)

	announce := func(state string) time.Time {
		f.store.Put("servers/"+added.ID, added.document("pool", originZone, state))
		rec.printf("the store acknowledges that %s is %s", added.ID, state)
		return time.Now()
	}
	if trouble {
		added.start(clockStep)
	} else {
		added.start(0)
	}
	announce("ready")
	time.Sleep(heartbeat)
	announce("ready") // It has loaded its weights.
	time.Sleep(200 * time.Millisecond)
	added.crash()
	time.Sleep(800 * time.Millisecond)
	added.start(0)
	announce("ready")

	t := quotes(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.run(40, 18*time.Second)
	}()
	time.Sleep(4 * time.Second)
	announce("ready") // It has loaded its weights.
	time.Sleep(2 * time.Second)
	acknowledgedAt := announce("draining")
	<-done
	before, late := 0, 0
	var last time.Duration
	for _, a := range added.arrived() {
		after := a.at.Sub(acknowledgedAt)
		switch {
		case after <= 0:
			before++
		case after > drainTime:
			late++
			last = max(last, after)
			rec.printf("DRAIN: request %s reaches %s %v after the acknowledgement", a.id, added.ID, after)
		}
	}
	if before == 0 {
		cannotRun(fmt.Errorf("no request reaches the server before it drains"))
	}
	result := fmt.Sprintf("%d requests reach the server before it drains, %d later than drain_ms after the acknowledgement, the last after %v", before, late, last)
	rec.printf("%s", result)
	fmt.Println(result)
	return late == 0
}
