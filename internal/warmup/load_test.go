package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/warmup"
)

// The figures of deployment K: 36 entries in 3 data centres, 34 engines, 11 of them in the data centre that comes back cold.
const (
	modelEntries   = 36
	coldUpstreams  = 11
	warmUpstreams  = 23
	coldPerSecond  = 26.0
	overrun        = 1.5
	slack          = 5.0
	coldTime       = 3 * time.Second
	recordInterval = 1200 * time.Millisecond
	modelStep      = 2 * time.Millisecond
	// maxInSecond is the most requests that a cold upstream may get in any one second.
	maxInSecond = int(coldPerSecond*overrun + slack)
	// memberRetention is the time for which members are kept without a link (2 minutes in package mesh).
	memberRetention = 2 * time.Minute
)

// loadModel is a fleet of entries with a simulated clock, before the cold upstreams of one data centre. Callers arrive at random moments, and each
// is sent to one of the upstreams that its entry may use.
type loadModel struct {
	now     time.Time
	random  *rand.Rand
	entries []*modelEntry
	// arrivals are the times at which each cold upstream got a request.
	arrivals [coldUpstreams][]time.Time
	served   int
	// warm is the number of warm upstreams, which take any rate.
	warm     int
	sequence int64
}

type modelEntry struct {
	limiter *warmup.Limiter
	// perSecond is the rate of its callers.
	perSecond float64
	// known is the number of entries that it knows, 0 while it knows none.
	known int
	// evacuationEndedAt is when it learned that the data centre may be used, zero before.
	evacuationEndedAt time.Time
	// excluded is set while it may not use the data centre.
	excluded bool
}

// newLoadModel returns a fleet that knows all its entries and upstreams for a minute.
func newLoadModel(seed uint64, entries, warm int) *loadModel {
	m := &loadModel{now: time.Unix(10_000, 0), random: rand.New(rand.NewPCG(seed, 1)), warm: warm}
	for range entries {
		e := &modelEntry{known: entries}
		m.start(e)
		m.entries = append(m.entries, e)
	}
	m.announce(0)
	m.now = m.now.Add(time.Minute)
	m.announce(0)
	for _, e := range m.entries {
		e.limiter.Sweep()
	}
	return m
}

// start starts the process of an entry, which knows nothing.
func (m *loadModel) start(e *modelEntry) {
	e.limiter = warmup.New(warmup.Config{
		Settings:          func(string) warmup.Settings { return warmup.Settings{ColdStart: coldTime, PerSecond: coldPerSecond} },
		Entries:           func() (int, bool) { return e.known, e.known > 0 },
		EvacuationEndedAt: func(string) time.Time { return e.evacuationEndedAt },
		Overrun:           overrun, Slack: slack, Now: func() time.Time { return m.now }, Random: m.random.Float64})
}

func target(i int) warmup.Upstream {
	return warmup.Upstream{ID: fmt.Sprintf("u%d", i), StartedAtMillis: 1, Service: "s", DataCentre: "z"}
}

// record returns the newest record of an upstream that stays cold for coldLeft.
func (m *loadModel) record(i int, coldLeft time.Duration) warmup.Record {
	return warmup.Record{Upstream: target(i), Sequence: m.sequence, Revision: m.sequence, ColdLeft: coldLeft}
}

// announce lets all upstreams write a record that reaches all entries at once.
func (m *loadModel) announce(coldLeft time.Duration) {
	m.sequence++
	for _, e := range m.entries {
		m.announceTo(e, coldLeft)
	}
}

func (m *loadModel) announceTo(e *modelEntry, coldLeft time.Duration) {
	for i := range coldUpstreams {
		e.limiter.Record(m.record(i, coldLeft))
	}
}

// offer distributes the demand for all cold upstreams together, in requests a second, over the entries. skew 0 is even; with skew 1 each
// entry has 1.3 times the demand of the next one.
func (m *loadModel) offer(total, skew float64) {
	sum, weight := 0.0, 1.0
	for _, e := range m.entries {
		e.perSecond = weight
		sum, weight = sum+weight, weight/(1+0.3*skew)
	}
	for _, e := range m.entries {
		e.perSecond *= total / sum
	}
}

// run advances the model. each, if not nil, is called before each step.
func (m *loadModel) run(d time.Duration, each func()) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		if each != nil {
			each()
		}
		for _, e := range m.entries {
			for expected := e.perSecond * modelStep.Seconds(); expected > 0; expected-- {
				if m.random.Float64() < expected {
					m.call(e)
				}
			}
		}
	}
}

