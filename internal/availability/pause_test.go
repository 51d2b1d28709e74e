package availability_test

import (
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/availability"
)

// newTable returns a table of an entry that resumes without delay, with the clock of the test.
func newTable() *availability.Table {
	return availability.New(availability.Config{Random: func() float64 { return 0 }})
}

// pausingServer asks every entry for one pause, in its answer to the first request after overloadedAt, and serves all other requests.
type pausingServer struct {
	overloadedAt time.Time
	pause        time.Duration

	mu sync.Mutex
	// refusedAt is the time of the refusal by entry, arrivals are the times of all requests by entry.
	refusedAt map[int]time.Time
	arrivals  map[int][]time.Time
}

// serve serves a request of an entry and returns the pause that it names, 0 if it serves the request.
func (s *pausingServer) serve(entry int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[entry] = append(s.arrivals[entry], time.Now())
	if _, refused := s.refusedAt[entry]; refused || time.Now().Before(s.overloadedAt) {
		return 0
	}
	s.refusedAt[entry] = time.Now()
	return s.pause
}

// between returns how many requests arrived from an entry in the given times after its refusal.
func (s *pausingServer) between(entry int, from, to time.Duration) (n int) {
	for _, at := range s.arrivals[entry] {
		if since := at.Sub(s.refusedAt[entry]); since >= from && since < to {
			n++
		}
	}
	return n
}

// Guards against requests of any entry within a pause; against a stampede at its end, of one entry or of several at the same moment; and
// against a server that does not get all its requests back.
func TestPauseHoldsForAllEntriesAndEndsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const entries, callers, pause, latency = 8, 20, 4 * time.Second, 5 * time.Millisecond
		const length = 12 * time.Second
		server := &pausingServer{overloadedAt: time.Now().Add(time.Second), pause: pause, refusedAt: map[int]time.Time{},
			arrivals: map[int][]time.Time{}}
		var all sync.WaitGroup
		for entry := range entries {
			table := availability.New(availability.Config{Random: func() float64 { return float64(entry) / entries }})
			for range callers {
				all.Go(func() { callUntil(table, server, entry, latency, time.Now().Add(length)) })
			}
		}
		all.Wait()
		first := map[time.Duration]int{}
		for entry := range entries {
			spread := time.Second * time.Duration(entry) / entries // pause/4
			g.Expect(server.between(entry, latency+time.Millisecond, pause)).To(BeZero())
			end := pause + spread
			g.Expect(server.between(entry, pause, end)).To(BeZero())
			g.Expect(server.between(entry, end, end+100*time.Millisecond)).To(BeNumerically("==", 1))
			g.Expect(server.between(entry, end+100*time.Millisecond, end+200*time.Millisecond)).To(BeNumerically("<=", 2+1))
			g.Expect(server.between(entry, end, end+500*time.Millisecond)).To(BeNumerically("<=", 1+2+4+8+16+1))
			g.Expect(server.between(entry, end+time.Second, end+2*time.Second)).To(BeNumerically(">=", callers*90), "full load")
			first[end]++
		}
		g.Expect(first).To(HaveLen(entries), "entries resume at different times")
	})
}

// callUntil sends requests of one caller, one each 10 ms, until end.
func callUntil(table *availability.Table, server *pausingServer, entry int, latency time.Duration, end time.Time) {
	for time.Now().Before(end) {
		if table.Take(process) {
			sentAt := time.Now()
			pause := server.serve(entry)
			time.Sleep(latency)
			table.RecordPause(process, pause, "r")
			table.RecordResult(process, sentAt, pause == 0)
			time.Sleep(10*time.Millisecond - latency)
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a pause that a shorter one, or a request that is served meanwhile, ends before its time.
func TestLongestPauseHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newTable()
		table.RecordPause(process, 10*time.Second, "r1")
		table.RecordPause(process, time.Second, "r2")
		table.RecordPause(process, 0, "r3")
		table.RecordPause(process, -time.Second, "r4")
		table.RecordResult(process, time.Now(), true)
		g.Expect(table.Status(process).Wait).To(Equal(10 * time.Second))
		time.Sleep(10*time.Second - time.Millisecond)
		g.Expect(table.Take(process)).To(BeFalse())
		g.Expect(table.Blocked(process)).To(BeTrue())
		time.Sleep(time.Millisecond)
		g.Expect(table.Blocked(process)).To(BeFalse())
		g.Expect(table.Take(process)).To(BeTrue())
	})
}

