package warmup_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/warmup"
)

// fixture is the limiter of one entry of a fleet, with a clock that the test advances. Cold upstreams take 10 requests a second.
type fixture struct {
	*warmup.Limiter
	now       time.Time
	entries   int
	endedAt   time.Time
	events    []warmup.Event
	sequence  int64
	perSecond float64
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), entries: 1, perSecond: 10}
	f.Limiter = warmup.New(warmup.Config{
		Settings:          func(string) warmup.Settings { return warmup.Settings{ColdStart: coldTime, PerSecond: f.perSecond} },
		Entries:           func() (int, bool) { return f.entries, f.entries > 0 },
		EvacuationEndedAt: func(string) time.Time { return f.endedAt }, Overrun: overrun, Slack: slack,
		Observe: func(e warmup.Event) { f.events = append(f.events, e) },
		Now:     func() time.Time { return f.now }, Random: func() float64 { return 0 }})
	return f
}

func (f *fixture) after(d time.Duration) *fixture {
	f.now = f.now.Add(d)
	return f
}

// record lets the upstream write its next record.
func (f *fixture) record(coldLeft time.Duration) warmup.Record {
	f.sequence++
	r := warmup.Record{Upstream: target(0), Sequence: f.sequence, Revision: f.sequence, ColdLeft: coldLeft}
	f.Record(r)
	return r
}

func (f *fixture) isCold() bool { return f.IsCold(target(0)) }

// newWarm returns a limiter that knows a warm upstream, and its newest record.
func newWarm(g *WithT) (*fixture, warmup.Record) {
	f := newFixture()
	f.record(0)
	g.Expect(f.isCold()).To(BeTrue())
	last := f.after(recordInterval).record(0)
	g.Expect(f.isCold()).To(BeFalse())
	return f, last
}

// Guards against a repeated record (a listing, the full state of a peer, a restored store) that makes a warm upstream cold again or prolongs its
// cold time, and against one that ends it.
func TestRepeatedRecordsHaveNoEffect(t *testing.T) {
	g := NewWithT(t)
	f, warm := newWarm(g)
	cold := f.after(recordInterval).record(coldTime)
	g.Expect(f.isCold()).To(BeTrue())
	for _, repeated := range []warmup.Record{cold, warm} {
		f.after(time.Second).Record(repeated)
		g.Expect(f.isCold()).To(BeTrue())
	}
	f.after(coldTime - 2*time.Second)
	cold.Era++ // A restored store lists it again.
	f.Record(cold)
	g.Expect(f.isCold()).To(BeFalse())
	f.after(recordInterval).record(coldTime)
	g.Expect(f.isCold()).To(BeTrue())
	f.after(recordInterval).record(0)
	g.Expect(f.isCold()).To(BeFalse())
}

// Guards against an upstream that gets the requests of all entries at once when it comes back, because it counts as warm: each case is a way in which
// it may have lost its requests. It is presumed cold until a later record, or for its cold time and 1 s while the store is down.
func TestUpstreamsThatComeBackArePresumedCold(t *testing.T) {
	for name, comeBack := range map[string]func(f *fixture, last warmup.Record){
		"missing": func(f *fixture, _ warmup.Record) {
			f.Record(warmup.Record{Upstream: target(0), Removed: true})
			f.after(time.Second).record(0)
		},
		"missing, then the same record": func(f *fixture, last warmup.Record) {
			f.Record(warmup.Record{Upstream: target(0), Removed: true})
			f.after(time.Second).Record(last)
		},
		"unreachable": func(f *fixture, _ warmup.Record) { f.Presume(target(0), warmup.CauseUnreachable) },
		"evacuated":   func(f *fixture, _ warmup.Record) { f.endedAt = f.now },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, last := newWarm(g)
			f.after(recordInterval)
			comeBack(f, last)
			g.Expect(f.isCold()).To(BeTrue())
			f.after(50 * time.Millisecond).record(0) // It may have been on its way when the upstream came back.
			g.Expect(f.isCold()).To(BeTrue())
			f.after(coldTime)
			g.Expect(f.isCold()).To(BeTrue())
			f.after(time.Second)
			g.Expect(f.isCold()).To(BeFalse())
			f.after(recordInterval)
			comeBack(f, last)
			f.after(recordInterval).record(0)
			g.Expect(f.isCold()).To(BeFalse())
		})
	}
}