// call sends a request to one of the upstreams that the entry may use, chosen at random: the cold ones with a permit and the warm ones.
func (m *loadModel) call(e *modelEntry) {
	for _, i := range m.random.Perm(coldUpstreams + m.warm) {
		if i >= coldUpstreams {
			m.served++
			return
		}
		if e.excluded {
			continue
		}
		if _, ok := e.limiter.Take(target(i)); ok {
			m.arrivals[i] = append(m.arrivals[i], m.now)
			m.served++
			return
		}
	}
}

// mostInSecond returns the most requests that one cold upstream got in any one second after start.
func (m *loadModel) mostInSecond(start time.Time) (most int) {
	for _, arrivals := range m.arrivals {
		first := 0
		for last, at := range arrivals {
			for first < last && (arrivals[first].Before(start) || at.Sub(arrivals[first]) > time.Second) {
				first++
			}
			if !at.Before(start) {
				most = max(most, last-first+1)
			}
		}
	}
	return most
}

// usedShare returns the part of coldPerSecond that all cold upstreams together got from start to now.
func (m *loadModel) usedShare(start time.Time) float64 {
	n := 0
	for _, arrivals := range m.arrivals {
		for _, at := range arrivals {
			if !at.Before(start) {
				n++
			}
		}
	}
	return float64(n) / (coldPerSecond * coldUpstreams * m.now.Sub(start).Seconds())
}

// forSeeds runs a test with several seeds.
func forSeeds(t *testing.T, test func(g *WithT, seed uint64)) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { test(NewWithT(t), seed) })
	}
}

// Guards against cold upstreams that get more than they take although each entry keeps to its share, and against a rate of which little is
// used. Load: all 11 upstreams of a data centre of deployment K come back cold in a burst that would give each of them 60 requests a second, or
// 500, with even and with very uneven demand over the 36 entries (the first has 1.3 times that of the second, and so on).
func TestDataCentreThatComesBackColdInABurst(t *testing.T) {
	for _, perUpstream := range []float64{60, 500} {
		for _, skew := range []float64{0, 1} {
			t.Run(fmt.Sprintf("%g a second, skew %g", perUpstream, skew), func(t *testing.T) {
				forSeeds(t, func(g *WithT, seed uint64) {
					m := newLoadModel(seed, modelEntries, 0)
					cold := m.now
					m.announce(time.Minute)
					m.offer(0.01*coldUpstreams, skew)
					m.run(2*time.Second, nil)
					m.offer(perUpstream*coldUpstreams, skew)
					burst := m.now
					m.run(20*time.Second, nil)
					g.Expect(m.mostInSecond(cold)).To(BeNumerically("<=", maxInSecond))
					if skew == 0 {
						g.Expect(m.usedShare(burst)).To(BeNumerically(">=", 2.0/3))
					}
				})
			})
		}
	}
}

// Guards against a limit that holds only for the number of entries of one deployment. Load: as above, with 1 to 300 entries, in bursts of 60
// requests a second for each upstream that begin again after each pause of 0.5 s, then 200 a second for each upstream and at least 20 at each
// entry. An entry uses the more of its permits the more requests it gets while one is valid.
func TestLimitHoldsForAnyNumberOfEntries(t *testing.T) {
	for _, entries := range []int{1, 3, 13, 41, 64, 100, 300} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			forSeeds(t, func(g *WithT, seed uint64) {
				m := newLoadModel(seed, entries, 0)
				cold := m.now
				m.announce(time.Minute)
				for range 6 {
					m.offer(60*coldUpstreams, 0)
					m.run(1500*time.Millisecond, nil)
					m.offer(0, 0)
					m.run(500*time.Millisecond, nil)
				}
				m.offer(max(200*coldUpstreams, 20*float64(entries)), 0)
				steady := m.now
				m.run(8*time.Second, nil)
				g.Expect(m.mostInSecond(cold)).To(BeNumerically("<=", maxInSecond))
				g.Expect(m.usedShare(steady)).To(BeNumerically(">=", 2.0/3))
			})
		})
	}
}

