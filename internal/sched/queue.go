package sched

import (
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Bounds of the retry delay that is returned with a dropped item.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Queue is the admission queue of one upstream. It is safe for concurrent use.
//
// Invariant: an item is started, dropped or cancelled, never two of these. Item callbacks run without the lock held.
type Queue struct {
	cfg Config

	// mu guards all fields below.
	mu       sync.Mutex
	open     bool
	classes  []*class
	waiting  int
	inFlight int
	// runningSuspects is the number of suspect items among those in progress.
	runningSuspects int
	// sequence is the sequence number assigned last.
	sequence uint64
	limiter  *limiter
}

// New returns a closed queue with a single priority whose reserved share is the whole upstream. SetOpen opens it.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{cfg: cfg, limiter: newLimiter(cfg.MaxConcurrency)}
	q.setClasses([]Priority{{Share: 1}})
	return q
}

// droppedItem is an item whose Drop callback runs after the lock is released.
type droppedItem struct {
	item       *Item
	reason     message.Reason
	retryAfter time.Duration
}

// callbacks collects the Start and Drop callbacks that become due while the lock is held. run calls them after its release.
type callbacks struct {
	started []*Item
	dropped []droppedItem
}

func (cb *callbacks) run() {
	for _, d := range cb.dropped {
		d.item.Drop(d.reason, d.retryAfter)
	}
	for _, it := range cb.started {
		it.Start()
	}
}

// SetPriorities replaces the scheduling parameters of all priorities. Waiting items whose priority no longer exists move to the
// least urgent one. An empty list is ignored, as is every list in SharedFIFO mode.
func (q *Queue) SetPriorities(priorities []Priority) {
	if len(priorities) == 0 || q.cfg.SharedFIFO {
		return
	}
	var cb callbacks
	q.mu.Lock()
	q.setClasses(priorities)
	q.dispatch(&cb)
	q.mu.Unlock()
	cb.run()
}

func (q *Queue) setClasses(priorities []Priority) {
	for i, p := range priorities {
		if i < len(q.classes) {
			q.classes[i].params = p
			continue
		}
		q.classes = append(q.classes, newClass(i, p))
	}
	last := q.classes[len(priorities)-1]
	for _, c := range q.classes[len(priorities):] {
		for c.count > 0 {
			it := c.pick(true)
			c.remove(it)
			last.push(it)
		}
	}
	q.classes = q.classes[:len(priorities)]
}

// classOf returns the class that serves an item. A priority out of range is clamped to the nearest existing one.
func (q *Queue) classOf(it *Item) *class {
	return q.classes[min(max(it.Priority, 0), len(q.classes)-1)]
}

// SetBatchSize sets the number of requests that the upstream runs at once; 0 means unknown.
func (q *Queue) SetBatchSize(batchSize int) {
	var cb callbacks
	q.mu.Lock()
	q.limiter.setBatchSize(batchSize)
	q.dispatch(&cb)
	q.mu.Unlock()
	cb.run()
}

// Push adds an item. Start or Drop may be called before Push returns.
func (q *Queue) Push(it *Item) {
	it.Weight, it.Cost = max(it.Weight, 1), max(it.Cost, 1)
	var cb callbacks
	q.mu.Lock()
	if q.open {
		q.enqueue(it, &cb)
		q.dispatch(&cb)
	} else {
		it.state = stateFinished
		cb.dropped = append(cb.dropped, droppedItem{it, message.ReasonNotServing, 0})
	}
	q.mu.Unlock()
	cb.run()
}

func (q *Queue) enqueue(it *Item, cb *callbacks) {
	q.sequence++
	it.sequence = q.sequence
	if q.cfg.SharedFIFO && q.waiting >= q.cfg.QueueLimit {
		it.state = stateFinished
		cb.dropped = append(cb.dropped, droppedItem{it, message.ReasonQueueFull, q.retryAfter()})
		return
	}
	c := q.classOf(it)
	if c.count == 0 {
		q.chargeIdleFloor(c)
	}
	it.state = stateWaiting
	if q.cfg.SharedFIFO {
		q.pushShared(it)
	} else {
		c.push(it)
	}
	q.waiting++
	if q.waiting > q.cfg.QueueLimit {
		q.discard(q.selectVictim(), message.ReasonQueueFull, cb)
	}
}

// pushShared adds the item to one flow that all callers share, which makes the queue first-in first-out.
func (q *Queue) pushShared(it *Item) {
	it.Caller, it.Suspect = "", false
	q.classes[0].push(it)
}

