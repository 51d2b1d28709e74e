package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
)

// setAnswerTokens sets the mean length of answers.
func (e *entry) setAnswerTokens(mean float64) {
	config := *e.state.Snapshot().Index.Config
	engine := *config.Services[0].Engine
	engine.MeanAnswerTokens = mean
	config.Version, config.Services = config.Version+1, []catalog.Service{{Name: "s", Engine: &engine}}
	e.state.ApplyConfig(&config, 200)
}

// Guards against a stream that is interrupted by the rollout of a version, continues on an upstream whose turn comes soon, and is cut when
// that one is interrupted too.
func TestInterruptedStreamAvoidsTheNextTurns(t *testing.T) {
	const runs = 10
	for name, test := range map[string]struct {
		// turns are those of the upstreams in ms, 0 for an upstream that holds the newest version.
		turns []int64
		// preferred are the upstreams at which streams are resumed: not where they broke off.
		preferred []int
	}{
		"two are not interrupted any more": {turns: []int64{100, 750, 0, 1400, 0}, preferred: []int{2, 4}},
		"all are interrupted":              {turns: []int64{100, 750, 5000, 1400, 5050}, preferred: []int{2, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := engineEntry(t)
			e.setAnswerTokens(5000) // An answer takes about 10 s.
			var list []*upstream
			for i, turn := range test.turns {
				u := newUpstream(t, string(rune('a'+i)), startOrResume(breakOff, streamUpTo(3)))
				list = append(list, u)
				e.announce(u, 1, 1)
				e.loads.Apply([]message.UpstreamLoad{{Address: u.addr, TurnInMillis: turn,
					Models: []catalog.LoadedLayers{{Model: "m", Version: 1, From: 0, To: 1}}}})
			}
			for range runs {
				a := generate(e)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
			}
			for i, u := range list {
				for _, req := range u.requests() {
					if req.Header.Get("After") != "0" {
						g.Expect(test.preferred).To(ContainElement(i))
					}
				}
			}
		})
	}
}

// Guards against a stream that is cut at a moment at which no upstream can continue it, shortly before one can.
func TestInterruptedStreamWaitsForAnUpstream(t *testing.T) {
	g := NewWithT(t)
	interrupted := newUpstream(t, "u1", breakOff)
	e := engineEntry(t)
	e.announce(interrupted, 1, 1)
	loads := newUpstream(t, "u2", streamUpTo(3))
	time.AfterFunc(600*time.Millisecond, func() { e.announce(loads, 2, 2) })
	a := generate(e)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
}

// Guards against a stream that goes on at another upstream although its request has been found meanwhile to crash upstreams.
func TestInterruptedStreamThatCrashesUpstreamsIsNotContinued(t *testing.T) {
	g := NewWithT(t)
	e := engineEntry(t)
	e.announce(newUpstream(t, "u1", breakOff), 1, 1)
	next := newUpstream(t, "u2", streamUpTo(3))
	time.AfterFunc(600*time.Millisecond, func() {
		for i := range 3 {
			e.poison.Record(message.CrashedAttempt{Upstream: fmt.Sprint("m", i), Request: "r", Begun: true,
				Subjects: []string{poison.PartSubject(deadlyPart)}})
		}
		e.announce(next, 1, 2)
	})
	a := e.send(context.Background(), "/stream/", func(r *http.Request) {
		r.Header.Set("Model", "m")
		r.Header.Set("Wait", "3000")
		r.Header.Set("Parts", "first,"+deadlyPart+",own")
	})
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(next.requests()).To(BeEmpty())
}

// Guards against a stream that goes back to an older version of the weights although an upstream with its own version can continue it.
func TestInterruptedStreamDoesNotGoBackToOlderWeights(t *testing.T) {
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			g := NewWithT(t)
			e := engineEntry(t)
			older, same := newUpstream(t, "u2", streamUpTo(3)), newUpstream(t, "u3", streamUpTo(3))
			e.announce(newUpstream(t, "u1", func(nc net.Conn, req *http.Request) {
				e.announce(older, 1, 2)
				e.announce(same, 2, 3)
				breakOff(nc, req)
			}), 2, 1)
			a := generate(e)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(event(1) + event(2) + event(3)))
			g.Expect(older.requests()).To(BeEmpty())
		})
	}
}
