package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Guards against a change in the mix of streamed and whole responses being taken for congestion, which would lower the limit below
// the engine's batch size.
func TestChangingStreamMixIsNotCongestion(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter(64), time.Unix(1000, 0)
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		stream, latency := true, 30*time.Millisecond
		if i/100%2 == 0 {
			stream, latency = false, 140*time.Millisecond
		}
		l.sample(now, &Item{Cost: 20, Stream: stream, started: now.Add(-latency)}, int(l.limit))
	}
	g.Expect(l.limit).To(BeNumerically("==", 64))
}

// Guards against a pause of the upstream being taken for congestion: stuck requests would soon fill the lowered limit.
func TestPauseIsNotCongestion(t *testing.T) {
	l, now, lowest := newLimiter(8), time.Unix(1000, 0), 8.0
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		latency := 5 * time.Millisecond
		if i >= 100 && i < 104 {
			latency = 1200 * time.Millisecond
		}
		l.sample(now, &Item{Cost: 20, started: now.Add(-latency)}, 8)
		lowest = min(lowest, l.limit)
	}
	NewWithT(t).Expect(lowest).To(BeNumerically("==", 8))
}

// Guards against a limit far above the engine's batch size: requests would wait in the engine, where priorities do not apply.
func TestLimitIsBoundedByBatchSize(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter(64), time.Unix(1000, 0)
	l.setBatchSize(8)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		l.sample(now, &Item{Cost: 20, started: now.Add(-140 * time.Millisecond)}, int(l.limit))
	}
	g.Expect(l.maxInFlight(false)).To(Equal(10))
	g.Expect(l.maxInFlight(true)).To(Equal(10))
	l.setBatchSize(0)
	g.Expect(l.maxLimit).To(BeNumerically("==", 64), "an engine that reports no batch")
}

// Guards against first-byte times of streams lowering the estimate for whole responses: in a flood, every request would start too
// late to meet its target.
func TestWholeResponsesHaveSeparateEstimates(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := New(Config{MaxConcurrency: 1, Now: func() time.Time { return now }})
	q.SetOpen(true, "")
	run := func(stream bool, latency time.Duration) {
		it := &Item{Stream: stream, Start: func() {}}
		q.Push(it)
		now = now.Add(latency)
		q.FirstByte(it)
		q.Done(it, true)
	}
	for range 100 {
		run(true, 20*time.Millisecond)
		run(false, 140*time.Millisecond)
	}
	var dropped []bool
	push := func(stream bool) {
		q.Push(&Item{
			Stream: stream, FirstByteTarget: now.Add(100 * time.Millisecond), Start: func() {},
			Drop: func(message.Reason, time.Duration) { dropped = append(dropped, stream) },
		})
	}
	q.Push(&Item{Start: func() {}})
	push(true)
	push(false)
	q.Expire()
	g.Expect(dropped).To(Equal([]bool{false}))
}
