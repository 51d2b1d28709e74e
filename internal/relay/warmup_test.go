package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/internal/warmup"
)

// newLimiter returns a limiter of the only entry of a fleet, which knows that there are no others if known is set, for a while. Cold upstreams
// take perSecond requests a second, the first one at once.
func newLimiter(perSecond float64, known bool) *warmup.Limiter {
	var offset time.Duration
	l := warmup.New(warmup.Config{Overrun: 1.5, Slack: 5, Entries: func() (int, bool) { return 1, known },
		Random: func() float64 { return 0 }, Now: func() time.Time { return time.Now().Add(offset) },
		Settings: func(string) warmup.Settings { return warmup.Settings{ColdStart: time.Minute, PerSecond: perSecond} }})
	l.Sweep()
	offset = time.Minute
	return l
}

// withLimiter selects a limiter of cold upstreams.
func withLimiter(l *warmup.Limiter) func(*relay.Config) {
	return func(cfg *relay.Config) { cfg.Warmup = l }
}

// identify returns what package warmup knows of an upstream of newEntry.
func identify(u *upstream) warmup.Upstream {
	return warmup.Upstream{ID: u.id, Service: "s", DataCentre: "z"}
}

// declareWarm makes an upstream warm: it was presumed cold for a while, and its record says since then that it is not.
func declareWarm(l *warmup.Limiter, u *upstream) {
	l.IsCold(identify(u))
	time.Sleep(120 * time.Millisecond)
	l.Record(warmup.Record{Upstream: identify(u), Sequence: 1})
}

// Guards against requests that wait for their deadline, or that are sent, while all upstreams that they may use are cold and take no more at this
// moment. Load: 40 requests in a row, for upstreams that take one request a second each.
func TestRequestsAreRefusedAtOnceWhileAllUpstreamsAreCold(t *testing.T) {
	g := NewWithT(t)
	a, b := newUpstream(t, "a", respondOK), newUpstream(t, "b", respondOK)
	e := newEntryWithConfig(t, codec{}, withLimiter(newLimiter(1, true)), a, b)
	refused := 0
	for range 40 {
		result := e.send(context.Background(), "/order/1", nil)
		if result.status == http.StatusOK {
			continue
		}
		refused++
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(result.body).To(ContainSubstring(`"code":"cold","outcome":"not-run"`))
		retryAfter, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(retryAfter).To(And(BeNumerically(">=", 0.3), BeNumerically("<=", 1.9)))
		g.Expect(result.elapsed).To(BeNumerically("<", 200*time.Millisecond))
	}
	g.Expect(refused).To(BeNumerically(">=", 36))
	g.Expect(totalRequests(a, b)).To(Equal(40 - refused))
}

// Guards against a cold upstream that gets more than its rate while a warm one could take the requests, one whose rate is left unused, and requests
// that are refused although there is a warm upstream. Load: 50 requests a second for 2 s, for a cold upstream that takes 4 a second and a warm one.
func TestColdUpstreamIsUsedWithinItsRate(t *testing.T) {
	g := NewWithT(t)
	const perSecond, seconds = 4, 2
	cold, warm := newUpstream(t, "cold", respondOK), newUpstream(t, "warm", respondOK)
	limiter := newLimiter(perSecond, true)
	declareWarm(limiter, warm)
	e := newEntryWithConfig(t, codec{}, withLimiter(limiter), cold, warm)
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(len(cold.requests())).To(And(BeNumerically(">=", perSecond*seconds*2/3), BeNumerically("<=", perSecond*seconds+1)))
}

// Guards against an entry that has just started, like all others, and uses cold upstreams as if it were the only one. Load: 20 requests, before the
// entry knows any other, for a cold upstream and a warm one.
func TestEntryThatKnowsNoOthersPrefersWarmUpstreams(t *testing.T) {
	g := NewWithT(t)
	cold, warm := newUpstream(t, "cold", respondOK), newUpstream(t, "warm", respondOK)
	limiter := newLimiter(1000, false)
	declareWarm(limiter, warm)
	e := newEntryWithConfig(t, codec{}, withLimiter(limiter), cold, warm)
	for range 20 {
		g.Expect(e.send(context.Background(), "/look/1", nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(cold.requests()).To(BeEmpty())
}

// Guards against requests that were placed on a cold upstream, waited for a connection, and all reach it when its link comes back. Load: one request
// that is ready to be sent 0.1 s after it was placed; the next permit opens after 10 s.
func TestRequestThatIsSentLateNeedsAnotherPermit(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(t, "u", respondOK)
	limiter := newLimiter(0.1, true)
	e := newEntryWithConfig(t, codec{prepared: func(http.Header) { time.Sleep(100 * time.Millisecond) }}, withLimiter(limiter), u)
	result := e.send(context.Background(), "/order/1", nil)
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(u.requests()).To(BeEmpty())
}

// Guards against an upstream that was unreachable and gets the requests of all entries at once when it is back: it holds none and may have restarted.
func TestUnreachableUpstreamIsPresumedCold(t *testing.T) {
	g := NewWithT(t)
	u, listener := listenUpstream(t, "u", respondOK)
	limiter := newLimiter(1, true)
	declareWarm(limiter, u)
	e := newEntryWithConfig(t, codec{}, withLimiter(limiter), u)
	g.Expect(limiter.IsCold(identify(u))).To(BeFalse())
	_ = listener.Close()
	g.Expect(e.send(context.Background(), "/look/1", nil).status).NotTo(Equal(http.StatusOK))
	g.Expect(limiter.IsCold(identify(u))).To(BeTrue())
	time.Sleep(120 * time.Millisecond)
	limiter.Record(warmup.Record{Upstream: identify(u), Sequence: 2})
	g.Expect(limiter.IsCold(identify(u))).To(BeFalse())
}
