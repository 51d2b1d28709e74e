package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
)

// upstreams returns n upstreams with the IDs agent-0, agent-1 and so on.
func upstreams(n, limit int) []membership.Upstream {
	out := make([]membership.Upstream, n)
	for i := range out {
		out[i].Node = message.Hello{NodeID: fmt.Sprintf("agent-%d", i)}
		out[i].Announce = message.Announce{Limit: limit}
	}
	return out
}

// pick chooses among the given candidates and counts the attempt, as Router.Pick does.
func pick(r *Router, request Request, candidates []membership.Upstream) string {
	id := r.choose(request, candidates).Node.NodeID
	r.sent[id]++
	return id
}

func newRouter() *Router { return New("a", membership.NewTable(), nil, nil) }

// Guards against a popular prefix that overloads its upstream, and against a prefix that changes its upstream while the load bound
// allows it to stay.
func TestPrefixAffinityHoldsWithinTheLoadBound(t *testing.T) {
	g := NewWithT(t)
	r, candidates := newRouter(), upstreams(4, 100)
	request := Request{Prefix: []byte("you are a helpful tailor")}
	owner := pick(r, request, candidates)
	r.ResetSent(owner)
	g.Expect(pick(r, request, candidates)).To(Equal(owner))
	for range 400 {
		pick(r, request, candidates)
		total := 0
		for _, n := range r.sent {
			total += n
		}
		// The bound is rounded up, so it may be exceeded by up to 1.
		g.Expect(float64(r.sent[owner])).To(BeNumerically("<=", loadBound*float64(total)/4+1))
	}
}

// Guards against an idempotency key that moves to another upstream while its own accepts work, and against the loss of one upstream
// that moves keys of the others.
func TestIdempotencyKeysKeepTheirUpstream(t *testing.T) {
	g := NewWithT(t)
	r, candidates := newRouter(), upstreams(5, 10)
	for i := range 100 {
		request := Request{IdempotencyKey: fmt.Sprint("key", i)}
		owner := pick(r, request, candidates)
		g.Expect(pick(r, request, candidates)).To(Equal(owner))
		if owner != "agent-4" {
			g.Expect(pick(r, request, candidates[:4])).To(Equal(owner))
		}
	}
}

// Guards against a comparison of loads that ignores the limits or the attempts sent since the announcement.
func TestLessLoadedOfTwoIsPicked(t *testing.T) {
	g := NewWithT(t)
	r, candidates := newRouter(), upstreams(2, 10)
	candidates[0].Announce.Limit, candidates[0].Announce.Queued, candidates[0].Announce.InFlight = 100, 5, 10
	candidates[1].Announce.InFlight = 1
	g.Expect(pick(r, Request{}, candidates)).To(Equal("agent-1"))
	g.Expect(pick(r, Request{}, candidates)).To(Equal("agent-0"))
	r.ResetSent("agent-1")
	g.Expect(pick(r, Request{}, candidates)).To(Equal("agent-1"))
}

// Guards against an upstream that keeps receiving its share although it fails every request, and against ejecting more than half of
// the upstreams.
func TestOutliersAreEjectedUpToHalf(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	detector := NewOutlierDetector(func() time.Time { return now })
	candidates := upstreams(4, 10)
	failRepeatedly := func(id string) {
		for range maxConsecutiveFailures {
			detector.Report(id, true)
		}
	}
	failRepeatedly("agent-0")
	g.Expect(detector.Filter(candidates)).To(HaveLen(3))
	now = now.Add(baseEjection + time.Millisecond)
	g.Expect(detector.Filter(candidates)).To(HaveLen(4))
	failRepeatedly("agent-0")
	now = now.Add(baseEjection + time.Millisecond)
	g.Expect(detector.Filter(candidates)).To(HaveLen(3), "the second ejection lasts twice as long")
	for _, u := range candidates {
		failRepeatedly(u.Node.NodeID)
	}
	g.Expect(detector.Filter(candidates)).To(HaveLen(2))
}

// Guards against an upstream that fails often but not in a row and is not ejected, and against ejections when all upstreams fail at
// the same rate.
func TestFailureRateIsComparedWithTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	detector := NewOutlierDetector(func() time.Time { return now })
	for i := range 40 {
		detector.Report("agent-0", i%2 == 0)
		detector.Report("agent-1", i%2 == 0)
	}
	g.Expect(detector.Filter(upstreams(3, 1))).To(HaveLen(3))
	now = now.Add(outlierWindow + time.Second)
	for i := range 40 {
		detector.Report("agent-1", false)
		detector.Report("agent-0", i%2 == 0)
	}
	g.Expect(detector.Filter(upstreams(3, 1))).To(HaveLen(2))
}
