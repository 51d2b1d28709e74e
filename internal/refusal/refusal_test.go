package refusal_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/refusal"
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// Guards against a caller that comes back to another entry and counts as new there, and against a wait that starts anew with each refusal.
func TestReturningCallerIsRecognisedAtOtherEntries(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	a, b := refusal.New(c.now), refusal.New(c.now)
	key := refusal.Fingerprint([]byte("customer"), []byte("prompt"))
	a.Record(key, 20*time.Millisecond)
	c.at = c.at.Add(80 * time.Millisecond)
	b.Merge(a.Pending())
	g.Expect(a.Pending()).To(BeNil(), "each refusal is sent once")
	g.Expect(b.Pending()).To(BeNil(), "refusals of others are not passed on")
	c.at = c.at.Add(400 * time.Millisecond)
	waited, returning := b.Take(key)
	g.Expect(returning).To(BeTrue())
	g.Expect(waited).To(Equal(500 * time.Millisecond))
	b.Record(key, waited)
	c.at = c.at.Add(time.Second)
	waited, _ = b.Take(key)
	g.Expect(waited).To(Equal(1500 * time.Millisecond))
}

// Guards against new callers that count as returning: because an equal request was refused long ago, because one refusal explains the
// return of several callers, or because other fields have the same bytes in a row.
func TestNewCallerIsNotReturning(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	table := refusal.New(c.now)
	key := refusal.Fingerprint([]byte("ab"), []byte("c"))
	g.Expect(refusal.Fingerprint([]byte("a"), []byte("bc"))).NotTo(Equal(key))
	table.Record(key, 0)
	_, returning := table.Take(key)
	g.Expect(returning).To(BeTrue())
	_, returning = table.Take(key)
	g.Expect(returning).To(BeFalse())
	table.Record(key, 0)
	c.at = c.at.Add(refusal.Retention)
	_, returning = table.Take(key)
	g.Expect(returning).To(BeFalse())
}

// Guards against memory that grows with the number of refusals, and against ages of another entry that are invalid.
func TestRefusalsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	table := refusal.New(c.now)
	for i := range uint64(20000) {
		table.Record(i, 0)
	}
	pending := table.Pending().Refusals
	g.Expect(len(pending)).To(BeNumerically("<=", 1024))
	g.Expect(pending[len(pending)-1].Fingerprint).To(Equal(uint64(19999)), "the newest ones are kept")
	_, returning := table.Take(19999)
	g.Expect(returning).To(BeTrue())
	table.Merge(&message.Refusals{Refusals: []message.Refusal{{Fingerprint: 1, WaitedMillis: -5, AgeMillis: -5},
		{Fingerprint: 2, AgeMillis: refusal.Retention.Milliseconds()}}})
	waited, returning := table.Take(1)
	g.Expect(returning).To(BeTrue())
	g.Expect(waited).To(BeZero())
	_, returning = table.Take(2)
	g.Expect(returning).To(BeFalse())
}
