package placement_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// bookingTarget, bookingSlots and bookingWork are those of the booking service of deployment T.
const (
	bookingTarget = 150 * time.Millisecond
	bookingSlots  = 6
	bookingWork   = 15 * time.Millisecond
)

// bookingUpstream is an upstream of the booking service on virtual time. It is slow in turns.
type bookingUpstream struct {
	*catalog.Upstream
	slowdown float64
	queue    []*booking
}

// booking is a request. left is the work that is left, entry and sent are where and when it was placed.
type booking struct {
	entry int
	sent  time.Duration
	left  time.Duration
}

// bookingEntry is what an entry knows: its own requests and the observations from its responses.
type bookingEntry struct {
	running  map[string]int
	observed *loadview.ObservedTable
}

// playBookings plays one minute of the booking service of deployment T: 41 entries and one upstream in each of 3 data centres, 15 of 100
// slow at a time, 2.5 times, changing every 0.6 s. It returns the share of the requests that were answered within the target.
func playBookings(perSecond float64, useHeader bool, seed uint64) float64 {
	const entries, dataCentres, step, length = 41, 3, time.Millisecond, time.Minute
	const slowShare, slowFactor, turn = 0.15, 2.5, 600 * time.Millisecond
	const remoteTime = 8 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	var now time.Duration
	clock := func() time.Time { return time.Time{}.Add(time.Hour + now) }
	var upstreams []*bookingUpstream
	for i := range dataCentres {
		id := "u" + strconv.Itoa(i)
		upstreams = append(upstreams, &bookingUpstream{Upstream: &catalog.Upstream{ID: id, DataCentre: strconv.Itoa(i), Slots: bookingSlots}})
	}
	all := make([]bookingEntry, entries)
	for i := range all {
		all[i] = bookingEntry{running: map[string]int{}, observed: loadview.NewObservedTable(clock)}
	}
	total, inTime := 0, 0
	for ; now < length; now += step {
		for i, u := range upstreams {
			if (now+time.Duration(i)*turn/dataCentres)%turn == 0 {
				u.slowdown = 1
				if random.Float64() < slowShare {
					u.slowdown = slowFactor
				}
			}
			u.run(step, func(b *booking) {
				e := all[b.entry]
				e.running[u.ID]--
				took := now - b.sent
				if b.entry%dataCentres != i {
					took += remoteTime
				}
				total++
				if took <= bookingTarget {
					inTime++
				}
				if useHeader {
					running := min(len(u.queue), bookingSlots)
					e.observed.Record(u.ID, 0, loadview.Observation{Running: running, Waiting: len(u.queue) - running, Slots: bookingSlots,
						Slowdown: u.slowdown})
				}
			})
		}
		if random.Float64() < perSecond*step.Seconds() {
			entry := random.IntN(entries)
			u := placeBooking(all, entry, dataCentres, upstreams)
			all[entry].running[u.ID]++
			u.queue = append(u.queue, &booking{entry: entry, sent: now, left: bookingWork})
		}
	}
	return float64(inTime) / float64(total)
}

// run lets an upstream work for a time and reports the requests that end.
func (u *bookingUpstream) run(step time.Duration, ended func(*booking)) {
	for i := 0; i < min(len(u.queue), bookingSlots); i++ {
		u.queue[i].left -= time.Duration(float64(step) / u.slowdown)
	}
	var rest, done []*booking
	for _, b := range u.queue {
		if b.left <= 0 {
			done = append(done, b)
		} else {
			rest = append(rest, b)
		}
	}
	u.queue = rest
	for _, b := range done {
		ended(b)
	}
}

