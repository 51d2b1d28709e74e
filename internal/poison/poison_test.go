package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
)

// clock is a time that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

// newLedger returns a ledger and its clock.
func newLedger() (*poison.Ledger, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return poison.New(c.now), c
}

// parts returns the subjects of a request with the given shared parts.
func parts(request string, ids ...string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, poison.PartSubject(id))
	}
	return append(out, poison.RequestSubject(request))
}

// crashed returns an attempt of a request whose answer had just begun when upstream u ended.
func crashed(u, request string, ids ...string) message.CrashedAttempt {
	return message.CrashedAttempt{Upstream: u, Request: request, Subjects: parts(request, ids...), Begun: true}
}

// refused reports whether a request with the given shared parts is refused.
func refused(l *poison.Ledger, request string, ids ...string) bool {
	_, is := l.Refusing(parts(request, ids...))
	return is
}

// Guards against a part that crashes upstreams being found late, and against a refusal of requests that share other parts with it or
// that ran beside it.
func TestPartIsRefusedAfterThreeCrashes(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	l.Clear(parts("", "first", "other"))
	c.advance(time.Second)
	for i := range 3 {
		g.Expect(refused(l, "next", "first", "deadly")).To(BeFalse())
		u, request := fmt.Sprintf("u%d", i), fmt.Sprintf("r%d", i)
		l.Record(crashed(u, request, "first", "deadly"))
		l.Record(crashed(u, "beside"+request, "other", fmt.Sprintf("rare%d", i)))
		c.advance(200 * time.Millisecond)
	}
	g.Expect(refused(l, "next", "first", "deadly")).To(BeTrue())
	g.Expect(refused(l, "next", "deadly")).To(BeTrue())
	g.Expect(refused(l, "next", "first")).To(BeFalse())
	g.Expect(refused(l, "next", "other", "rare1")).To(BeFalse())
	g.Expect(l.Verdicts()).To(HaveLen(1))
	c.advance(poison.Retention)
	g.Expect(l.Verdicts()).To(BeEmpty())
	g.Expect(refused(l, "next", "first", "deadly")).To(BeFalse())
}

// Guards against one process that counts as several crashes because several entries or attempts saw it end.
func TestOneProcessCountsOnce(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLedger()
	for i := range 5 {
		l.Record(crashed("u", fmt.Sprintf("r%d", i), "deadly"))
		l.Record(crashed("u", fmt.Sprintf("r%d", i), "deadly"))
	}
	g.Expect(refused(l, "next", "deadly")).To(BeFalse())
	for i := range 2 {
		restarted := crashed("u", "again", "deadly")
		restarted.StartedAtMillis = int64(i + 1)
		l.Record(restarted)
	}
	g.Expect(refused(l, "next", "deadly")).To(BeTrue())
}

// Guards against a sound part that is refused because upstreams crash for other reasons: an answer shows that it is sound, and
// requests that were still waiting are no suspects beside one whose answer had begun.
func TestSoundPartsAreNotBlamed(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	for i := range 12 {
		u := fmt.Sprintf("u%d", i)
		l.Record(crashed(u, "s"+u, "sound"))
		waiting := crashed(u, "w"+u, "waiting")
		waiting.Begun = false
		l.Record(waiting)
		c.advance(time.Second)
		if i%2 == 1 {
			l.Clear(parts("", "sound"))
			c.advance(time.Second)
		}
	}
	g.Expect(refused(l, "next", "sound")).To(BeFalse())
	g.Expect(refused(l, "next", "waiting")).To(BeFalse())
}

// Guards against a part that had answers before and crashes upstreams from some moment on, and that is then never refused.
func TestAnsweredPartThatTurnsDeadlyIsRefused(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	l.Clear(parts("", "part"))
	for i := range 5 {
		c.advance(time.Second)
		g.Expect(refused(l, "next", "part")).To(BeFalse())
		l.Record(crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("r%d", i), "part"))
	}
	g.Expect(refused(l, "next", "part")).To(BeTrue())
}

// Guards against blaming one of two parts that only occurred together so far: only requests with both are refused, and an answer to
// the sound one decides.
func TestPartsThatOccurTogetherAreToldApart(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	for i := range 4 {
		l.Record(crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("r%d", i), "rare", "deadly"))
		c.advance(time.Second)
	}
	g.Expect(refused(l, "next", "rare", "deadly")).To(BeTrue())
	g.Expect(refused(l, "next", "rare")).To(BeFalse())
	g.Expect(refused(l, "next", "deadly")).To(BeFalse())
	l.Record(crashed("u5", "r5", "deadly"))
	g.Expect(refused(l, "next", "deadly")).To(BeTrue())
	g.Expect(refused(l, "next", "rare")).To(BeFalse())
}

