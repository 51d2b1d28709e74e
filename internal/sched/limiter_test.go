package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a limit below the engine's batch because the mix of streamed and whole answers changes.
func TestMixOfStreamsIsNotCongestion(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter(64), time.Unix(1000, 0)
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		stream, latency := true, 30*time.Millisecond
		if i/100%2 == 0 {
			stream, latency = false, 140*time.Millisecond
		}
		l.sample(now, &Item{Cost: 20, Stream: stream}, latency, int(l.limit))
	}
	g.Expect(l.limit).To(BeNumerically("==", 64))
}

// Guards against requests that wait in the engine, where the queue's priorities do not reach them.
func TestLimitStaysWithinTheBatch(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter(64), time.Unix(1000, 0)
	l.setBatch(8)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		l.sample(now, &Item{Cost: 20}, 140*time.Millisecond, int(l.limit))
	}
	g.Expect(l.allowed(false)).To(Equal(10))
	g.Expect(l.allowed(true)).To(Equal(10))
	l.setBatch(0)
	g.Expect(l.ceiling).To(BeNumerically("==", 64), "an engine that reports no batch")
}
