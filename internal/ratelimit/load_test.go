package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/ratelimit"
)

// loadModel is a fleet of entries with a simulated clock. Callers arrive at random moments and each asks its entry for one limited
// upstream; reports between entries take random times.
type loadModel struct {
	now     time.Time
	random  *rand.Rand
	entries []*modelEntry
	mail    []modelMail
	// arrivals are the times at which requests reached the upstream.
	arrivals []time.Time
}

type modelEntry struct {
	id      string
	limiter *ratelimit.Limiter
	// others are the IDs of the other entries.
	others []string
	// perSecond is the rate of its callers.
	perSecond float64
	// cut is set while reports neither leave nor reach the entry.
	cut        bool
	reportedAt time.Time
}

type modelMail struct {
	at     time.Time
	from   *modelEntry
	to     *modelEntry
	report *message.RateShares
}

const (
	modelStep       = 10 * time.Millisecond
	reportInterval  = 300 * time.Millisecond
	maxReportDelay  = 150 * time.Millisecond
	namedAfter      = 2 * time.Second
	contactTime     = 3 * time.Second
	ruleWindow      = 4 * time.Second
	maxRateFactor   = 1.5
	maxExtraRequest = 5
)

var target = ratelimit.Upstream{ID: "u", Service: "s"}

func newLoadModel(seed uint64, entries int) *loadModel {
	m := &loadModel{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	for range entries {
		m.add(1)
	}
	return m
}

// add adds an entry whose callers send the given number of requests a second.
func (m *loadModel) add(perSecond float64) *modelEntry {
	e := &modelEntry{id: fmt.Sprintf("e%d", len(m.entries)), perSecond: perSecond, reportedAt: m.now}
	e.limiter = ratelimit.New(ratelimit.Config{Self: e.id, Members: func() []string { return e.others },
		Now: func() time.Time { return m.now }, Random: m.random.Float64})
	for _, other := range m.entries {
		other.others, e.others = append(other.others, e.id), append(e.others, other.id)
	}
	m.entries = append(m.entries, e)
	return e
}

// run advances the model. The upstream names perSecond in its answers; 0 is none.
func (m *loadModel) run(d, perSecond float64) {
	for end := m.now.Add(time.Duration(d * float64(time.Second))); m.now.Before(end); m.now = m.now.Add(modelStep) {
		for len(m.mail) > 0 && !m.mail[0].at.After(m.now) {
			next := m.mail[0]
			m.mail = m.mail[1:]
			if !next.to.cut && !next.from.cut {
				next.to.limiter.Merge(next.report)
			}
		}
		for _, e := range m.entries {
			if m.random.Float64() < e.perSecond*modelStep.Seconds() {
				e.limiter.RecordDemand("s")
				if e.limiter.Take(target) {
					m.arrivals = append(m.arrivals, m.now)
					e.limiter.RecordResponse(target, perSecond, perSecond > 0)
				}
			}
			m.report(e)
		}
	}
}

// report sends the report of an entry if it is due. Reports arrive in the order in which they were sent.
func (m *loadModel) report(e *modelEntry) {
	if m.now.Sub(e.reportedAt) < reportInterval {
		return
	}
	e.reportedAt = m.now
	report := e.limiter.Export()
	if report == nil {
		return
	}
	at := m.now.Add(time.Duration(m.random.Int64N(int64(maxReportDelay))))
	if n := len(m.mail); n > 0 && m.mail[n-1].at.After(at) {
		at = m.mail[n-1].at
	}
	for _, to := range m.entries {
		if to != e {
			m.mail = append(m.mail, modelMail{at, e, to, report})
		}
	}
}

// mostInWindow returns the most requests that reached the upstream within ruleWindow, of those after start.
func (m *loadModel) mostInWindow(start time.Time) (most int) {
	for i, at := range m.arrivals {
		if at.Before(start) {
			continue
		}
		n := 0
		for _, other := range m.arrivals[i:] {
			if other.Sub(at) <= ruleWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// count returns the requests that reached the upstream after start.
func (m *loadModel) count(start time.Time) (n int) {
	for _, at := range m.arrivals {
		if !at.Before(start) {
			n++
		}
	}
	return n
}

// allowed returns the most requests that may reach an upstream within ruleWindow.
func allowed(perSecond float64) int {
	return int(maxRateFactor*perSecond*ruleWindow.Seconds()) + maxExtraRequest
}

// Guards against an upstream that gets more than it takes although each entry keeps to its share: with many entries and a low limit, with
// uneven demand, with a burst after a pause, and against limits of which little is used.
func TestLimitHoldsForAllEntriesTogether(t *testing.T) {
	for _, entries := range []int{1, 3, 8, 33} {
		for _, perSecond := range []float64{0.5, 1.5, 2, 6, 20} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d entries, %g a second, seed %d", entries, perSecond, seed), func(t *testing.T) {
					g := NewWithT(t)
					m := newLoadModel(seed, entries)
					for i, e := range m.entries {
						e.perSecond = 60 / float64(entries) * (0.3 + 1.4*float64(i%3)/2)
					}
					m.run(namedAfter.Seconds(), 0)
					named := m.now
					m.run(40, perSecond) // Long enough for 20 requests at the lowest limit.
					steady := named.Add(contactTime)
					g.Expect(m.mostInWindow(steady)).To(BeNumerically("<=", allowed(perSecond)))
					used := float64(m.count(steady)) / (m.now.Sub(steady).Seconds() * perSecond)
					g.Expect(used).To(BeNumerically(">=", 0.7))
					for _, e := range m.entries {
						e.perSecond /= 100
					}
					m.run(10, perSecond)
					for _, e := range m.entries {
						e.perSecond *= 300
					}
					m.run(10, perSecond)
					g.Expect(m.mostInWindow(steady)).To(BeNumerically("<=", allowed(perSecond)))
				})
			}
		}
	}
}

// Guards against entries that take more than their share when they lose their links, and against new ones that take a share beside those
// that have divided the limit already.
func TestLimitHoldsWhileEntriesAreCutOffAndJoin(t *testing.T) {
	for _, perSecond := range []float64{1.5, 4} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%g a second, seed %d", perSecond, seed), func(t *testing.T) {
				g := NewWithT(t)
				m := newLoadModel(seed, 8)
				for _, e := range m.entries {
					e.perSecond = 8
				}
				m.run(namedAfter.Seconds(), 0)
				steady := m.now.Add(contactTime)
				m.run(8, perSecond)
				for _, e := range m.entries[:3] {
					e.cut = true
				}
				m.run(10, perSecond)
				m.add(8)
				m.run(3, perSecond)
				for _, e := range m.entries {
					e.cut = false
				}
				m.add(20)
				m.run(8, perSecond)
				g.Expect(m.mostInWindow(steady)).To(BeNumerically("<=", allowed(perSecond)))
			})
		}
	}
}

// Guards against a limit that still holds after its upstream has stopped naming it, at an entry that had no response from it.
func TestLiftedLimitEndsAtAllEntries(t *testing.T) {
	g := NewWithT(t)
	m := newLoadModel(1, 8)
	for _, e := range m.entries {
		e.perSecond = 8
	}
	m.run(1, 0)
	m.run(8, 2)
	m.run(3, 0)
	for _, e := range m.entries {
		g.Expect(e.limiter.Limits()).To(BeEmpty(), e.id)
	}
	before := m.now
	m.run(2, 0)
	g.Expect(m.count(before)).To(BeNumerically(">", 80))
}