// Guards against blaming a part that only ran beside the deadly one: while both were in the same crashes, in different requests, one more
// crash or an answer decides.
func TestRivalPartsAreToldApart(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	for i := range 3 {
		u := fmt.Sprintf("u%d", i)
		l.Record(crashed(u, "r"+u, "deadly"))
		l.Record(crashed(u, "s"+u, "beside"))
		c.advance(time.Second)
	}
	g.Expect(l.Verdicts()).To(BeEmpty())
	l.Record(crashed("u3", "r3", "deadly"))
	g.Expect(refused(l, "next", "deadly")).To(BeTrue())
	g.Expect(refused(l, "next", "beside")).To(BeFalse())
}

// Guards against two parts that crash upstreams at the same time, of which only one is found, and against the blame of the first part
// that their requests share.
func TestTwoDeadlyPartsAreFound(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	l.Clear(parts("", "first"))
	c.advance(time.Second)
	for i := range 6 {
		l.Record(crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("r%d", i), "first", fmt.Sprintf("deadly%d", i%2)))
	}
	g.Expect(refused(l, "next", "deadly0")).To(BeTrue())
	g.Expect(refused(l, "next", "deadly1")).To(BeTrue())
	g.Expect(refused(l, "next", "first")).To(BeFalse())
}

// Guards against a whole request that crashes upstreams and is repeated, while other requests with the same parts are sound.
func TestRepeatedRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	for i := range 3 {
		l.Clear(parts("", "first"))
		c.advance(time.Second)
		l.Record(crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("try%d", i), "first"))
	}
	g.Expect(refused(l, "same", "first")).To(BeFalse())
	l, _ = newLedger()
	for i := range 3 {
		a := crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("try%d", i))
		a.Subjects = parts("same")
		l.Record(a)
	}
	g.Expect(refused(l, "same")).To(BeTrue())
	g.Expect(refused(l, "other")).To(BeFalse())
}

// crashedRequest returns an attempt of a request without parts that was in progress when upstream u ended.
func crashedRequest(u int, request string) message.CrashedAttempt {
	return message.CrashedAttempt{Upstream: fmt.Sprint("u", u), Request: fmt.Sprint("try", u), Subjects: parts(request), Begun: true}
}

// Guards against a request that is repeated and answered, and is refused because upstreams have ended under it for other causes: nothing could
// disprove that verdict. Answers count whether they come between the crashes or before them, at any entry.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	between, c := newLedger()
	before, other := poison.New(c.now), poison.New(c.now)
	deliver := connect(c, time.Millisecond, before, other)
	before.Clear(parts("same"))
	for i := range 3 {
		c.advance(7 * time.Second)
		between.Record(crashedRequest(i, "same"))
		other.Record(crashedRequest(i, "same"))
		c.advance(time.Second)
		between.Clear(parts("same"))
		deliver()
	}
	for _, l := range []*poison.Ledger{between, before, other} {
		g.Expect(refused(l, "same")).To(BeFalse())
	}
	for i := range 5 {
		other.Record(crashedRequest(3+i, "same"))
	}
	deliver()
	g.Expect(refused(other, "same")).To(BeTrue(), "it crashes upstreams since")
	g.Expect(refused(before, "same")).To(BeTrue())
}

// Guards against answers to requests that are not repeated, which displace those to parts.
func TestAnswersToRequestsDisplaceNoParts(t *testing.T) {
	l, c := newLedger()
	l.Clear(parts("", "part"))
	for i := range 30000 {
		l.Clear(parts(fmt.Sprint("own", i)))
	}
	c.advance(time.Second)
	for i := range 3 {
		l.Record(crashed(fmt.Sprint("u", i), fmt.Sprint("r", i), "part"))
	}
	NewWithT(t).Expect(refused(l, "next", "part")).To(BeFalse())
}

// connect passes the news of each ledger to the other ones, and counts the messages. delay is added to the clock for each.
func connect(c *clock, delay time.Duration, ledgers ...*poison.Ledger) (deliver func() int) {
	type mail struct {
		to   *poison.Ledger
		news *message.CrashEvidence
	}
	var queue []mail
	for _, from := range ledgers {
		from.Observe(func(news *message.CrashEvidence) {
			for _, to := range ledgers {
				if to != from {
					queue = append(queue, mail{to, news})
				}
			}
		})
	}
	return func() (n int) {
		for ; len(queue) > 0; n++ {
			next := queue[0]
			queue = queue[1:]
			c.advance(delay)
			if n > 20000 {
				return n
			}
			next.to.Merge(next.news)
		}
		return n
	}
}

