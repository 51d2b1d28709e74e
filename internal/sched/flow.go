package sched

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

// flow is the backlog of one caller in one priority. Suspects wait apart, so that one does not block the caller's others.
type flow struct {
	caller  string
	normal  list
	suspect list
	count   int
	// cost is the waiting work divided by the caller's weight.
	cost float64
	// finish is the virtual finish tag of the last item that was started.
	finish float64
	class  *class
}

func (f *flow) listOf(it *Item) *list {
	if it.Suspect {
		return &f.suspect
	}
	return &f.normal
}

// head returns the oldest item that may start.
func (f *flow) head(allowSuspect bool) *Item {
	normal, suspect := f.normal.head, f.suspect.head
	if suspect == nil || !allowSuspect {
		return normal
	}
	if normal == nil || suspect.sequence < normal.sequence {
		return suspect
	}
	return normal
}

// newest returns the item that arrived last.
func (f *flow) newest() *Item {
	normal, suspect := f.normal.tail, f.suspect.tail
	if normal == nil || suspect != nil && suspect.sequence > normal.sequence {
		return suspect
	}
	return normal
}

// class is one priority.
type class struct {
	index  int
	params Priority
	flows  map[string]*flow
	count  int
	// virtual is the start tag of the item started last.
	virtual float64
	served  window
	// running is the cost of work in progress.
	running float64
	// service and head estimate the time to the last and the first byte of a whole answer, streamService and streamHead those of
	// a stream, whose first byte comes much earlier.
	service, head             estimate
	streamService, streamHead estimate
}

func newClass(index int, params Priority) *class {
	return &class{index: index, params: params, flows: make(map[string]*flow)}
}

// estimates returns what is known about answers of the item's form.
func (c *class) estimates(it *Item) (head, service *estimate) {
	if it.Stream {
		return &c.streamHead, &c.streamService
	}
	return &c.head, &c.service
}

func weighted(it *Item) float64 { return float64(it.Cost) / float64(it.Weight) }

func (c *class) push(it *Item) {
	f := c.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, class: c, finish: c.virtual}
		c.flows[it.Caller] = f
	}
	it.flow = f
	f.listOf(it).pushBack(it)
	f.count++
	f.cost += weighted(it)
	c.count++
}

func (c *class) remove(it *Item) {
	f := it.flow
	f.listOf(it).remove(it)
	f.count--
	f.cost -= weighted(it)
	c.count--
	if f.count == 0 {
		f.cost = 0
	}
	if c.count == 0 {
		// A busy period ends: nobody waits, so nobody is owed service.
		clear(c.flows)
		c.virtual = 0
		return
	}
	if f.count == 0 && f.finish <= c.virtual {
		delete(c.flows, f.caller)
	}
}

// pick returns the item with the lowest start tag.
func (c *class) pick(allowSuspect bool) *Item {
	var best *Item
	bestStart := 0.0
	for _, f := range c.flows {
		it := f.head(allowSuspect)
		if it == nil {
			if f.count == 0 && f.finish <= c.virtual {
				delete(c.flows, f.caller)
			}
			continue
		}
		start := max(c.virtual, f.finish)
		if best == nil || start < bestStart || start == bestStart && it.sequence < best.sequence {
			best, bestStart = it, start
		}
	}
	return best
}

// take removes a picked item and advances virtual time.
func (c *class) take(it *Item) {
	f := it.flow
	start := max(c.virtual, f.finish)
	f.finish = start + weighted(it)
	c.virtual = start
	c.remove(it)
}

// largest returns the flow with the most waiting work relative to its weight.
func (c *class) largest() *flow {
	var best *flow
	for _, f := range c.flows {
		if f.count == 0 {
			continue
		}
		if best == nil || f.cost > best.cost || f.cost == best.cost && f.caller < best.caller {
			best = f
		}
	}
	return best
}
