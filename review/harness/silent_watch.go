//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the settings.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// configApplyTime is config_apply_ms.
	configApplyTime = 2 * time.Second
)

// watcher returns the entry that watches the store.
func (f *fleet) watcher() *process {
	for {
		for _, p := range f.entries {
			if p.store.watches() {
				return p
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func init() { cases["silent-watch"] = silentWatchCase }

// silentWatchCase checks DRAIN for a server that announces that it leaves. With trouble, the channel to the store on which the list of servers is
// watched has gone silent just before.
func silentWatchCase(rec *record, trouble bool) bool {
	f := newFleet(fleetShape{entryZones: []string{originZone}, entries: 2, desks: 2, deskSlots: 6, deskQueue: 24, deskWork: 20 * time.Millisecond},
		rec)
	defer f.close()
	t := &traffic{fleet: f, host: "stock.example", path: "/stock/1", method: http.MethodGet, deadline: time.Second, key: "key-1"}
	time.Sleep(8 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.run(40, 16*time.Second)
	}()
	time.Sleep(4 * time.Second)
	silencedAt := time.Now()
	if trouble {
		silencedAt = f.watcher().store.silence()
	}
	time.Sleep(300 * time.Millisecond)
	leaving := f.desks[0]
	acknowledgedAt := f.announceDesk(leaving, "draining")
	<-done

	// The silence counts as a reset of the channels: for contactTime after it, the machines are not in touch.
	judgedFrom := silencedAt.Add(contactTime)
	late, inTouch, before := 0, 0, 0
	for _, a := range leaving.arrived() {
		if a.at.Before(acknowledgedAt) {
			before++
		}
		if !a.at.After(acknowledgedAt.Add(drainTime)) {
			continue
		}
		late++
		if sentAt, ok := t.sentAt(a.id); ok && sentAt.After(judgedFrom) {
			inTouch++
			rec.printf("DRAIN: request %s, sent by the consumer %v after the silence, reaches %s %v after the acknowledgement", a.id,
				sentAt.Sub(silencedAt), leaving.id, a.at.Sub(acknowledgedAt))
		}
	}
	if before == 0 {
		cannotRun(fmt.Errorf("no request reaches the server before it drains"))
	}
	result := fmt.Sprintf("%d requests reach the leaving server later than drain_ms after the acknowledgement, %d of them from machines in touch", late, inTouch)
	rec.printf("%s", result)
	fmt.Println(result)
	return inTouch == 0
}
