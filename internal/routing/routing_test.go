package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
)

func upstreams(n, limit int) []membership.Upstream {
	out := make([]membership.Upstream, n)
	for i := range out {
		out[i].Node = message.Hello{NodeID: fmt.Sprintf("agent-%d", i)}
		out[i].Announce = message.Announce{Limit: limit}
	}
	return out
}

// pick does what Router.Pick does once the candidates are known.
func pick(r *Router, request Request, candidates []membership.Upstream) string {
	id := r.choose(request, candidates).Node.NodeID
	r.sent[id]++
	return id
}

func newRouter() *Router { return New("a", membership.NewTable(), nil, nil) }

// Guards against a popular prefix that overloads its upstream, and against a prefix that wanders while there is room.
func TestPrefixAffinityHoldsWithinTheLoadBound(t *testing.T) {
	g := NewWithT(t)
	r, candidates := newRouter(), upstreams(4, 100)
	request := Request{Prefix: []byte("you are a helpful tailor")}
	home := pick(r, request, candidates)
	r.ResetSent(home)
	g.Expect(pick(r, request, candidates)).To(Equal(home))
	for range 400 {
		pick(r, request, candidates)
		total := 0
		for _, n := range r.sent {
			total += n
		}
		// One more than the bound allows for rounding up.
		g.Expect(float64(r.sent[home])).To(BeNumerically("<=", loadBound*float64(total)/4+1))
	}
}

// Guards against an order key that moves while its upstream takes work, and against more movement than the loss of one needs.
func TestOrderKeysStayWithTheirUpstream(t *testing.T) {
	g := NewWithT(t)
	r, candidates := newRouter(), upstreams(5, 10)
	for i := range 100 {
		request := Request{OrderKey: fmt.Sprint("key", i)}
		home := pick(r, request, candidates)
		g.Expect(pick(r, request, candidates)).To(Equal(home))
		if home != "agent-4" {
			g.Expect(pick(r, request, candidates[:4])).To(Equal(home))
		}
	}
}

// Guards against a load that is compared without regard to limits or to what was sent since the announcement.
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

// Guards against an upstream that fails everything and keeps its share, and against ejecting more than half.
func TestOutliersAreEjectedUpToHalf(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	o := NewOutlierDetector(func() time.Time { return now })
	candidates := upstreams(4, 10)
	failing := func(id string) {
		for range ejectAfterConsecutive {
			o.Report(id, true)
		}
	}
	failing("agent-0")
	g.Expect(o.Filter(candidates)).To(HaveLen(3))
	now = now.Add(baseEjection + time.Millisecond)
	g.Expect(o.Filter(candidates)).To(HaveLen(4))
	failing("agent-0")
	now = now.Add(baseEjection + time.Millisecond)
	g.Expect(o.Filter(candidates)).To(HaveLen(3), "the second ejection lasts twice as long")
	for _, u := range candidates {
		failing(u.Node.NodeID)
	}
	g.Expect(o.Filter(candidates)).To(HaveLen(2))
}

// Guards against an upstream that fails often but not in a row, and against ejections when all fail alike.
func TestFailureRateIsComparedWithTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	o := NewOutlierDetector(func() time.Time { return now })
	for i := range 40 {
		o.Report("agent-0", i%2 == 0)
		o.Report("agent-1", i%2 == 0)
	}
	g.Expect(o.Filter(upstreams(3, 1))).To(HaveLen(3))
	now = now.Add(outlierWindow + time.Second)
	for i := range 40 {
		o.Report("agent-1", false)
		o.Report("agent-0", i%2 == 0)
	}
	g.Expect(o.Filter(upstreams(3, 1))).To(HaveLen(2))
}
