package sched

import "time"

// list is an intrusive first-in first-out list of items.
type list struct {
	head, tail *Item
}

func (l *list) pushBack(it *Item) {
	it.prev, it.next = l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
}

func (l *list) remove(it *Item) {
	if it.prev == nil {
		l.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.next, it.prev = nil, nil
}

// flow is the backlog of one caller in one priority. Suspect requests have a list of their own, so that a waiting one does not
// block the caller's other requests.
type flow struct {
	caller  string
	regular list
	suspect list
	count   int
	// weightedBacklog is the cost of the waiting items divided by the caller's weight.
	weightedBacklog float64
	// finishTag is the virtual finish time of the item started last.
	finishTag float64
	class     *class
}

func (f *flow) listFor(it *Item) *list {
	if it.Suspect {
		return &f.suspect
	}
	return &f.regular
}

// oldestStartable returns the oldest item that may start, or nil. Suspect items may start only if allowSuspect is set.
func (f *flow) oldestStartable(allowSuspect bool) *Item {
	regular, suspect := f.regular.head, f.suspect.head
	if suspect == nil || !allowSuspect {
		return regular
	}
	if regular == nil || suspect.sequence < regular.sequence {
		return suspect
	}
	return regular
}

// newest returns the item that arrived last, regular or suspect.
func (f *flow) newest() *Item {
	regular, suspect := f.regular.tail, f.suspect.tail
	if regular == nil || suspect != nil && suspect.sequence > regular.sequence {
		return suspect
	}
	return regular
}

// class holds the waiting items, the usage and the latency estimates of one priority.
type class struct {
	index  int
	params Priority
	flows  map[string]*flow
	count  int
	// virtualTime is the virtual start time of the item started last.
	virtualTime float64
	servedCost  window
	// running holds the items in progress in the order of their start, runningCost is their total cost.
	running     list
	runningCost float64
	// responseTime and firstByteTime estimate the time to the last and the first byte of a response that is not streamed. Streams
	// have estimates of their own, because their first byte comes much earlier.
	responseTime, firstByteTime             estimate
	streamResponseTime, streamFirstByteTime estimate
}

func newClass(index int, params Priority) *class {
	return &class{index: index, params: params, flows: make(map[string]*flow)}
}

// awaitsAnswer reports whether the newest item in progress is still within its estimates. If it is not, it may be stuck.
func (c *class) awaitsAnswer(now time.Time) bool {
	it := c.running.tail
	if it == nil {
		return false
	}
	firstByteEstimate, responseEstimate := c.estimates(it)
	due := firstByteEstimate.upperBound()
	if it.firstByteSeen {
		due = max(due, responseEstimate.upperBound())
	}
	return now.Sub(it.started) <= due
}

// estimates returns the latency estimates for streams if the item's response is streamed, or else those for other responses.
func (c *class) estimates(it *Item) (firstByteTime, responseTime *estimate) {
	if it.Stream {
		return &c.streamFirstByteTime, &c.streamResponseTime
	}
	return &c.firstByteTime, &c.responseTime
}

func weightedCost(it *Item) float64 { return float64(it.Cost) / float64(it.Weight) }

func (c *class) push(it *Item) {
	f := c.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, class: c, finishTag: c.virtualTime}
		c.flows[it.Caller] = f
	}
	it.flow = f
	f.listFor(it).pushBack(it)
	f.count++
	f.weightedBacklog += weightedCost(it)
	c.count++
}

func (c *class) remove(it *Item) {
	f := it.flow
	f.listFor(it).remove(it)
	f.count--
	f.weightedBacklog -= weightedCost(it)
	c.count--
	if f.count == 0 {
		f.weightedBacklog = 0
	}
	if c.count == 0 {
		// The busy period ends: without waiting items, fair queueing has no history to keep.
		clear(c.flows)
		c.virtualTime = 0
		return
	}
	if f.count == 0 && f.finishTag <= c.virtualTime {
		delete(c.flows, f.caller)
	}
}

// pick returns the startable item with the lowest virtual start time, or nil. It also deletes empty flows that have no further
// influence on the order.
func (c *class) pick(allowSuspect bool) *Item {
	var best *Item
	bestStart := 0.0
	for _, f := range c.flows {
		it := f.oldestStartable(allowSuspect)
		if it == nil {
			if f.count == 0 && f.finishTag <= c.virtualTime {
				delete(c.flows, f.caller)
			}
			continue
		}
		start := max(c.virtualTime, f.finishTag)
		if best == nil || start < bestStart || start == bestStart && it.sequence < best.sequence {
			best, bestStart = it, start
		}
	}
	return best
}

// dequeue removes an item returned by pick and advances virtual time.
func (c *class) dequeue(it *Item) {
	f := it.flow
	start := max(c.virtualTime, f.finishTag)
	f.finishTag = start + weightedCost(it)
	c.virtualTime = start
	c.remove(it)
}

// largestBacklog returns the flow with the largest weighted backlog.
func (c *class) largestBacklog() *flow {
	var best *flow
	for _, f := range c.flows {
		if f.count == 0 {
			continue
		}
		if best == nil || f.weightedBacklog > best.weightedBacklog || f.weightedBacklog == best.weightedBacklog && f.caller < best.caller {
			best = f
		}
	}
	return best
}
