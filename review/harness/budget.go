//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"syscall"
	"time"
)

// The retry budget of the settings.
const (
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 104
)

func init() { cases["budget"] = budgetCase }

// budgetCase checks BUDGET while a burst keeps the servers of a service full. With trouble, all entries are killed at once in the burst.
func budgetCase(rec *record, trouble bool) bool {
	f := newFleet(fleetShape{entryZones: []string{originZone}, entries: 4, desks: 3, deskSlots: 2, deskQueue: 1, deskWork: 500 * time.Millisecond}, rec)
	defer f.close()
	t := &traffic{fleet: f, host: "stock.example", path: "/stock/1", method: http.MethodGet, deadline: time.Second, key: "key-1"}
	const usualRate, burstRate = 10, 23 // x 2.3 is the largest burst of the standard days.
	time.Sleep(5 * time.Second)
	t.run(usualRate, 12*time.Second)
	rec.printf("the burst begins")
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.run(burstRate, 12*time.Second)
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		rec.printf("all entries are killed")
		for _, p := range f.entries {
			f.signal(p, syscall.SIGKILL)
		}
		for _, p := range f.entries {
			<-p.ended
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range f.entries {
			f.writeSettings(p, false)
			f.start(p)
		}
	}
	<-done
	t.run(usualRate, 3*time.Second)
	return budgetHeld(f, t)
}

// budgetHeld reports whether each window keeps to the budget.
func budgetHeld(f *fleet, t *traffic) bool {
	var requests, repeats []time.Time
	t.times.Range(func(_, at any) bool { requests = append(requests, at.(time.Time)); return true })
	var arrivals []arrival
	for _, d := range f.desks {
		arrivals = append(arrivals, d.arrived()...)
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	seen := map[string]bool{}
	for _, a := range arrivals {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	count := func(list []time.Time, from time.Time) (n int) {
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstText := 0.0, ""
	for _, first := range repeats {
		sent := max(count(requests, first), count(requests, first.Add(-budgetWindow/2)), count(requests, first.Add(-budgetWindow)))
		allowed := budgetRatio*float64(sent) + budgetSlack
		if used := count(repeats, first); float64(used)/allowed > worst {
			worst = float64(used) / allowed
			worstText = fmt.Sprintf("from %.1f s on, %d arrivals beyond the first of each request, %.0f allowed for %d requests",
				first.Sub(f.record.start).Seconds(), used, allowed, sent)
		}
	}
	f.record.printf("the worst window: %s", worstText)
	fmt.Println("the worst window:", worstText)
	return worst <= 1
}
