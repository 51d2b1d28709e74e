//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// recoverTime is recover_s of the settings.
	recoverTime = 12 * time.Second
	requestRate = 20
)

func init() { cases["manifest"] = manifestCase }

// manifestCase checks RECOVER after a loss of power of all machines. With trouble, the first manifest that the origin sends after it is spoiled.
func manifestCase(rec *record, trouble bool) bool {
	f := newFleet(fleetShape{entryZones: []string{originZone, "zone-b"}, modelZones: []string{"zone-b"}, entries: 4, models: 4}, rec)
	defer f.close()
	t := quotes(f)
	time.Sleep(4 * time.Second)
	f.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	rec.printf("version 2 is named")
	time.Sleep(9 * time.Second)
	sentBefore, servedBefore := t.run(requestRate, 5*time.Second)
	rec.printf("before: %d of %d requests are served", servedBefore, sentBefore)

	if servedBefore*4 < sentBefore {
		cannotRun(fmt.Errorf("only %d of %d requests are served before the final fault", servedBefore, sentBefore))
	}
	rec.printf("all machines lose power")
	for _, p := range f.processes() {
		f.kill(p)
	}
	for _, m := range f.models {
		m.Restart()
	}
	time.Sleep(time.Second)
	if trouble {
		f.origin.spoilNextManifest("2")
	}
	for _, p := range f.processes() {
		f.writeSettings(p, false)
		f.start(p)
	}
	rec.printf("all machines are back")
	time.Sleep(recoverTime)
	sent, served := t.run(requestRate, 20*time.Second)
	result := fmt.Sprintf("later than recover_s: %d of %d requests are served", served, sent)
	rec.printf("%s", result)
	fmt.Println(result)
	return served*4 >= sent
}
