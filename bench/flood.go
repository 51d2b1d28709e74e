package main

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

func init() {
	scenarios["flood"] = scenario{
		description: "10 times flood of the least, then of the most urgent priority",
		run: func(ctx context.Context, opts options, r *report) error {
			return runLoad(ctx, opts, r, measureFlood)
		},
	}
}

// Targets of the design page.
const (
	minUrgentOfFit = 0.99
	minOfFloor     = 0.9
	minBusy        = 0.95
)

const (
	floodLoad = 10
	floodRun  = 5 * time.Second
	// Loads of the priorities that do not flood. All are above the floor; the urgent one is below its share.
	calmUrgent, calmOther = 0.3, 0.15
)

// measureFlood floods with the least urgent priority, then with the most urgent one.
func measureFlood(ctx context.Context, l *loadBed) []figure {
	out := l.offer(ctx, floodRun,
		demand{caller: "small-1", priority: "urgent", load: calmUrgent},
		demand{caller: "small-2", priority: "quote", load: calmOther},
		demand{caller: testbed.LargeCaller, priority: "draft", load: floodLoad},
	)
	figures := []figure{
		{name: "draft flood: urgent in time", value: out[0].inTimeShare(), unit: "share", low: minUrgentOfFit},
		{name: "draft flood: quote of floor", value: ofFloor(l, out[1]), unit: "ratio", low: minOfFloor},
		{name: "draft flood: draft of floor", value: ofFloor(l, out[2]), unit: "ratio", low: minOfFloor},
		{name: "draft flood: upstreams busy", value: busy(l, out), unit: "share of capacity", low: minBusy},
	}
	figures = append(figures, l.limits.figures("draft flood: ")...)
	out = l.offer(ctx, floodRun,
		demand{caller: testbed.LargeCaller, priority: "urgent", load: floodLoad},
		demand{caller: "small-2", priority: "quote", load: calmOther},
		demand{caller: "small-1", priority: "draft", load: calmOther},
	)
	urgent, _ := out[0].rate()
	// What the others demand is above their floors and is served in full; urgent work has the rest, and its share at least.
	_, quote := out[1].rate()
	_, draft := out[2].rate()
	fits := max(urgentShare*l.capacity, l.capacity-quote-draft)
	figures = append(figures, l.limits.figures("urgent flood: ")...)
	return append(figures,
		figure{name: "urgent flood: urgent of what fits", value: urgent / fits, unit: "ratio", low: minUrgentOfFit},
		figure{name: "urgent flood: quote of floor", value: ofFloor(l, out[1]), unit: "ratio", low: minOfFloor},
		figure{name: "urgent flood: draft of floor", value: ofFloor(l, out[2]), unit: "ratio", low: minOfFloor},
		figure{name: "urgent flood: upstreams busy", value: busy(l, out), unit: "share of capacity", low: minBusy},
	)
}

// ofFloor is the rate of in-time answers relative to the floor of the priority.
func ofFloor(l *loadBed, s *served) float64 {
	inTime, _ := s.rate()
	return inTime / (anyFloor * l.capacity)
}