// Guards against crashes that count only at the entry that saw them, against an answer seen elsewhere that does not, against evidence
// that is lost with its entry, and against messages that circulate for ever.
func TestEvidenceCountsAtAllEntries(t *testing.T) {
	g := NewWithT(t)
	c := &clock{at: time.Unix(1000, 0)}
	a, b, d := poison.New(c.now), poison.New(c.now), poison.New(c.now)
	deliver := connect(c, 0, a, b, d)
	b.Clear(parts("", "new"))
	g.Expect(deliver()).To(BeZero(), "answers are not worth a message while nothing crashes")
	c.advance(time.Second)
	for i, l := range []*poison.Ledger{a, b, d} {
		l.Record(crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("r%d", i), "new", "deadly"))
		g.Expect(deliver()).To(BeNumerically("<", 20))
		c.advance(100 * time.Millisecond)
	}
	late := poison.New(c.now)
	late.Merge(a.Export())
	for _, l := range []*poison.Ledger{a, b, d, late} {
		g.Expect(refused(l, "next", "deadly")).To(BeTrue())
		g.Expect(refused(l, "next", "new")).To(BeFalse())
	}
	restarted := poison.New(c.now)
	restarted.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: parts("", "deadly")[:1], AgeMillis: 9 * 60000}}})
	g.Expect(refused(restarted, "next", "deadly")).To(BeTrue())
	c.advance(61 * time.Second)
	g.Expect(restarted.Verdicts()).To(BeEmpty())
}

// Guards against statements about answers that are passed on for ever because each link makes them seem newer.
func TestStatementsDoNotCirculate(t *testing.T) {
	g := NewWithT(t)
	c := &clock{at: time.Unix(1000, 0)}
	var ledgers []*poison.Ledger
	for range 8 {
		ledgers = append(ledgers, poison.New(c.now))
	}
	deliver := connect(c, 70*time.Millisecond, ledgers...)
	for _, l := range ledgers {
		l.Clear(parts("", "part"))
	}
	c.advance(time.Second)
	ledgers[0].Record(crashed("u", "r", "part", "deadly"))
	// Each of 8 entries passes on one crash and 8 answers, to 7 others each.
	g.Expect(deliver()).To(BeNumerically("<=", 8*9*7))
}

// Guards against malformed evidence that blames everything or grows without bound.
func TestMalformedEvidenceIsIgnored(t *testing.T) {
	g := NewWithT(t)
	l, c := newLedger()
	for i := range 5 {
		l.Record(message.CrashedAttempt{Upstream: fmt.Sprintf("u%d", i), Request: "r", Begun: true})
		l.Record(message.CrashedAttempt{Request: fmt.Sprint(i), Subjects: parts("r"), Begun: true})
	}
	l.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{}}})
	g.Expect(l.Export()).To(BeNil())
	g.Expect(l.Active()).To(BeFalse())
	for i := range 2000 {
		l.Record(crashed(fmt.Sprintf("u%d", i), fmt.Sprintf("r%d", i), fmt.Sprintf("part%d", i)))
		c.advance(time.Millisecond)
	}
	g.Expect(len(l.Export().Crashes)).To(BeNumerically("<=", 256))
}

// Guards against sound requests that all entries refuse again because one entry that has restarted reads from the store a verdict that the
// others know to be disproved by an answer, and tells them.
func TestDisprovedVerdictIsNotTakenOverFromTheStore(t *testing.T) {
	g := NewWithT(t)
	l, clock := newLedger()
	shared := parts("", "sound")[:1]
	stored := &message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: shared, Era: 1}}}
	l.Merge(stored)
	g.Expect(l.Verdicts()).To(HaveLen(1))
	clock.advance(time.Second)
	l.Clear(shared)
	g.Expect(l.Verdicts()).To(BeEmpty())
	clock.advance(time.Second)

	l.Merge(stored)

	g.Expect(l.Verdicts()).To(BeEmpty())
	g.Expect(l.Export()).To(BeNil())
	clock.advance(poison.Retention)
	l.Merge(stored)
	g.Expect(l.Verdicts()).To(HaveLen(1), "a later verdict is taken over")
	clock.advance(time.Second)
	l.Clear(shared)
	for i := range 5 { // New crashes reach the verdict again, and it counts as stored.
		clock.advance(time.Second)
		l.Record(crashed(fmt.Sprint("u", i), fmt.Sprint("r", i), "sound"))
	}
	g.Expect(l.Verdicts()).To(HaveLen(1))
	verdict := l.Verdicts()[0]
	l.Merge(stored)
	g.Expect(l.IsStored(verdict, 1)).To(BeTrue())
}