// Guards against a process that counts as warm because its predecessor was, and against a clock of its instance that is ahead by half an hour and
// keeps it cold for as long.
func TestProcessIsColdAfterItsStart(t *testing.T) {
	g := NewWithT(t)
	f, _ := newWarm(g)
	restarted := target(0)
	restarted.StartedAtMillis = f.now.Add(30 * time.Minute).UnixMilli()
	g.Expect(f.IsCold(restarted)).To(BeTrue(), "known from the list before its record is merged")
	f.after(recordInterval).Record(warmup.Record{Upstream: restarted, Sequence: 1})
	f.after(recordInterval).Record(warmup.Record{Upstream: restarted, Sequence: 2})
	g.Expect(f.IsCold(restarted)).To(BeTrue())
	f.after(coldTime - 2*recordInterval)
	g.Expect(f.IsCold(restarted)).To(BeFalse())
}

// Guards against a service without a rate, or with one that cannot be read, whose upstreams are limited, and against bounds that cannot be
// right and lift the limit: each upstream gets less than twice its rate then.
func TestMissingAndMalformedFigures(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	for f.perSecond = range map[float64]bool{0: true, -1: true, math.NaN(): true} {
		ok, _ := f.Available(target(0))
		g.Expect(ok).To(BeTrue())
	}
	for _, bound := range []float64{0, -3, math.NaN(), math.Inf(1), 1e300} {
		f := newFixture()
		l := warmup.New(warmup.Config{Settings: func(string) warmup.Settings { return warmup.Settings{ColdStart: coldTime, PerSecond: 10} },
			Entries: func() (int, bool) { return 1, true }, Overrun: bound, Slack: bound, Now: func() time.Time { return f.now }})
		taken := 0
		for range 100 {
			if _, ok := l.Take(target(0)); ok {
				taken++
			}
			f.after(10 * time.Millisecond)
		}
		g.Expect(taken).To(BeNumerically("<=", 10))
	}
	f, _ = newWarm(g)
	f.after(recordInterval).record(-1)
	g.Expect(f.isCold()).To(BeFalse(), "the record says nothing")
}

// Guards against a permit that is lost because its request was not sent, one that is used twice, and one that is used long after it was taken.
func TestPermits(t *testing.T) {
	g := NewWithT(t)
	f, u := newFixture(), target(0)
	f.Sweep()
	f.after(time.Minute).record(coldTime) // The other entries are known by now.
	first, ok := f.Take(u)
	g.Expect(ok).To(BeTrue())
	ok, wait := f.Available(u)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(100 * time.Millisecond))
	f.Return(u, first)
	second, ok := f.Take(u)
	g.Expect(ok).To(BeTrue())
	_, ok = f.after(100 * time.Millisecond).Take(u)
	g.Expect(ok).To(BeTrue())
	f.Return(u, second)
	ok, _ = f.Available(u)
	g.Expect(ok).To(BeFalse(), "a later permit was taken")
	g.Expect(f.MaySend(u, second)).To(BeFalse())
	g.Expect(f.MaySend(u, warmup.Permit{})).To(BeFalse(), "it was placed while the upstream was warm")
	third, _ := f.after(100 * time.Millisecond).Take(u)
	g.Expect(f.MaySend(u, third)).To(BeTrue())
	g.Expect(f.after(time.Second).MaySend(u, third)).To(BeFalse())
}

// Guards against upstreams that turn cold and warm all the time and fill the log, against a change that is not reported, and against upstreams that are
// gone and still counted or kept.
func TestChangesAreReported(t *testing.T) {
	g := NewWithT(t)
	f, _ := newWarm(g)
	g.Expect(f.events).To(HaveLen(2))
	g.Expect(f.events[0].Cause).To(Equal(warmup.CauseDiscovered))
	f.after(recordInterval).record(coldTime)
	g.Expect(f.Cold()).To(Equal(map[string]int{"s": 1}))
	f.after(coldTime).Sweep()
	g.Expect(f.events[2:]).To(HaveExactElements(HaveField("Cause", warmup.CauseReported), HaveField("Cold", false)))
	g.Expect(f.Cold()).To(Equal(map[string]int{"s": 0}))
	f.Record(warmup.Record{Upstream: target(0), Removed: true})
	g.Expect(f.Cold()).To(BeEmpty())
	for i := range 300 {
		f.Record(warmup.Record{Upstream: warmup.Upstream{ID: fmt.Sprintf("other %d", i), Service: "s"}, Sequence: 1})
	}
	g.Expect(len(f.events)).To(BeNumerically("<=", 210))
	f.after(time.Hour).Sweep()
	g.Expect(f.events[len(f.events)-1].Omitted + len(f.events)).To(BeNumerically(">", 300))
}