// chargeIdleFloor charges a priority that has no waiting items as if it had received its floor. Without the charge, a priority
// that becomes busy would be served exclusively until its usage over the accounting window reached its floor.
func (q *Queue) chargeIdleFloor(c *class) {
	now := q.cfg.Now()
	total := q.totalUsage(now)
	if missing := c.params.Floor*total - c.usage(now); missing > 0 {
		c.servedCost.add(now, missing)
	}
}

func (c *class) usage(now time.Time) float64 { return c.servedCost.total(now) + c.runningCost }

func (q *Queue) totalUsage(now time.Time) float64 {
	total := 0.0
	for _, c := range q.classes {
		total += c.usage(now)
	}
	return total
}

// selectVictim selects the item to evict from a full queue: the newest item of the caller with the largest backlog, in the least
// urgent priority that exceeds its share of the queue. If no priority does, it uses the least urgent one with waiting items.
func (q *Queue) selectVictim() *Item {
	shares := 0.0
	for _, c := range q.classes {
		shares += c.params.Share
	}
	var fallback *class
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.count == 0 {
			continue
		}
		if fallback == nil {
			fallback = c
		}
		if float64(c.count) > max(1, c.params.Share/max(1, shares)*float64(q.cfg.QueueLimit)) {
			return c.largestBacklog().newest()
		}
	}
	return fallback.largestBacklog().newest()
}

func (q *Queue) discard(it *Item, reason message.Reason, cb *callbacks) {
	it.flow.class.remove(it)
	q.waiting--
	it.state = stateFinished
	cb.dropped = append(cb.dropped, droppedItem{it, reason, q.retryAfter()})
}

// retryAfter estimates how long the current backlog takes to be served, bounded by minRetryAfter and maxRetryAfter.
func (q *Queue) retryAfter() time.Duration {
	mean := 0.0
	for _, c := range q.classes {
		mean = max(mean, c.responseTime.mean, c.streamResponseTime.mean)
	}
	wait := time.Duration(mean * float64(q.waiting) / q.limiter.limit * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Cancel removes a waiting item and reports whether it did; it returns false for an item that is not waiting, such as one already
// started or dropped. After Cancel has returned true, neither Start nor Drop is called.
func (q *Queue) Cancel(it *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.state != stateWaiting {
		return false
	}
	it.flow.class.remove(it)
	q.waiting--
	it.state = stateFinished
	return true
}

// SetOpen opens or closes the queue. A closed queue starts nothing and drops every pushed item. Closing drops all waiting items
// with the given reason.
func (q *Queue) SetOpen(open bool, reason message.Reason) {
	var cb callbacks
	q.mu.Lock()
	q.open = open
	if !open {
		for _, c := range q.classes {
			for c.count > 0 {
				q.discard(c.pick(true), reason, &cb)
			}
		}
	}
	q.dispatch(&cb)
	q.mu.Unlock()
	cb.run()
}

// FirstByte records that the first byte of a started item's response has arrived. Later calls for the item are ignored.
func (q *Queue) FirstByte(it *Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.state != stateRunning || it.firstByteSeen {
		return
	}
	it.firstByteSeen = true
	now := q.cfg.Now()
	q.limiter.sample(now, it, q.inFlight)
	firstByteEstimate, _ := it.chargedClass.estimates(it)
	firstByteEstimate.add(it.started, now)
}

// Done ends a started item. complete reports whether its response was complete; only then does its duration enter the estimates.
func (q *Queue) Done(it *Item, complete bool) {
	var cb callbacks
	q.mu.Lock()
	if it.state == stateRunning {
		q.finishItem(it, complete)
		q.dispatch(&cb)
	}
	q.mu.Unlock()
	cb.run()
}

func (q *Queue) finishItem(it *Item, complete bool) {
	now := q.cfg.Now()
	it.state = stateFinished
	q.inFlight--
	if it.Suspect {
		q.runningSuspects--
	}
	c := it.chargedClass
	c.running.remove(it)
	c.runningCost -= float64(it.Cost)
	c.servedCost.add(now, float64(it.Cost))
	if complete {
		_, responseEstimate := c.estimates(it)
		responseEstimate.add(it.started, now)
	}
}

// Stats returns a snapshot of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Stats{ConcurrencyLimit: int(q.limiter.limit), Queued: q.waiting, InFlight: q.inFlight}
	for _, c := range q.classes {
		s.QueuedByPriority = append(s.QueuedByPriority, c.count)
		s.FirstByteBounds = append(s.FirstByteBounds, c.firstByteTime.upperBound())
		s.StreamFirstByteBounds = append(s.StreamFirstByteBounds, c.streamFirstByteTime.upperBound())
	}
	return s
}
