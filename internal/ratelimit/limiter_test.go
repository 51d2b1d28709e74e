package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
)

// newLimiter returns a limiter of the only entry of a fleet, with a clock that the test advances.
func newLimiter() (*ratelimit.Limiter, *time.Time) {
	now := time.Unix(1000, 0)
	l := ratelimit.New(ratelimit.Config{Self: "self", Members: func() []string { return nil }, Now: func() time.Time { return now },
		Random: func() float64 { return 0 }})
	return l, &now
}

// Guards against a response that was overtaken by a newer one lifting a limit or restoring an older one, and against a limit that is
// carried over to the next process of its upstream.
func TestNewestResponseDecides(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter()
	u := ratelimit.Upstream{ID: "u", StartedAtMillis: 5, Service: "s"}
	l.RecordResponse(u, 0, false)
	g.Expect(l.Export()).To(BeNil())
	l.RecordResponse(u, 2, true)
	*now = now.Add(100 * time.Millisecond)
	l.RecordResponse(u, 0, false)
	g.Expect(l.Limits()).To(HaveLen(1))
	l.Merge(&message.RateShares{NodeID: "other", Limits: []message.RateLimit{
		{Upstream: "u", StartedAtMillis: 5, Service: "s", PerSecond: 9, AgeMillis: 500}}})
	g.Expect(l.Limits()[0].PerSecond).To(Equal(2.0))
	restarted := u
	restarted.StartedAtMillis = 6
	for range 10 {
		g.Expect(l.Take(restarted)).To(BeTrue())
	}
	*now = now.Add(time.Second)
	l.RecordResponse(u, 0, false)
	g.Expect(l.Limits()).To(BeEmpty())
}

// Guards against requests that were not sent counting as sent, and against a limit of an upstream that is gone being kept for ever.
func TestReturnedRequestsMayBeSent(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter()
	u := ratelimit.Upstream{ID: "u", Service: "s"}
	l.RecordResponse(u, 1, true)
	l.RecordDemand("s")
	*now = now.Add(time.Second)
	g.Expect(l.Take(u)).To(BeTrue())
	ok, wait := l.Available(u)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", time.Second, 50*time.Millisecond))
	l.Return(u)
	g.Expect(l.Take(u)).To(BeTrue())
	*now = now.Add(2 * time.Minute)
	g.Expect(l.Export()).To(BeNil())
	for range 10 {
		g.Expect(l.Take(u)).To(BeTrue())
	}
}

// Guards against a report of another entry that takes a slower path and replaces a newer one: requests that the other had sent were no longer
// counted, and the entries sent more than the limit.
func TestOlderReportDoesNotReplaceANewerOne(t *testing.T) {
	g := NewWithT(t)
	l, now := newLimiter()
	u := ratelimit.Upstream{ID: "u", StartedAtMillis: 5, Service: "s"}
	l.RecordResponse(u, 2, true)
	*now = now.Add(3 * time.Second)
	available := func(seq uint64, sent int) bool {
		l.Merge(&message.RateShares{NodeID: "other", Seq: seq, Sent: []message.SentRequests{{Upstream: "u", Count: sent}}})
		ok, _ := l.Available(u)
		return ok
	}
	const first = 1 << 60
	g.Expect(available(first, 0)).To(BeTrue())
	g.Expect(available(first+2, 100)).To(BeFalse())
	g.Expect(available(first+1, 0)).To(BeFalse(), "older report")
	g.Expect(available(7, 0)).To(BeTrue(), "report of another process")
}

// Guards against malformed reports that free an upstream or stop it.
func TestMalformedReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLimiter()
	l.Merge(&message.RateShares{Limits: []message.RateLimit{{Upstream: "", PerSecond: 1}, {Upstream: "u", PerSecond: -1},
		{Upstream: "v", Lifted: true}, {Upstream: "w", PerSecond: 1, AgeMillis: 600000}},
		Demand: []message.ServiceDemand{{Service: "s", PerSecond: -5}}, Sent: []message.SentRequests{{Upstream: "u", Count: -9}}})
	g.Expect(l.Limits()).To(BeEmpty())
}
