package simulate

import (
	"container/heap"
	"time"
)

// schedule runs f at the given time, or at the present time if that has passed. Events of the same time run in the order in which they
// were scheduled.
func (s *simulation) schedule(when time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{when: max(when, s.now), seq: s.seq, run: f})
}

// event is a function that runs at a time of the simulation; seq orders events of the same time.
type event struct {
	when time.Duration
	seq  int
	run  func()
}

// eventQueue is a heap of events; the earliest is first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].when < q[j].when || q[i].when == q[j].when && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runUntil runs the events up to and including the given time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.when > end {
			break
		}
		s.now = e.when
		e.run()
	}
}

// scheduleEvery runs f at intervals until 6 s after the scenario's Duration, within which all requests arrive. In the named scenarios the
// deadline of every request has passed by then.
func (s *simulation) scheduleEvery(interval time.Duration, f func()) {
	s.schedule(s.now+interval, func() {
		f()
		if s.now < s.scenario.Duration+6*time.Second {
			s.scheduleEvery(interval, f)
		}
	})
}
