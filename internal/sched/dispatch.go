package sched

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// dispatch starts items until the concurrency limit is reached or no waiting item may start. The caller holds mu.
func (q *Queue) dispatch(cb *callbacks) {
	now := q.cfg.Now()
	for q.open && q.waiting > 0 {
		it := q.selectNext(now)
		if it == nil || q.inFlight >= q.limiter.maxInFlight(q.mayUseHeadroom(q.classOf(it), now, q.totalUsage(now))) {
			return
		}
		if q.cannotMeetDeadlines(it, now) {
			q.discard(it, message.ReasonDeadline, cb)
			continue
		}
		it.flow.class.dequeue(it)
		q.waiting--
		q.start(it, now)
		cb.started = append(cb.started, it)
	}
}

func (q *Queue) start(it *Item, now time.Time) {
	it.state = stateRunning
	it.started = now
	q.inFlight++
	if it.Suspect {
		q.runningSuspects++
	}
	it.chargedClass = q.classOf(it)
	it.chargedClass.running.pushBack(it)
	it.chargedClass.runningCost += float64(it.Cost)
}

// mayUseHeadroom reports whether a priority may exceed the concurrency limit by the headroom. Only the most urgent priority may,
// and only within its reserved share: otherwise a flood of it would keep the limit exceeded and starve the others.
func (q *Queue) mayUseHeadroom(c *class, now time.Time, total float64) bool {
	return c.index == 0 && c.usage(now) <= c.params.Share*total
}

// selectNext selects the item to start: from priorities below their floor first, then from the most urgent priority within its
// reserved share, then from the most urgent one.
func (q *Queue) selectNext(now time.Time) *Item {
	total := q.totalUsage(now)
	if it := q.pickBelowFloor(now, total); it != nil {
		return it
	}
	var fallback *Item
	for _, c := range q.classes {
		withinShare := c.usage(now) <= c.params.Share*total
		if c.count == 0 || q.inFlight >= q.limiter.maxInFlight(q.mayUseHeadroom(c, now, total)) {
			continue
		}
		it := c.pick(q.runningSuspects == 0)
		if it != nil && withinShare {
			return it
		}
		if fallback == nil {
			fallback = it
		}
	}
	return fallback
}

// pickBelowFloor returns an item of the priority that has received the smallest fraction of its floor, or nil if no priority with
// a startable item is below its floor. It does not check the concurrency limit: while the limit is reached, the selected item
// also holds back items that could use the headroom.
func (q *Queue) pickBelowFloor(now time.Time, total float64) *Item {
	var candidate *Item
	lowest := 1.0
	for _, c := range q.classes {
		floor := c.params.Floor * total
		usage := c.usage(now)
		if c.count == 0 || usage >= floor || usage/floor >= lowest {
			continue
		}
		if it := c.pick(q.runningSuspects == 0); it != nil {
			candidate, lowest = it, usage/floor
		}
	}
	return candidate
}

// cannotMeetDeadlines reports whether an item can no longer meet its deadline or its first-byte target. Latency estimates apply
// only while the answer of another request of the priority is expected. Otherwise one request is let through, because only answers
// correct an estimate that is too high.
func (q *Queue) cannotMeetDeadlines(it *Item, now time.Time) bool {
	var firstByteTime, responseTime time.Duration
	if c := q.classOf(it); c.awaitsAnswer(now) {
		firstByteEstimate, responseEstimate := c.estimates(it)
		firstByteTime, responseTime = firstByteEstimate.upperBound(), responseEstimate.upperBound()
	}
	if !it.Deadline.IsZero() && !now.Add(max(firstByteTime, responseTime)).Before(it.Deadline) {
		return true
	}
	return !q.cfg.SharedFIFO && !it.FirstByteTarget.IsZero() && !now.Add(firstByteTime).Before(it.FirstByteTarget)
}

// Expire drops waiting items that can no longer meet their deadline or first-byte target, so that their callers receive the error
// response in time. Call it about every 100 ms.
func (q *Queue) Expire() {
	var cb callbacks
	q.mu.Lock()
	now := q.cfg.Now()
	for _, c := range q.classes {
		for _, f := range c.flows {
			q.expireList(f.regular.head, now, &cb)
			q.expireList(f.suspect.head, now, &cb)
		}
	}
	q.mu.Unlock()
	cb.run()
}

// expireList drops the items of a list, starting at it, that can no longer meet their deadline or first-byte target.
func (q *Queue) expireList(it *Item, now time.Time, cb *callbacks) {
	for it != nil {
		next := it.next
		if q.cannotMeetDeadlines(it, now) {
			q.discard(it, message.ReasonDeadline, cb)
		}
		it = next
	}
}
