package poison_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
)

// crashModel is a fleet with a simulated clock: entries with a ledger each, upstreams that run several requests at a time, callers whose
// prompts share parts, deadly parts, and crashes of other causes.
type crashModel struct {
	clock
	random    *rand.Rand
	ledgers   []*poison.Ledger
	upstreams []*modelUpstream
	events    []modelEvent
	// deadly maps each deadly part to its share of all requests.
	deadly map[string]float64
	// crashes are the times at which upstreams ended under a deadly part, sends those at which requests with one were sent.
	crashes, sends map[string][]time.Time
	// refusedSound counts sound requests that were refused.
	refusedSound int
	requests     int
}

type modelUpstream struct {
	id        string
	downUntil time.Time
	// generation counts the processes of the upstream.
	generation int64
	running    map[*modelRequest]bool
}

type modelRequest struct {
	id      string
	entry   *poison.Ledger
	parts   []string
	deadly  string
	sends   int
	begunAt time.Time
}

// modelEvent is something that happens later.
type modelEvent struct {
	at time.Time
	do func()
}

const (
	modelRate     = 60.0 // requests a second
	modelRun      = 1200 * time.Millisecond
	modelProven   = 500 * time.Millisecond
	crashDelay    = 80 * time.Millisecond
	modelDownTime = 3 * time.Second
	modelStep     = 10 * time.Millisecond
	maxModelSends = 3
	contactTime   = 3 * time.Second
)

func newCrashModel(seed uint64, entries, upstreams int, deadly map[string]float64) *crashModel {
	m := &crashModel{clock: clock{time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, 7)), deadly: deadly,
		crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}}
	for i := range upstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{id: fmt.Sprintf("u%d", i), running: map[*modelRequest]bool{}})
	}
	for range entries {
		m.ledgers = append(m.ledgers, poison.New(m.now))
	}
	for _, from := range m.ledgers {
		from.Observe(func(news *message.CrashEvidence) {
			for _, to := range m.ledgers {
				if to != from {
					m.later(time.Duration(1+m.random.IntN(60))*time.Millisecond, func() { to.Merge(news) })
				}
			}
		})
	}
	return m
}

func (m *crashModel) later(d time.Duration, do func()) {
	m.events = append(m.events, modelEvent{m.at.Add(d), do})
}

// run advances the model. otherCrashes is the mean time between crashes of other causes.
func (m *crashModel) run(d, otherCrashes time.Duration) {
	for end := m.at.Add(d); m.at.Before(end); m.advance(modelStep) {
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at.After(m.at) {
				m.events = append(m.events, e)
				continue
			}
			e.do()
		}
		if m.random.Float64() < modelRate*modelStep.Seconds() {
			m.arrive()
		}
		if m.random.Float64() < modelStep.Seconds()/otherCrashes.Seconds() {
			m.crash(m.upstreams[m.random.IntN(len(m.upstreams))])
		}
	}
}

// arrive creates a request: its first part is one of a few, a third of the requests have a second part that few others share.
func (m *crashModel) arrive() {
	m.requests++
	r := &modelRequest{id: fmt.Sprintf("r%d", m.requests), entry: m.ledgers[m.random.IntN(len(m.ledgers))]}
	r.parts = []string{fmt.Sprintf("first%d", int(m.random.ExpFloat64()*6))}
	if m.random.IntN(3) == 0 {
		r.parts = append(r.parts, fmt.Sprintf("rare%d", m.random.IntN(120)))
	}
	pick := m.random.Float64()
	for _, part := range slices.Sorted(maps.Keys(m.deadly)) {
		if pick -= m.deadly[part]; pick < 0 && r.deadly == "" {
			r.parts, r.deadly = append(r.parts, part), part
		}
	}
	m.send(r)
}

