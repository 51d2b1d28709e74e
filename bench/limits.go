package main

import (
	"context"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// limitSampleInterval is longer than the interval between load announcements.
const limitSampleInterval = 150 * time.Millisecond

// limitSamples sums what agents announced of their concurrency limits.
type limitSamples struct {
	count           int
	limit, inFlight int
	lowest, highest int
	idle            int
}

// sampleLimits asks an entry for the limits of all agents until ctx ends.
func (l *loadBed) sampleLimits(ctx context.Context) limitSamples {
	var s limitSamples
	ticker := time.NewTicker(limitSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s
		case <-ticker.C:
		}
		status, err := l.bed.Status(ctx, l.bed.Nodes(message.RoleEntry)[0].ID)
		if err != nil {
			continue
		}
		for _, n := range status.Nodes {
			if n.Limit == 0 {
				continue
			}
			if s.count == 0 || n.Limit < s.lowest {
				s.lowest = n.Limit
			}
			if n.InFlight < loadBatch {
				s.idle++
			}
			s.highest = max(s.highest, n.Limit)
			s.count, s.limit, s.inFlight = s.count+1, s.limit+n.Limit, s.inFlight+n.InFlight
		}
	}
}

// figures describes the samples for comparison with the batch of the engines.
func (s limitSamples) figures(prefix string) []figure {
	count := max(float64(s.count), 1)
	return []figure{
		{name: prefix + "mean concurrency limit", value: float64(s.limit) / count, unit: "requests"},
		{name: prefix + "lowest concurrency limit", value: float64(s.lowest), unit: "requests"},
		{name: prefix + "highest concurrency limit", value: float64(s.highest), unit: "requests"},
		{name: prefix + "mean in flight", value: float64(s.inFlight) / count, unit: "requests"},
		{name: prefix + "samples below the batch", value: float64(s.idle) / count, unit: "share"},
	}
}
