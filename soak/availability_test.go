package main

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// history is a fabricated record of requests to the server "s".
type history struct {
	checker  *checker
	start    time.Time
	arrivals []standin.Arrival
}

func newHistory() *history {
	return &history{checker: &checker{fleet: &testFleet{}, sent: map[string]sentRequest{}}, start: time.Now()}
}

// request adds a request of an entry that was sent, arrived and was answered at the same time after the start. told describes the answer.
func (h *history) request(entry int, after time.Duration, told standin.Arrival) {
	told.AttemptID, told.At = "r"+strconv.Itoa(len(h.arrivals)), h.start.Add(after)
	sent := sentRequest{entry: entry, at: told.At, answeredAt: told.At}
	if told.Leaving {
		sent.leaving = "s"
	}
	h.checker.sent[told.AttemptID] = sent
	h.arrivals = append(h.arrivals, told)
}

// requests adds n served requests of an entry, 10 ms apart, to a process of the server.
func (h *history) requests(n, entry int, after time.Duration, process int) {
	for i := range n {
		h.request(entry, after+time.Duration(i)*10*time.Millisecond, standin.Arrival{Process: process})
	}
}

// disturb records a disturbance of an entry or server.
func (h *history) disturb(name string, begin, end time.Duration) {
	h.checker.fleet.disturbances.during(name, func() func() { return func() {} })()
	periods := h.checker.fleet.disturbances.periods[name]
	*periods[len(periods)-1] = period{h.start.Add(begin), h.start.Add(end)}
}

func (h *history) findings() []string { return h.checker.checkServer("s", h.arrivals) }

// Guards against a checker that misses requests in a pause: of an entry that ignores it, or that returns before its end.
func TestRequestsInPauseAreReported(t *testing.T) {
	for name, add := range map[string]func(*history){
		"ignored":                 func(h *history) { h.requests(200, 0, 0, 0) },
		"three requests":          func(h *history) { h.requests(3, 0, 600*time.Millisecond, 0) },
		"shortly before the end":  func(h *history) { h.requests(3, 0, 1900*time.Millisecond, 0) },
		"after another entry's":   func(h *history) { h.requests(1, 1, 600*time.Millisecond, 0); h.requests(3, 0, time.Second, 0) },
		"cut long after refusal":  func(h *history) { h.requests(3, 0, time.Second, 0); h.disturb("s", 700*time.Millisecond, time.Second) },
		"cut long before refusal": func(h *history) { h.requests(3, 0, time.Second, 0); h.disturb("s", -2*time.Second, -time.Second) },
		"restart after requests": func(h *history) {
			h.requests(3, 0, time.Second, 0)
			h.disturb(entryName(0), 1500*time.Millisecond, 2*time.Second)
		},
		"restart of another entry": func(h *history) { h.requests(3, 0, time.Second, 0); h.disturb(entryName(1), 0, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHistory()
			h.request(0, 0, standin.Arrival{Pause: 2 * time.Second})
			add(h)
			g.Expect(h.findings()).To(HaveLen(1))
			g.Expect(h.findings()[0]).To(ContainSubstring("in the pause of 2s"))
		})
	}
}

// Guards against a checker that reports what entries may do: requests under way, two requests, those of other entries, after the pause or to
// the next process, and those after a restart, a freeze or a cut.
func TestRequestsOutsidePauseAreNotReported(t *testing.T) {
	for name, add := range map[string]func(*history){
		"under way":     func(h *history) { h.requests(40, 0, 0, 0) },
		"two requests":  func(h *history) { h.requests(2, 0, time.Second, 0) },
		"after its end": func(h *history) { h.requests(100, 0, 2*time.Second, 0) },
		"another entry": func(h *history) { h.requests(100, 1, 600*time.Millisecond, 0) },
		"next process":  func(h *history) { h.requests(100, 0, 600*time.Millisecond, 1) },
		"restart": func(h *history) {
			h.requests(100, 0, 600*time.Millisecond, 0)
			h.disturb(entryName(0), 100*time.Millisecond, 500*time.Millisecond)
		},
		"cut": func(h *history) {
			h.requests(100, 0, 600*time.Millisecond, 0)
			h.disturb("s", -100*time.Millisecond, -50*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHistory()
			h.request(0, 0, standin.Arrival{Pause: 2 * time.Second})
			add(h)
			g.Expect(h.findings()).To(BeEmpty())
			g.Expect(h.checker.judged.pauses + h.checker.judged.excused).To(Equal(1))
		})
	}
}

// Guards against a checker that misses a request to a server that has said that it leaves, and against one that reports what entries may do.
func TestRequestsToLeavingServer(t *testing.T) {
	for name, c := range map[string]struct {
		add      func(*history)
		findings int
	}{
		"one late request":  {func(h *history) { h.requests(1, 0, 2100*time.Millisecond, 0) }, 1},
		"cut of the server": {func(h *history) { h.requests(1, 0, 3*time.Second, 0); h.disturb("s", 0, time.Second) }, 1},
		"within the bound":  {func(h *history) { h.requests(100, 0, 900*time.Millisecond, 0) }, 0},
		"another entry":     {func(h *history) { h.requests(100, 1, 3*time.Second, 0) }, 0},
		"next process":      {func(h *history) { h.requests(100, 0, 3*time.Second, 1) }, 0},
		"freeze of the entry": {func(h *history) {
			h.requests(100, 0, 3*time.Second, 0)
			h.disturb(entryName(0), time.Second, 2*time.Second)
		}, 0},
		"answer not passed on": {func(h *history) {
			h.checker.sent["r0"] = sentRequest{}
			h.requests(1, 0, 3*time.Second, 0)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHistory()
			h.request(0, 0, standin.Arrival{Leaving: true})
			c.add(h)
			g.Expect(h.findings()).To(HaveLen(c.findings))
		})
	}
}