// Guards against a very long pause that overflows, is ignored, or keeps a process without requests for ever.
func TestPauseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newTable()
		table.RecordPause(process, math.MaxInt64, "r")
		g.Expect(table.Status(process).Wait).To(Equal(availability.MaxPause))
		time.Sleep(availability.MaxPause - time.Millisecond)
		g.Expect(table.Take(process)).To(BeFalse())
		time.Sleep(time.Millisecond)
		g.Expect(table.Take(process)).To(BeTrue())
		g.Expect(table.Take(process)).To(BeFalse(), "one request asks again")
		table.RecordPause(process, math.MaxInt64, "r")
		g.Expect(table.Status(process).Wait).To(Equal(availability.MaxPause))
	})
}

// Guards against requests to a process that has named a long pause before that pause is over: callers get refusals, and a process that serves
// them anyway would soon get all its requests.
func TestLongPauseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const interval = 10 * time.Second
		for _, pause := range []time.Duration{time.Hour, 23 * time.Hour} {
			table := newTable()
			table.RecordPause(process, pause, "r")
			sent := 0
			for end := time.Now().Add(pause); time.Now().Before(end); time.Sleep(interval) {
				if table.Take(process) {
					sent++
					table.RecordResult(process, time.Now(), true)
				}
			}
			g.Expect(sent).To(BeZero(), "in a pause of %s", pause)
			g.Expect(table.Take(process)).To(BeTrue(), "after a pause of %s", pause)
		}
	})
}

// Guards against requests that go on returning although they fail, against a process that gets none any more after a failure or after a
// request without a result, and against results of earlier requests that count.
func TestRequestsReturnOnlyWhileTheyAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newTable()
		table.RecordPause(process, time.Second, "r")
		before := time.Now()
		time.Sleep(time.Second)
		taken := func() (n int) {
			for table.Take(process) {
				n++
			}
			return n
		}
		g.Expect(taken()).To(Equal(1))
		table.RecordResult(process, before, true) // The request was sent before the pause.
		time.Sleep(500 * time.Millisecond)
		g.Expect(taken()).To(BeZero())
		time.Sleep(500 * time.Millisecond)
		g.Expect(taken()).To(Equal(1), "the first request has no result")
		table.RecordResult(process, time.Now(), true)
		time.Sleep(100 * time.Millisecond)
		g.Expect(taken()).To(Equal(2))
		table.RecordResult(process, time.Now(), false)
		time.Sleep(500 * time.Millisecond)
		g.Expect(taken()).To(BeZero())
		g.Expect(table.Status(process).Wait).To(Equal(500 * time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		g.Expect(taken()).To(Equal(1), "after a failure")
		table.Return(process)
		g.Expect(taken()).To(Equal(1), "the request was not sent")
	})
}

// Guards against a process that is held back by the pause of its predecessor with the same ID.
func TestRestartedProcessDoesNotPause(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordPause(process, time.Hour, "r")
	restarted := availability.Process{ID: process.ID, StartedAtMillis: 2}
	g.Expect(table.Status(restarted).Wait).To(BeZero())
	g.Expect(table.Blocked(restarted)).To(BeFalse())
	g.Expect(table.Take(restarted)).To(BeTrue())
	g.Expect(table.Take(restarted)).To(BeTrue())
}

// Guards against changes that are not reported, or are reported for each of many refusals that name the same pause.
func TestChangesOfAPauseAreObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var changes []string
		table := availability.New(availability.Config{Random: func() float64 { return 0 }, Observe: func(e availability.Event) {
			changes = append(changes, e.Change.String()+" "+e.Request+" "+e.RetryAfter.String())
		}})
		for range 100 {
			table.RecordPause(process, 2*time.Second, "r1")
			time.Sleep(time.Millisecond)
		}
		table.RecordPause(process, 4*time.Second, "r2")
		time.Sleep(4 * time.Second)
		for range 10 {
			table.Take(process)
			table.RecordResult(process, time.Now(), true)
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(changes).To(Equal([]string{"pausing r1 2s", "pausing r2 4s", "resuming  0s", "available  0s"}))
	})
}
