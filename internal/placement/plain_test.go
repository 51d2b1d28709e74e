package placement_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// Figures of the booking service of deployment T, with one upstream in each data centre. remoteTime is the assumed latency to another one.
const (
	bookingTarget, bookingWork, remoteTime = 150 * time.Millisecond, 15 * time.Millisecond, 8 * time.Millisecond
	bookingSlots, entries, dataCentres     = 6, 41, 3
	slowShare, slowFactor, slowTurn        = 0.15, 2.5, 600 * time.Millisecond
)

// booking is a request of an entry that has been sent to an upstream. left is the work that is left.
type booking struct {
	entry      int
	sent, left time.Duration
}

// bookings is the booking service on virtual time: for each upstream its slowdown and its requests, in the order of their arrival; for each
// entry its observations and the requests that it has at each upstream.
type bookings struct {
	now       time.Duration
	random    *rand.Rand
	upstreams [dataCentres]*catalog.Upstream
	slowdown  [dataCentres]float64
	queue     [dataCentres][]booking
	observed  [entries]*loadview.ObservedTable
	running   [entries][dataCentres]int
}

// candidate describes an upstream to an entry, which knows the work of the entries of its data centre.
func (b *bookings) candidate(entry, upstream int) placement.Candidate {
	c := placement.Candidate{Upstream: b.upstreams[upstream], Local: entry%dataCentres == upstream}
	c.Work.OwnRunning = b.running[entry][upstream]
	for other := entry % dataCentres; other < entries; other += dataCentres {
		c.Work.OthersRunning += b.running[other][upstream]
	}
	c.Work.OthersRunning -= c.Work.OwnRunning
	if o, age, ok := b.observed[entry].Get(c.Upstream.ID, 0); ok {
		c.Work.Observed = placement.Observation{Known: true, Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Slowdown: o.Slowdown, Age: age}
		c.Work.Slowdown = c.Work.Observed.ExpectedSlowdown()
	}
	return c
}

// place sends a request of an entry to the upstream that package placement chooses.
func (b *bookings) place(entry int) {
	candidates := []placement.Candidate{b.candidate(entry, 0), b.candidate(entry, 1), b.candidate(entry, 2)}
	chosen := placement.Choose(placement.Query{Target: bookingTarget, Remaining: time.Second}, candidates).Upstream
	i := slices.Index(b.upstreams[:], chosen)
	b.queue[i] = append(b.queue[i], booking{entry: entry, sent: b.now, left: bookingWork})
	b.running[entry][i]++
}

// work lets an upstream work for a time. It returns the requests that end.
func (b *bookings) work(i int, step time.Duration) (ended []booking) {
	for j := range min(len(b.queue[i]), bookingSlots) {
		b.queue[i][j].left -= time.Duration(float64(step) / b.slowdown[i])
	}
	isDone := func(r booking) bool { return r.left <= 0 }
	for _, r := range b.queue[i] {
		if isDone(r) {
			ended = append(ended, r)
			b.running[r.entry][i]--
		}
	}
	b.queue[i] = slices.DeleteFunc(b.queue[i], isDone)
	return ended
}

// playBookings plays one minute and returns the share of the requests that are answered within the target.
func playBookings(perSecond float64, observe bool, seed uint64) float64 {
	const step = time.Millisecond
	b := &bookings{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range b.upstreams {
		b.upstreams[i] = &catalog.Upstream{ID: strconv.Itoa(i), Slots: bookingSlots}
	}
	for i := range b.observed {
		b.observed[i] = loadview.NewObservedTable(func() time.Time { return time.Unix(1000, 0).Add(b.now) })
	}
	total, inTime := 0, 0
	for ; b.now < time.Minute; b.now += step {
		for i, u := range b.upstreams {
			if (b.now+time.Duration(i)*slowTurn/dataCentres)%slowTurn == 0 {
				b.slowdown[i] = 1
				if b.random.Float64() < slowShare {
					b.slowdown[i] = slowFactor
				}
			}
			for _, r := range b.work(i, step) {
				took := b.now - r.sent
				if r.entry%dataCentres != i {
					took += remoteTime
				}
				if total++; took <= bookingTarget {
					inTime++
				}
				if running := min(len(b.queue[i]), bookingSlots); observe {
					b.observed[r.entry].Record(u.ID, 0, loadview.Observation{Running: running, Waiting: len(b.queue[i]) - running,
						Slots: bookingSlots, Slowdown: b.slowdown[i]})
				}
			}
		}
		if b.random.Float64() < perSecond*step.Seconds() {
			b.place(b.random.IntN(entries))
		}
	}
	return float64(inTime) / float64(total)
}

// Guards against requests that wait at a slow upstream while others have room, and against observations that make it worse. Load covered:
// the booking service of deployment T at half and two thirds of its capacity, which is more than a slow upstream takes of its data centre.
func TestBookingsAvoidSlowUpstreams(t *testing.T) {
	for _, perSecond := range []float64{600, 800} {
		for seed := range uint64(3) {
			before, now := playBookings(perSecond, false, seed), playBookings(perSecond, true, seed)
			t.Logf("%v a second, seed %d: share in time %.4f without observations, %.4f with them", perSecond, seed, before, now)
			NewWithT(t).Expect(now).To(BeNumerically(">", before))
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
// no requests any more, against choices that change where upstreams state no load, and against refusals because of what an upstream states.
func TestObservationsLoseWeight(t *testing.T) {
	const recent, old = 100 * time.Millisecond, 3 * time.Second
	idle, unknown := observedCandidate("b", 1, 0, 0), observedCandidate("b", 0, 0, 0)
	for name, c := range map[string]struct {
		worse, better placement.Candidate
		// always is set if the better one is always chosen, otherwise both are.
		always bool
	}{
		"slow":             {observedCandidate("a", 2.5, 0, recent), idle, true},
		"slow and unknown": {observedCandidate("a", 2.5, 0, recent), unknown, true},
		"full":             {observedCandidate("a", 1, 6, recent), idle, true},
		"slow 3 s ago":     {observedCandidate("a", 2.5, 0, old), idle, false},
		"full 3 s ago":     {observedCandidate("a", 1, 6, old), idle, false},
		"without any load": {observedCandidate("a", 0, 0, 0), unknown, false},
		"fast":             {observedCandidate("a", 0.2, 0, 0), idle, false},
	} {
		chosen := map[string]int{}
		for range 200 {
			chosen[placement.Choose(placement.Query{Target: bookingTarget, Remaining: time.Second},
				[]placement.Candidate{c.worse, c.better}).Upstream.ID]++
		}
		NewWithT(t).Expect([]bool{chosen["a"] == 0, chosen["b"] == 0}).To(Equal([]bool{c.always, false}), name)
	}
	d := placement.Choose(placement.Query{Remaining: 100 * time.Millisecond}, []placement.Candidate{observedCandidate("a", 100, 1<<20, 0)})
	NewWithT(t).Expect(d.Upstream).NotTo(BeNil())
}