// send sends a request to a random upstream that is up, unless it is refused.
func (m *crashModel) send(r *modelRequest) {
	if r.sends++; r.sends > maxModelSends {
		return
	}
	if _, is := r.entry.Refusing(parts(r.id, r.parts...)); is {
		if r.deadly == "" {
			m.refusedSound++
		}
		return
	}
	u := m.upstreams[m.random.IntN(len(m.upstreams))]
	if m.at.Before(u.downUntil) {
		return
	}
	if r.deadly != "" {
		m.sends[r.deadly] = append(m.sends[r.deadly], m.at)
	}
	u.running[r], r.begunAt = true, time.Time{}
	generation := u.generation
	isRunning := func() bool { return u.generation == generation && u.running[r] }
	begin := time.Duration(20+m.random.IntN(300)) * time.Millisecond
	m.later(begin, func() { r.begunAt = m.at })
	if r.deadly != "" {
		m.later(begin+crashDelay, func() {
			if isRunning() {
				m.crashes[r.deadly] = append(m.crashes[r.deadly], m.at)
				m.crash(u)
			}
		})
		return
	}
	m.later(begin+modelProven, func() {
		if isRunning() {
			r.entry.Clear(parts("", r.parts...)[:len(r.parts)])
		}
	})
	m.later(begin+modelRun, func() {
		if isRunning() {
			delete(u.running, r)
		}
	})
}

// crash ends the process of an upstream. The entries find that out after some time, and send the requests again.
func (m *crashModel) crash(u *modelUpstream) {
	if m.at.Before(u.downUntil) {
		return
	}
	u.downUntil = m.at.Add(modelDownTime)
	process := u.generation
	u.generation++
	running := slices.SortedFunc(maps.Keys(u.running), func(a, b *modelRequest) int { return strings.Compare(a.id, b.id) })
	for _, r := range running {
		begun := !r.begunAt.IsZero() && !r.begunAt.After(m.at)
		proven := begun && m.at.Sub(r.begunAt) >= modelProven
		m.later(time.Duration(100+m.random.IntN(200))*time.Millisecond, func() {
			if !proven {
				r.entry.Record(message.CrashedAttempt{Upstream: u.id, StartedAtMillis: process, Request: r.id,
					Subjects: parts(r.id, r.parts...), Begun: begun})
			}
			m.send(r)
		})
	}
	u.running = map[*modelRequest]bool{}
}

// sentTooLate returns the requests with a deadly part that were sent later than contactTime after the fifth crash under it.
func (m *crashModel) sentTooLate(part string) (n int) {
	crashes := m.crashes[part]
	if len(crashes) < 5 {
		return 0
	}
	for _, at := range m.sends[part] {
		if at.After(crashes[4].Add(contactTime)) {
			n++
		}
	}
	return n
}

// Guards, over seeded days with crashes of other causes, against a deadly part that goes on crashing upstreams, against sound requests
// that are refused for parts that they share with deadly ones or for running beside them, and against one of two deadly parts that is
// missed.
func TestDaysWithDeadlyParts(t *testing.T) {
	for name, deadly := range map[string]map[string]float64{
		"none":       {},
		"few":        {"d": 0.02},
		"usual":      {"d": 0.05},
		"many":       {"d": 0.3},
		"two":        {"d": 0.08, "e": 0.02},
		"two of one": {"d": 0.05, "e": 0.05},
	} {
		for _, entries := range []int{1, 8, 16} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s, %d entries, seed %d", name, entries, seed), func(t *testing.T) {
					g := NewWithT(t)
					m := newCrashModel(seed, entries, 12, nil)
					m.run(4*time.Second, 3*time.Second)
					m.deadly = deadly
					m.run(22*time.Second, 3*time.Second)
					for part := range deadly {
						g.Expect(m.sentTooLate(part)).To(BeNumerically("<=", 3), part)
						g.Expect(len(m.crashes[part])).To(BeNumerically("<=", 12), part)
					}
					g.Expect(m.refusedSound).To(BeZero())
				})
			}
		}
	}
}
