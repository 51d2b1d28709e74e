package sched

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// dispatch starts items until the limit is reached or nothing that may start waits. The caller holds mu.
func (q *Queue) dispatch(a *actions) {
	now := q.cfg.Now()
	for q.open && q.waiting > 0 {
		it := q.next(now)
		if it == nil || q.inFlight >= q.limiter.allowed(q.mayUseHeadroom(q.class(it), now, q.total(now))) {
			return
		}
		if q.late(it, now) {
			q.discard(it, message.ReasonDeadline, a)
			continue
		}
		it.flow.class.take(it)
		q.waiting--
		q.start(it, now)
		a.starts = append(a.starts, it)
	}
}

func (q *Queue) start(it *Item, now time.Time) {
	it.state = stateRunning
	it.started = now
	q.inFlight++
	if it.Suspect {
		q.suspects++
	}
	it.ran = q.class(it)
	it.ran.running += float64(it.Cost)
}

// mayUseHeadroom tells whether a priority may exceed the limit slightly. Only the reserved share of the most urgent one may:
// a flood of it would otherwise keep the limit exceeded and starve the others.
func (q *Queue) mayUseHeadroom(c *class, now time.Time, total float64) bool {
	return c.index == 0 && c.usage(now) <= c.params.Share*total
}

// next selects the item to start: priorities below their floor first, then the most urgent one below its share, then the
// most urgent one.
func (q *Queue) next(now time.Time) *Item {
	total := q.total(now)
	if it := q.belowFloor(now, total); it != nil {
		return it
	}
	var first *Item
	for _, c := range q.classes {
		reserved := c.usage(now) <= c.params.Share*total
		if c.count == 0 || q.inFlight >= q.limiter.allowed(q.mayUseHeadroom(c, now, total)) {
			continue
		}
		it := c.pick(q.suspects == 0)
		if it != nil && reserved {
			return it
		}
		if first == nil {
			first = it
		}
	}
	return first
}

// belowFloor returns an item of the priority that lacks the largest part of its floor. It returns nil when there is none or
// the limit is reached, in which case the headroom must wait as well.
func (q *Queue) belowFloor(now time.Time, total float64) *Item {
	var best *Item
	lowest := 1.0
	for _, c := range q.classes {
		floor := c.params.Floor * total
		usage := c.usage(now)
		if c.count == 0 || usage >= floor || usage/floor >= lowest {
			continue
		}
		if it := c.pick(q.suspects == 0); it != nil {
			best, lowest = it, usage/floor
		}
	}
	return best
}

// late tells whether an item can no longer meet its bounds. Estimates count only while other requests of the priority are
// in progress: otherwise one runs, because only running requests correct an estimate that is too high.
func (q *Queue) late(it *Item, now time.Time) bool {
	var head, service time.Duration
	if c := q.class(it); c.running > 0 {
		first, last := c.estimates(it)
		head, service = first.upper(), last.upper()
	}
	if !it.Deadline.IsZero() && !now.Add(max(head, service)).Before(it.Deadline) {
		return true
	}
	return !q.cfg.SharedFIFO && !it.FirstByteTarget.IsZero() && !now.Add(head).Before(it.FirstByteTarget)
}

// Expire drops waiting items that can no longer meet their bounds, so that their callers learn it in time. It is to be
// called about every 100 ms.
func (q *Queue) Expire() {
	var a actions
	q.mu.Lock()
	now := q.cfg.Now()
	for _, c := range q.classes {
		for _, f := range c.flows {
			q.expireList(f.normal.head, now, &a)
			q.expireList(f.suspect.head, now, &a)
		}
	}
	q.mu.Unlock()
	a.run()
}

func (q *Queue) expireList(it *Item, now time.Time, a *actions) {
	for it != nil {
		next := it.next
		if q.late(it, now) {
			q.discard(it, message.ReasonDeadline, a)
		}
		it = next
	}
}