// Guards against entries that take more than the rate together because they learn at different times that a data centre may be used again. Load: the
// data centre was evacuated and comes back cold, in a burst that would give each upstream 60 requests a second; each entry learns of the end
// 0.1 to 1.2 s late, and gets the first record that says that the upstreams are cold another 0.1 to 1.2 s later.
func TestEntriesLearnLateThatAnEvacuationEnded(t *testing.T) {
	forSeeds(t, func(g *WithT, seed uint64) {
		m := newLoadModel(seed, modelEntries, warmUpstreams)
		ended, learned, told := m.now, map[*modelEntry]time.Time{}, map[*modelEntry]time.Time{}
		late := func() time.Duration {
			return 100*time.Millisecond + time.Duration(m.random.Int64N(int64(1100*time.Millisecond)))
		}
		for _, e := range m.entries {
			e.excluded = true
			learned[e] = m.now.Add(late())
			told[e] = learned[e].Add(late())
		}
		m.sequence++
		m.offer(60*(coldUpstreams+warmUpstreams), 0)
		m.run(coldTime, func() {
			for _, e := range m.entries {
				if e.excluded && !m.now.Before(learned[e]) {
					e.excluded, e.evacuationEndedAt = false, m.now
				}
				if at, pending := told[e]; pending && !m.now.Before(at) {
					delete(told, e)
					m.announceTo(e, coldTime-m.now.Sub(ended))
				}
			}
		})
		g.Expect(m.mostInSecond(ended)).To(BeNumerically("<=", maxInSecond))
	})
}

// Guards against a limit without a margin for entries that do not know yet that an upstream in use has turned cold. Load: a quiet day of deployment
// K, 34 upstreams that get 12 requests a second each; 11 of them turn cold without a restart and each entry learns it 0.1 to 1.2 s late.
func TestEntriesLearnLateThatUpstreamsTurnedCold(t *testing.T) {
	forSeeds(t, func(g *WithT, seed uint64) {
		m := newLoadModel(seed, modelEntries, warmUpstreams)
		m.offer(12*(coldUpstreams+warmUpstreams), 0)
		m.run(2*time.Second, nil)
		turned, told := m.now, map[*modelEntry]time.Time{}
		for _, e := range m.entries {
			told[e] = m.now.Add(100*time.Millisecond + time.Duration(m.random.Int64N(int64(1100*time.Millisecond))))
		}
		m.sequence++
		m.run(coldTime, func() {
			for _, e := range m.entries {
				if at, pending := told[e]; pending && !m.now.Before(at) {
					delete(told, e)
					m.announceTo(e, coldTime-m.now.Sub(turned))
				}
			}
		})
		g.Expect(m.mostInSecond(turned)).To(BeNumerically("<=", maxInSecond))
	})
}

// Guards against entries that send more while they do not know each other yet: all that start together would take the whole rate each. Load: all 36
// entries are killed and start again within 0.5 s, while the upstreams are cold and each could get 60 requests a second. They know no entries
// for up to 1 s, then more and more of them.
func TestEntriesKilledTogetherAndRestarted(t *testing.T) {
	forSeeds(t, func(g *WithT, seed uint64) {
		m := newLoadModel(seed, modelEntries, 0)
		m.offer(60*coldUpstreams, 0)
		cold := m.now
		m.announce(time.Minute)
		m.run(3*time.Second, nil)
		firstKnown := map[*modelEntry]time.Time{}
		for _, e := range m.entries {
			e.known, e.perSecond = 0, 0
			firstKnown[e] = m.now.Add(time.Duration(m.random.Int64N(int64(time.Second))))
			m.start(e)
		}
		killed := m.now
		m.run(500*time.Millisecond, nil)
		m.offer(60*coldUpstreams, 0)
		m.run(10*time.Second, func() {
			for _, e := range m.entries {
				if after := m.now.Sub(firstKnown[e]); after >= 0 {
					e.known = min(modelEntries, max(e.known, 2+int(after.Seconds()*modelEntries)))
				}
			}
			if m.now.Sub(killed)%recordInterval < modelStep {
				m.announce(time.Minute)
			}
		})
		g.Expect(m.mostInSecond(cold)).To(BeNumerically("<=", maxInSecond))
		g.Expect(m.usedShare(m.now.Add(-4 * time.Second))).To(BeNumerically(">=", 2.0/3))
	})
}

// Guards against entries that take over the share of those that they cannot reach. Load: two halves of the fleet that have lost all links between
// them and forgotten each other after 2 minutes, 5 minutes before upstreams turn cold in a burst of 60 requests a second for each.
func TestHalvesThatCannotReachEachOther(t *testing.T) {
	forSeeds(t, func(g *WithT, seed uint64) {
		m := newLoadModel(seed, modelEntries, 0)
		m.now = m.now.Add(memberRetention)
		for range 5 {
			for _, e := range m.entries {
				e.known = modelEntries / 2
				e.limiter.Sweep()
			}
			m.now = m.now.Add(time.Minute)
		}
		cold := m.now
		m.announce(time.Minute)
		m.offer(60*coldUpstreams, 0)
		m.run(10*time.Second, nil)
		g.Expect(m.mostInSecond(cold)).To(BeNumerically("<=", maxInSecond))
		g.Expect(m.usedShare(cold.Add(2 * time.Second))).To(BeNumerically(">=", 2.0/3))
	})
}
