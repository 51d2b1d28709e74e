package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// Guards against a slow link to an upstream that goes unnoticed: its reports show an idle server, but no attempt begins sooner than
// after 1.5 s. Slow attempts beside fast ones do not count, as more urgent requests may have gone first.
func TestStartDelayIsTheShortestRecentOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tracker := placement.NewTracker(func() time.Time { return now })
	expect := func(want time.Duration, why string) {
		delay, known := tracker.StartDelay("u")
		g.Expect(known).To(BeTrue())
		g.Expect(delay).To(Equal(want), why)
	}
	_, known := tracker.StartDelay("u")
	g.Expect(known).To(BeFalse())
	first := tracker.Begin("u", 0, 100)
	now = now.Add(900 * time.Millisecond)
	expect(900*time.Millisecond, "nothing has begun since the attempt was sent")
	second := tracker.Begin("u", 0, 100)
	now = now.Add(600 * time.Millisecond)
	first.RecordStart()
	expect(1500*time.Millisecond, "the only attempt that began took that long")
	now = now.Add(100 * time.Millisecond)
	second.RecordStart()
	expect(700*time.Millisecond, "another one began sooner")
	third := tracker.Begin("u", 5, 100)
	now = now.Add(300 * time.Millisecond)
	expect(700*time.Millisecond, "an attempt that waits for a shorter time adds nothing")
	third.RecordStart()
	expect(300*time.Millisecond, "the last one began soonest")
	now = now.Add(9 * time.Second)
	expect(300*time.Millisecond, "the delay stays known while the upstream gets no attempts, as when it is left out because of it")
	now = now.Add(2 * time.Second)
	_, known = tracker.StartDelay("u")
	g.Expect(known).To(BeFalse(), "old delays expire")
}

// Guards against a short delay that hides the longer ones since the link became slow.
func TestOlderStartDelayExpiresWithNewAttempts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tracker := placement.NewTracker(func() time.Time { return now })
	for _, delay := range []time.Duration{100, 900, 900, 900} {
		attempt := tracker.Begin("u", 0, 100)
		now = now.Add(delay * time.Millisecond)
		attempt.RecordStart()
		attempt.End(placement.Succeeded)
		now = now.Add(300 * time.Millisecond)
	}
	delay, _ := tracker.StartDelay("u")
	g.Expect(delay).To(Equal(900 * time.Millisecond))
}

// Guards against a message to all entries for each change of the usual, short delays, and against a delay of entries that is lost on the
// way to others.
func TestExportedStartDelay(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tracker := placement.NewTracker(func() time.Time { return now })
	attempt := tracker.Begin("u", 0, 100)
	now = now.Add(250 * time.Millisecond)
	short := tracker.Export()[0]
	g.Expect(short.StartDelayMillis).To(Equal(int64(1)))
	now = now.Add(910 * time.Millisecond)
	long := tracker.Export()[0]
	g.Expect(long.StartDelayMillis).To(Equal(int64(1100)))
	attempt.RecordStart()
	attempt.End(placement.Succeeded)
	g.Expect(tracker.Export()).To(HaveLen(1), "other entries need a long delay also while there are no attempts")
	g.Expect(long.Plus(message.UpstreamWork{Running: 1}).StartDelayMillis).To(Equal(int64(1100)), "an entry that knows nothing")
	g.Expect(message.UpstreamWork{}.Plus(long).StartDelayMillis).To(Equal(int64(1100)))
	g.Expect(long.Plus(short).StartDelayMillis).To(Equal(int64(1)), "an entry whose attempts begin soon")
}
