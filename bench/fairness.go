package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["fairness"] = scenario{
		description: "one caller requests 20 times as much as each of 9 small ones",
		run: func(ctx context.Context, opts options, r *report) error {
			return runLoad(ctx, opts, r, measureFairness)
		},
	}
}

const (
	// minSmallInTime is the target of the design page.
	minSmallInTime = 0.99
	fairnessRun    = 10 * time.Second
	largeFactor    = 20
	// smallLoad makes all callers together request twice the capacity; the small ones together fit.
	smallLoad = 2.0 / (largeFactor + testbed.SmallCallers)
)

// measureFairness lets the large caller use all entries and each small one a single entry.
func measureFairness(ctx context.Context, l *loadBed) []figure {
	demands := []demand{{caller: testbed.LargeCaller, priority: "quote", load: largeFactor * smallLoad}}
	for i := range testbed.SmallCallers {
		entry := l.entries[i%len(l.entries)]
		demands = append(demands, demand{
			caller: fmt.Sprintf("small-%d", i+1), priority: "quote", load: smallLoad, entries: []string{entry},
		})
	}
	out := l.offer(ctx, fairnessRun, demands...)
	requests, inTime, worst := 0.0, 0.0, 1.0
	for _, s := range out[1:] {
		share := s.inTimeShare()
		requests += float64(len(s.results))
		inTime += share * float64(len(s.results))
		worst = min(worst, share)
	}
	return []figure{
		{name: "small callers in time", value: inTime / max(requests, 1), unit: "share", low: minSmallInTime},
		{name: "worst small caller in time", value: worst, unit: "share"},
		{name: "large caller in time", value: out[0].inTimeShare(), unit: "share"},
		{name: "upstreams busy", value: busy(l, out), unit: "share of capacity"},
	}
}