// placeBooking places a request of an entry, which knows the work of the entries of its data centre.
func placeBooking(all []bookingEntry, entry, dataCentres int, upstreams []*bookingUpstream) *bookingUpstream {
	var candidates []placement.Candidate
	for i, u := range upstreams {
		c := placement.Candidate{Upstream: u.Upstream, Local: entry%dataCentres == i}
		c.Work.OwnRunning = all[entry].running[u.ID]
		for other := range all {
			if other != entry && other%dataCentres == entry%dataCentres {
				c.Work.OthersRunning += all[other].running[u.ID]
			}
		}
		if o, age, ok := all[entry].observed.Get(u.ID, 0); ok {
			c.Work.Observed = placement.Observation{Known: true, Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Slowdown: o.Slowdown, Age: age}
			c.Work.Slowdown = c.Work.Observed.ExpectedSlowdown()
		}
		candidates = append(candidates, c)
	}
	d := placement.Choose(placement.Query{Target: bookingTarget, Remaining: time.Second}, candidates)
	for _, u := range upstreams {
		if u.Upstream == d.Upstream {
			return u
		}
	}
	return upstreams[entry%dataCentres]
}

// Guards against requests that wait at a slow upstream while others have room, and against observations that make it worse. Load covered:
// the booking service of deployment T at half and two thirds of its capacity, which is more than a slow upstream takes of its data centre.
func TestBookingsAvoidSlowUpstreams(t *testing.T) {
	g := NewWithT(t)
	for _, perSecond := range []float64{600, 800} {
		for seed := range uint64(3) {
			before, now := playBookings(perSecond, false, seed), playBookings(perSecond, true, seed)
			t.Logf("%v a second, seed %d: share in time %.4f without observations, %.4f with them", perSecond, seed, before, now)
			g.Expect(now).To(BeNumerically(">", before))
		}
	}
}

// observedCandidate returns a local upstream with an observation, or without one if slowdown is 0.
func observedCandidate(id string, slowdown float64, running int, age time.Duration) placement.Candidate {
	c := placement.Candidate{Upstream: &catalog.Upstream{ID: id, Slots: bookingSlots}, Local: true}
	if slowdown > 0 {
		c.Work.Observed = placement.Observation{Known: true, Running: running, Slots: bookingSlots, Slowdown: slowdown, Age: age}
		c.Work.Slowdown = c.Work.Observed.ExpectedSlowdown()
	}
	return c
}

// Guards against an upstream that is preferred although it was slow or full a moment ago, against one that is avoided for good because it gets
// no requests any more, and against choices that change where upstreams state no load.
func TestObservationsLoseWeight(t *testing.T) {
	query := placement.Query{Target: bookingTarget, Remaining: time.Second}
	for name, c := range map[string]struct {
		worse, better placement.Candidate
		// always is set if the better one is always chosen, otherwise both are.
		always bool
	}{
		"slow":              {observedCandidate("a", 2.5, 0, 100*time.Millisecond), observedCandidate("b", 1, 0, 0), true},
		"slow and unknown":  {observedCandidate("a", 2.5, 0, 100*time.Millisecond), observedCandidate("b", 0, 0, 0), true},
		"full":              {observedCandidate("a", 1, 6, 100*time.Millisecond), observedCandidate("b", 1, 0, 0), true},
		"slow 3 s ago":      {observedCandidate("a", 2.5, 0, 3*time.Second), observedCandidate("b", 1, 0, 0), false},
		"full 3 s ago":      {observedCandidate("a", 1, 6, 3*time.Second), observedCandidate("b", 1, 0, 0), false},
		"without any load":  {observedCandidate("a", 0, 0, 0), observedCandidate("b", 0, 0, 0), false},
		"faster than usual": {observedCandidate("a", 0.2, 0, 0), observedCandidate("b", 1, 0, 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			chosen := map[string]int{}
			for range 200 {
				chosen[placement.Choose(query, []placement.Candidate{c.worse, c.better}).Upstream.ID]++
			}
			if NewWithT(t).Expect(chosen["b"]).NotTo(BeZero()); c.always != (chosen["a"] == 0) {
				t.Fatalf("chosen: %v", chosen)
			}
		})
	}
}

// Guards against requests that are refused because of what an upstream without an engine states: how long a request takes there is assumed.
func TestObservationRefusesNoRequest(t *testing.T) {
	g := NewWithT(t)
	c := observedCandidate("a", 100, 1<<20, 0)
	d := placement.Choose(placement.Query{Target: bookingTarget, Remaining: 100 * time.Millisecond}, []placement.Candidate{c})
	g.Expect(d.Upstream).NotTo(BeNil())
	g.Expect(d.PredictedWait).To(BeNumerically(">", time.Second))
}
