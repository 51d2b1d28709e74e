package directpath

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
)

// rolloutTestStart is when the newest version is named in the tests of rollout.
var rolloutTestStart = time.Unix(1000, 0)

// stalledRollout returns a rollout whose newest version, named at rolloutTestStart, has no chunk yet, while the previous version is
// cached and may be used for 7.6 s.
func stalledRollout() rollout {
	return rollout{newest: fleet.VersionRecord{NamedVersion: catalog.NamedVersion{Model: "m", Version: 3}, NamedAt: rolloutTestStart},
		previousShare: 1, previousUsableUntil: rolloutTestStart.Add(7600 * time.Millisecond)}
}

// Guards against an upstream that has no version that may be used because the newest one cannot be fetched, and against one that
// loads the previous version although the newest one is on its way.
func TestFallBackOnlyWhileTheNewestVersionStalls(t *testing.T) {
	g := NewWithT(t)
	second := rolloutTestStart.Add(time.Second)
	g.Expect(stalledRollout().shouldFallBack(second)).To(BeTrue())
	g.Expect(stalledRollout().shouldFallBack(rolloutTestStart.Add(700*time.Millisecond))).To(BeFalse(), "named too recently")
	for reason, change := range map[string]func(*rollout){
		"a chunk has just arrived":                 func(r *rollout) { r.lastChunkAt = second.Add(-500 * time.Millisecond) },
		"the newest version is cached":             func(r *rollout) { r.newestShare = 1 },
		"the upstream serves one of the two":       func(r *rollout) { r.loaded = true },
		"less than half of the previous is cached": func(r *rollout) { r.previousShare = 0.4 },
	} {
		r := stalledRollout()
		change(&r)
		g.Expect(r.shouldFallBack(second)).To(BeFalse(), reason)
	}
}

// Guards against a previous version that is staged and loaded when no request may begin on it any more: one agent ordered such a load
// 8.7 s after the newer version was named, and a request that waited at the server began on it.
func TestPreviousVersionHasToServeInTime(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) time.Time { return rolloutTestStart.Add(time.Duration(ms) * time.Millisecond) }
	r := stalledRollout()
	g.Expect(r.shouldFallBack(at(6200))).To(BeTrue(), "staged, it is used for 0.6 s until entries leave it out")
	g.Expect(r.shouldFallBack(at(6400))).To(BeFalse(), "staged, it would be used for 0.4 s")
	g.Expect(r.shouldFallBack(at(8690))).To(BeFalse(), "its use has ended")
	r.previousShare = 0.5
	g.Expect(r.shouldFallBack(at(4900))).To(BeTrue(), "half of it is staged within 1.25 s")
	g.Expect(r.shouldFallBack(at(5500))).To(BeFalse(), "half of it is not staged in time")
	r.previousTurn = at(6000)
	g.Expect(r.shouldFallBack(at(1000))).To(BeTrue(), "the turn of the upstream comes early enough")
	r.previousTurn = at(6500)
	g.Expect(r.shouldFallBack(at(1000))).To(BeFalse(), "the turn of the upstream comes too late")
}

// Guards against agents that alternate between two versions while chunks of the newest one arrive with pauses, and load neither.
func TestFallBackIsNotAbandonedForSingleChunks(t *testing.T) {
	g := NewWithT(t)
	now := rolloutTestStart.Add(2 * time.Second)
	r := stalledRollout()
	r.previousShare, r.newestShare, r.lastChunkAt = 0.9, 0.2, now.Add(-100*time.Millisecond)
	g.Expect(r.shouldFallBack(now)).To(BeFalse(), "the newest version arrives, and the previous one was not begun")
	r.fallingBack = true
	g.Expect(r.shouldFallBack(now)).To(BeTrue(), "the previous version is almost staged")
	r.newestShare = 1
	g.Expect(r.shouldFallBack(now)).To(BeFalse(), "the newest version can be staged at once")
	r.newestShare = 0.2
	g.Expect(r.shouldFallBack(rolloutTestStart.Add(7*time.Second))).To(BeFalse(), "the use of the previous version ends")
}
